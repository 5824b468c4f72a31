package node

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/sapphiretack/sapphiretack/configuration"
	"github.com/sapphiretack/sapphiretack/member"
	"github.com/sapphiretack/sapphiretack/peer"
	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/store"
)

const (
	// memberPrefix begins the keys of the rows that instances write at their start.
	memberPrefix = "member/"
	// joinTime gives the first exchange with the seeds time to end; it is two ticks of the membership.
	joinTime = 400 * time.Millisecond
	// announceInterval is the time between two attempts to write the row while the platform is down.
	announceInterval = 5 * time.Second
)

// memberRow is the value of a member's row.
type memberRow struct {
	Instance    request.InstanceID  `json:"instance"`
	Service     request.ServiceID   `json:"service"`
	Zone        request.ZoneID      `json:"zone"`
	Region      request.RegionID    `json:"region"`
	Address     string              `json:"address"`
	Incarnation request.Incarnation `json:"incarnation"`
	Slots       uint32              `json:"slots"`
}

// announce joins through the seeds and the platform's rows, and writes the own row once.
func (n *Node) announce(ctx context.Context) error {
	seeds := make([]member.Member, 0, len(n.settings.Seeds))
	for _, s := range n.settings.Seeds {
		if s.String() != n.address {
			seeds = append(seeds, member.Member{Address: s.String()})
		}
	}
	n.members.handle(member.Bootstrap{Rows: seeds})
	// Peers that answer the first messages count for the start rule.
	request.Sleep(ctx, joinTime)
	n.introduced.Store(true)
	n.membersChanged()
	for {
		err := n.withTimeout(ctx, n.exchangeRows)
		if err == nil {
			break
		}
		n.log.Warn().Err(err).Msg("the platform cannot be reached; members are found through seeds and gossip only")
		request.Sleep(ctx, announceInterval)
		if ctx.Err() != nil {
			return nil
		}
	}
	<-ctx.Done()
	return nil
}

// exchangeRows writes the own row and reads those of the others.
func (n *Node) exchangeRows(ctx context.Context) error {
	self := n.self()
	value, err := json.Marshal(memberRow{
		Instance: self.Instance, Service: self.Service, Zone: self.Zone, Region: self.Region,
		Address: self.Address, Incarnation: self.Incarnation, Slots: self.Slots,
	})
	if err != nil {
		return Error.Wrap(err)
	}
	key := store.Key(memberPrefix + string(self.Instance))
	if err := n.table.Commit(ctx, store.Transaction{Writes: []store.Write{{Key: key, Value: value}}}); err != nil {
		return err
	}
	var rows []member.Member
	for after := store.Key(""); ; {
		page, err := n.table.Scan(ctx, memberPrefix, after, store.MaxRows)
		if err != nil {
			return err
		}
		for _, row := range page {
			if m, ok := parseMemberRow(row.Value); ok {
				rows = append(rows, m)
			}
			after = row.Key
		}
		if len(page) < store.MaxRows {
			break
		}
	}
	n.members.handle(member.Bootstrap{Rows: rows})
	return nil
}

// parseMemberRow ignores rows that a later version of the product may write.
func parseMemberRow(value []byte) (member.Member, bool) {
	var r memberRow
	if err := json.Unmarshal(value, &r); err != nil || r.Instance == "" || r.Incarnation == 0 {
		return member.Member{}, false
	}
	return member.Member{
		Instance: r.Instance, Service: r.Service, Zone: r.Zone, Region: r.Region,
		Address: r.Address, Incarnation: r.Incarnation, Slots: r.Slots,
	}, true
}

// poller drives the polling of the configuration.
type poller struct {
	node *Node
	wake chan struct{} // asks the loop to set its timer anew

	mu      sync.Mutex
	machine *configuration.Poller
	at      request.Instant // of the next PollTick
}

// handle applies an event and carries out the actions that follow.
func (p *poller) handle(e configuration.PollEvent) {
	p.mu.Lock()
	actions := p.machine.Handle(p.node.clock.now(), e, nil)
	for _, action := range actions {
		if t, ok := action.(configuration.SetPollTimer); ok {
			p.at = t.At
		}
	}
	p.mu.Unlock()
	for _, action := range actions {
		p.carryOut(action)
	}
}

func (p *poller) carryOut(action configuration.PollAction) {
	n := p.node
	switch a := action.(type) {
	case configuration.PollPlatform:
		n.control(func(ctx context.Context) {
			err := n.withTimeout(ctx, n.pollPlatform)
			if err != nil {
				n.log.Debug().Err(err).Msg("the configuration cannot be read from the platform; the present one stays in force")
			}
			p.handle(configuration.Polled{Version: n.replica.Version(), Err: err})
		})
	case configuration.FetchPeer:
		n.control(func(ctx context.Context) {
			err := n.fetchConfiguration(ctx, a.Instance)
			if err != nil {
				n.log.Debug().Err(err).Str("from", string(a.Instance)).Msg("the configuration cannot be fetched from a peer")
			}
			p.handle(configuration.Fetched{Instance: a.Instance, Version: n.replica.Version(), Err: err})
		})
	case configuration.Announce:
		n.log.Info().Uint64("version", uint64(a.Version)).Msg("configuration in force")
		n.members.handle(member.ConfigurationApplied{Version: uint64(a.Version)})
	case configuration.Ready:
		n.joined.Store(true)
		n.log.Info().Uint64("version", uint64(a.Version)).Msg("configuration known; serving")
	case configuration.SetPollTimer:
		select {
		case p.wake <- struct{}{}:
		default:
		}
	}
}

// run sends the ticks that the machine asks for until the context ends.
func (p *poller) run(ctx context.Context) error {
	p.handle(configuration.PollTick{})
	for {
		p.mu.Lock()
		wait := p.at.Sub(p.node.clock.now())
		p.mu.Unlock()
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
			p.handle(configuration.PollTick{})
		case <-p.wake:
		case <-ctx.Done():
			timer.Stop()
			return nil
		}
		timer.Stop()
	}
}

// pollMembers tells the poller which instances are present.
func (n *Node) pollMembers(list []member.Member) {
	peers := make([]configuration.Peer, 0, len(list))
	for _, m := range list {
		if m.Instance == n.settings.Instance.Name || m.State == member.Dead {
			continue
		}
		peers = append(peers, configuration.Peer{
			Instance: m.Instance,
			Zone:     m.Zone,
			Version:  configuration.Version(m.ConfigurationVersion),
		})
	}
	n.poller.handle(configuration.MembersChanged{Peers: peers})
}

func (n *Node) pollPlatform(ctx context.Context) error {
	u, err := n.store.Since(ctx, n.replica.Version())
	if err != nil {
		return err
	}
	return n.replica.Apply(u.Version, u.Objects, u.Snapshot)
}

// control runs control work in the pool, or in a goroutine of its own while the pool is full: the machine waits for the
// result, so that the work must not be dropped.
func (n *Node) control(work func(context.Context)) {
	if n.workers.submit(work) {
		return
	}
	n.inFlight.Go(func() error {
		work(context.Background())
		return nil
	})
}

func (n *Node) fetchConfiguration(ctx context.Context, from request.InstanceID) error {
	ctx, cancel := context.WithTimeout(ctx, gossipTimeout)
	defer cancel()
	m, ok := n.findMember(from)
	if !ok {
		return Error.New("instance %q is no longer a member; another one is asked", from)
	}
	client, err := n.peers.client(m.Address)
	if err != nil {
		return err
	}
	response, err := client.Configuration(ctx, &peer.ConfigurationRequest{Since: uint64(n.replica.Version())})
	if err != nil {
		return Error.Wrap(err)
	}
	u, err := configuration.ParseResponse(response)
	if err != nil {
		return err
	}
	return n.replica.Apply(u.Version, u.Objects, u.Snapshot)
}
