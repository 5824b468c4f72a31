package mesh

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/sapphiretack/sapphiretack/fleet"
	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/routing"
)

const (
	// minBackoff and maxBackoff bound the pause after a failed call to the store.
	minBackoff, maxBackoff = 100 * time.Millisecond, time.Second
	// fetchDelay gives the own watch the time to bring a version that another node already has.
	fetchDelay = 150 * time.Millisecond
	// fetchTimeout bounds the fetch of a configuration from another node.
	fetchTimeout = 800 * time.Millisecond
	// maxConfiguration bounds an encoded configuration.
	maxConfiguration = 4 << 20
	// registerInterval is the time between two readings of the addresses while few nodes are known.
	registerInterval = 400 * time.Millisecond
	// registerReadings is the number of readings after a start; machines start at about the same time.
	registerReadings = 4
	// configurationHost and configurationPath name the configuration on the inbound listener.
	configurationHost, configurationPath = "sapphiretack", "/configuration"
)

// watchLoop keeps the routing configuration up to date.
func (n *Node) watchLoop(ctx context.Context) error {
	var cursor uint64
	isRead, isLost := false, false
	backoff := minBackoff
	for ctx.Err() == nil {
		var u Update
		var err error
		if isRead {
			u, err = n.directory.Watch(ctx, cursor)
		} else {
			u, err = n.directory.Configuration(ctx)
		}
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			isRead = isRead && !HistoryLost.Has(err)
			if !isLost {
				n.log.Warn().Str("event", "dependency_lost").Str("dependency", "store").Err(err).
					Int64("config_version", int64(n.configuration.Version())).Msg("the configuration cannot be read from the store")
			}
			isLost = true
			n.pause(ctx, &backoff)
			continue
		}
		if isLost {
			n.log.Info().Str("event", "dependency_regained").Str("dependency", "store").Msg("the store answers again")
		}
		isLost, isRead, cursor, backoff = false, true, u.Cursor, minBackoff
		if u.Configuration != nil {
			n.offer(u.Configuration, u.Encoded, "store")
		}
	}
	return nil
}

// pause waits for a random part of the backoff and doubles it.
func (n *Node) pause(ctx context.Context, backoff *time.Duration) {
	n.planMu.Lock()
	d := *backoff/2 + time.Duration(n.random.Int64N(int64(*backoff)))
	n.planMu.Unlock()
	*backoff = min(2**backoff, maxBackoff)
	request.Sleep(ctx, d)
}

// offer puts a configuration into force if it is newer.
func (n *Node) offer(c *routing.Configuration, encoded []byte, from string) {
	before := n.configuration.Version()
	if !n.configuration.Offer(c) {
		return
	}
	n.encoded.Store(&encoded)
	n.log.Info().Str("event", "configuration").Int64("config_version", int64(c.Version)).Int64("before", int64(before)).
		Str("from", from).Int("routes", len(c.Routes)).Msg("a newer configuration is in force")
}

// fetchLater fetches a configuration from another node, unless the store brings it first.
func (n *Node) fetchLater(ctx context.Context, from netip.Addr, version routing.Version) {
	if n.fetching.Swap(true) {
		return
	}
	n.fetches.Go(func() error {
		defer n.fetching.Store(false)
		request.Sleep(ctx, fetchDelay)
		if n.configuration.Version() >= version {
			return nil
		}
		if err := n.fetch(ctx, from); err != nil {
			n.log.Warn().Str("event", "fetch_failed").Str("from", from.String()).Int64("config_version", int64(version)).Err(err).
				Msg("the configuration cannot be fetched from another node")
		}
		return nil
	})
}

func (n *Node) fetch(ctx context.Context, from netip.Addr) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	url := "http://" + netip.AddrPortFrom(from, n.settings.Inbound.Port()).String() + configurationPath
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return Error.Wrap(err)
	}
	r.Host = configurationHost
	response, err := n.peers.RoundTrip(r)
	if err != nil {
		return Error.Wrap(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return Error.New("status %d", response.StatusCode)
	}
	encoded, err := io.ReadAll(io.LimitReader(response.Body, maxConfiguration))
	if err != nil {
		return Error.Wrap(err)
	}
	c, err := n.directory.Decode(encoded)
	if err != nil {
		return err
	}
	n.offer(c, encoded, from.String())
	return nil
}

// serveConfiguration gives the configuration in force to another node.
func (n *Node) serveConfiguration(w http.ResponseWriter) {
	encoded := n.encoded.Load()
	if encoded == nil {
		http.Error(w, "no configuration is known", http.StatusServiceUnavailable)
		return
	}
	if _, err := w.Write(*encoded); err != nil {
		n.log.Info().Str("event", "configuration_not_sent").Err(err).Msg("another node did not take the configuration")
	}
}

// registerLoop makes the own address known and reads those of other nodes.
func (n *Node) registerLoop(ctx context.Context) error {
	backoff := minBackoff
	own := fleet.Address{Address: n.settings.Address, Zone: n.settings.Zone}
	for isLost := false; ctx.Err() == nil; {
		err := n.directory.Register(ctx, own)
		if err == nil {
			if isLost {
				n.log.Info().Str("event", "dependency_regained").Str("dependency", "store").Msg("the own address is registered")
			}
			break
		}
		if !isLost {
			isLost = true
			n.log.Warn().Str("event", "dependency_lost").Str("dependency", "store").Err(err).Msg("the own address cannot be registered")
		}
		n.pause(ctx, &backoff)
	}
	for done := 0; done < registerReadings && ctx.Err() == nil; {
		addresses, err := n.directory.Addresses(ctx)
		if err != nil {
			n.log.Warn().Str("event", "addresses_unread").Err(err).Msg("the addresses of other nodes cannot be read")
			n.pause(ctx, &backoff)
			continue
		}
		n.fleetMu.Lock()
		n.fleet.Introduce(addresses)
		n.fleetMu.Unlock()
		n.introduce.Store(true)
		if done == 0 {
			n.log.Info().Str("event", "addresses").Int("nodes", len(addresses)).Msg("the addresses of other nodes are known")
		}
		done++
		request.Sleep(ctx, registerInterval*time.Duration(done))
	}
	<-ctx.Done()
	return nil
}
