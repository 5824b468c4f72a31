package mesh

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/sapphiretack/sapphiretack/fleet"
	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/routing"
)

const (
	// minBackoff and maxBackoff bound the delay before a failed call to the store is retried.
	minBackoff, maxBackoff = 100 * time.Millisecond, time.Second
	// fetchDelay leaves time for the watch of a node that watches the store to deliver a version that another node already has.
	fetchDelay = 150 * time.Millisecond
	// fetchTimeout bounds fetching a configuration from another node.
	fetchTimeout = 800 * time.Millisecond
	// maxConfigurationBytes is the maximum size in bytes of an encoded configuration.
	maxConfigurationBytes = 1 << 20
	// maxWatchTime is the longest time that a watch waits for a change. The platform allows up to 30 s and charges for each call. Watches end
	// at random times, so that some node of the fleet soon learns the era of the store in any case.
	maxWatchTime = 25 * time.Second
	// maxCursorAge is the age from which a cursor is not used.
	maxCursorAge = 500 * time.Millisecond
	// roleInterval is the time between checks of whether this node has to watch the store.
	roleInterval = 100 * time.Millisecond
	// minAddressInterval and maxAddressInterval bound the time between reads of the addresses while no other node is heard of.
	minAddressInterval, maxAddressInterval = time.Second, 30 * time.Second
	// configurationHost and configurationPath identify requests for the configuration on the inbound listener.
	configurationHost, configurationPath = "sapphiretack", "/configuration"
)

// watchCursor decides whether to watch the store from the last cursor or to read the configuration anew.
type watchCursor struct {
	cursor   Cursor
	received request.Instant
	isUsable bool
}

// receive records the cursor of a response.
func (w *watchCursor) receive(now request.Instant, c Cursor) {
	*w = watchCursor{cursor: c, received: now, isUsable: true}
}

// discard discards the cursor after an error: the store may have come back from a copy meanwhile.
func (w *watchCursor) discard() { w.isUsable = false }

// next returns the cursor from which to watch, or false if the configuration is to be read. A cursor that was not used at once may be of an
// earlier era; the store would answer a watch from there only after its time, without the changes that have lower versions.
func (w *watchCursor) next(now request.Instant) (Cursor, bool) {
	return w.cursor, w.isUsable && now.Sub(w.received) < maxCursorAge
}

// watchLoop keeps the routing configuration up to date from the store. While other nodes of the zone watch the store, this node
// learns of changes from them.
func (n *Node) watchLoop(ctx context.Context) error {
	var last watchCursor
	hasRead, isStoreDown := false, false
	backoff := minBackoff
	for ctx.Err() == nil {
		if hasRead && !n.awaitWatcherRole(ctx) {
			return nil
		}
		u, err := n.readOrWatch(ctx, &last)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			last.discard()
			if HistoryLost.Has(err) {
				n.log.Info().Str("event", "history_lost").Err(err).Msg("cannot continue the watch of the store; reading the configuration again")
			} else if !isStoreDown {
				isStoreDown = true
				n.log.Warn().Str("event", "dependency_lost").Str("dependency", "store").Err(err).
					Int64("config_version", int64(n.configuration.Version())).Msg("cannot read the configuration from the store; retrying")
			}
			n.backOff(ctx, &backoff)
			continue
		}
		if isStoreDown {
			n.log.Info().Str("event", "dependency_regained").Str("dependency", "store").Msg("store is available again")
		}
		hasRead, isStoreDown, backoff = true, false, minBackoff
		last.receive(n.now(), u.Cursor)
		if u.Configuration != nil {
			n.applyConfiguration(u.Configuration, u.Encoded, "store")
		}
	}
	return nil
}

func (n *Node) readOrWatch(ctx context.Context, last *watchCursor) (ConfigurationUpdate, error) {
	cursor, ok := last.next(n.now())
	if !ok {
		return n.store.Configuration(ctx)
	}
	n.plannerMu.Lock()
	wait := maxWatchTime/2 + time.Duration(n.rng.Int64N(int64(maxWatchTime/2)))
	n.plannerMu.Unlock()
	return n.store.Watch(ctx, cursor, wait)
}

// awaitWatcherRole returns when this node has to watch the store; it returns false if the context is cancelled first.
func (n *Node) awaitWatcherRole(ctx context.Context) bool {
	for ctx.Err() == nil {
		n.fleetMu.Lock()
		isWatcher := n.fleet.IsWatcher(n.now())
		n.fleetMu.Unlock()
		if isWatcher {
			return true
		}
		request.Sleep(ctx, roleInterval)
	}
	return false
}

// backOff sleeps for 0.5 to 1.5 times the backoff and doubles it.
func (n *Node) backOff(ctx context.Context, backoff *time.Duration) {
	n.plannerMu.Lock()
	d := *backoff/2 + time.Duration(n.rng.Int64N(int64(*backoff)))
	n.plannerMu.Unlock()
	*backoff = min(2**backoff, maxBackoff)
	request.Sleep(ctx, d)
}

// applyConfiguration applies a configuration if it is newer than the current one.
func (n *Node) applyConfiguration(c *routing.Configuration, encoded []byte, from string) {
	previous := n.configuration.Version()
	if !n.configuration.StoreIfNewer(c) {
		return
	}
	n.encodedConfiguration.Store(&encoded)
	n.log.Info().Str("event", "configuration").Int64("config_version", int64(c.Version)).Int64("before", int64(previous)).
		Str("from", from).Int("routes", len(c.Routes)).Msg("newer configuration applied")
}

// scheduleFetch fetches a configuration from another node after a delay, unless the store has delivered it by then.
func (n *Node) scheduleFetch(ctx context.Context, from netip.Addr, version routing.Version) {
	if n.isFetching.Swap(true) {
		return
	}
	n.configurationFetches.Go(func() error {
		defer n.isFetching.Store(false)
		n.fleetMu.Lock()
		isWatcher := n.fleet.IsWatcher(n.now())
		n.fleetMu.Unlock()
		if isWatcher {
			request.Sleep(ctx, fetchDelay)
		}
		if n.configuration.Version() >= version {
			return nil
		}
		err := n.fetchConfiguration(ctx, from)
		if err == nil {
			return nil
		}
		n.log.Warn().Str("event", "fetch_failed").Str("from", from.String()).Int64("config_version", int64(version)).Err(err).
			Msg("cannot fetch the configuration from another node; reading it from the store")
		u, err := n.store.Configuration(ctx)
		if err != nil || u.Configuration == nil {
			n.log.Warn().Str("event", "fetch_failed").Str("from", "store").Int64("config_version", int64(version)).Err(err).
				Msg("cannot read the configuration from the store; trying again when a node announces it")
			return nil
		}
		n.applyConfiguration(u.Configuration, u.Encoded, "store")
		return nil
	})
}

// fetchConfiguration fetches the configuration of another node and applies it.
func (n *Node) fetchConfiguration(ctx context.Context, from netip.Addr) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	url := "http://" + netip.AddrPortFrom(from, n.settings.Inbound.Port()).String() + configurationPath
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return Error.Wrap(err)
	}
	r.Host = configurationHost
	response, err := n.peerTransport.RoundTrip(r)
	if err != nil {
		return Error.Wrap(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return Error.New("other node responded with status %d", response.StatusCode)
	}
	encoded, err := io.ReadAll(io.LimitReader(response.Body, maxConfigurationBytes))
	if err != nil {
		return Error.Wrap(err)
	}
	c, err := n.store.Decode(encoded)
	if err != nil {
		return err
	}
	n.applyConfiguration(c, encoded, from.String())
	return nil
}

// serveConfiguration sends the current configuration to another node.
func (n *Node) serveConfiguration(w http.ResponseWriter) {
	encoded := n.encodedConfiguration.Load()
	if encoded == nil {
		http.Error(w, "no configuration is known", http.StatusServiceUnavailable)
		return
	}
	if _, err := w.Write(*encoded); err != nil {
		n.log.Info().Str("event", "configuration_not_sent").Err(err).Msg("cannot send the configuration to another node")
	}
}

// registerLoop makes the address of this node known in the store and reads those of other nodes.
func (n *Node) registerLoop(ctx context.Context) error {
	// The address of a node that has restarted is in the store already. When all nodes restart at once, reading takes them a few
	// milliseconds, and the store takes most of a second to write all addresses.
	isRegistered := !n.settings.IsFirstStart && n.readAddresses(ctx)
	if !isRegistered {
		// One read after the registration suffices: of any two nodes, the one that registers later reads the address of the other
		// one, and tells it and all others of itself.
		n.register(ctx)
		n.readAddresses(ctx)
	}
	for interval := minAddressInterval; ctx.Err() == nil; {
		request.Sleep(ctx, interval)
		if n.isAlone() {
			n.readAddresses(ctx)
			interval = min(2*interval, maxAddressInterval)
		}
	}
	return nil
}

// register stores the address of this node, retrying until that succeeds.
func (n *Node) register(ctx context.Context) {
	backoff := minBackoff
	self := fleet.Endpoint{Address: n.settings.Address, Zone: n.settings.Zone}
	for isStoreDown := false; ctx.Err() == nil; {
		err := n.store.Register(ctx, self)
		if err == nil {
			if isStoreDown {
				n.log.Info().Str("event", "dependency_regained").Str("dependency", "store").Msg("node address registered in the store")
			}
			return
		}
		if !isStoreDown {
			isStoreDown = true
			n.log.Warn().Str("event", "dependency_lost").Str("dependency", "store").Err(err).Msg("cannot register the node address in the store; retrying")
		}
		n.backOff(ctx, &backoff)
	}
}

// readAddresses adds the nodes in the store to the fleet table, retrying until that succeeds. It reports whether this node is one of
// them.
func (n *Node) readAddresses(ctx context.Context) bool {
	for backoff := minBackoff; ctx.Err() == nil; {
		endpoints, err := n.store.Addresses(ctx)
		if err != nil {
			n.log.Warn().Str("event", "addresses_unread").Err(err).Msg("cannot read the addresses of other nodes from the store; retrying")
			n.backOff(ctx, &backoff)
			continue
		}
		n.fleetMu.Lock()
		n.fleet.AddEndpoints(n.now(), endpoints)
		n.fleetMu.Unlock()
		self := fleet.Endpoint{Address: n.settings.Address, Zone: n.settings.Zone}
		isRegistered := slices.Contains(endpoints, self)
		n.readiness.readAddresses(len(slices.DeleteFunc(slices.Clone(endpoints), func(e fleet.Endpoint) bool { return e.Address == self.Address })))
		n.log.Info().Str("event", "addresses").Int("nodes", len(endpoints)).Bool("registered", isRegistered).Msg("read the addresses of other nodes")
		return isRegistered
	}
	return false
}

// isAlone reports whether this node hears of no other one.
func (n *Node) isAlone() bool {
	n.fleetMu.Lock()
	defer n.fleetMu.Unlock()
	return n.fleet.Snapshot(n.now()).LiveNodes() <= 1
}
