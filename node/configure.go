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
	// memberPrefix is the key prefix of the rows that instances write when they start.
	memberPrefix = "member/"
	// joinDelay leaves time for the first exchange with the seeds; it is two ticks of the membership.
	joinDelay = 400 * time.Millisecond
	// joinRetryInterval is the time between two attempts to write the row while the platform is down, and between checks of its era.
	joinRetryInterval = 5 * time.Second
)

// memberRow is the JSON value of a member's row in the platform's table.
type memberRow struct {
	Instance    request.InstanceID  `json:"instance"`
	Service     request.ServiceID   `json:"service"`
	Zone        request.ZoneID      `json:"zone"`
	Region      request.RegionID    `json:"region"`
	Address     string              `json:"address"`
	Incarnation request.Incarnation `json:"incarnation"`
	Slots       uint32              `json:"slots"`
}

// join finds the members through the seeds and the rows in the platform, and writes this instance's row once in each era of the store, which
// may have lost it when it came back from a copy.
func (n *Node) join(ctx context.Context) error {
	seeds := make([]member.Member, 0, len(n.settings.Seeds))
	for _, s := range n.settings.Seeds {
		if s.String() != n.address {
			seeds = append(seeds, member.Member{Address: s.String()})
		}
	}
	n.membership.handle(member.Bootstrap{Rows: seeds})
	// The peers that have responded by now are in the first list of members that the poller gets. It becomes ready only after
	// each zone peer in that list has reported its version or failed to respond.
	request.Sleep(ctx, joinDelay)
	n.seedsContacted.Store(true)
	n.updateMembers()
	isWritten, era := false, store.Era(0)
	for ; ctx.Err() == nil; request.Sleep(ctx, joinRetryInterval) {
		if isWritten && n.table.Era() == era {
			continue
		}
		if err := n.withPlatformTimeout(ctx, n.syncMemberRows); err != nil {
			n.log.Warn().Err(err).Msg("cannot write or read the member rows in the platform's table; retrying, and finding members through seeds and gossip until then")
			continue
		}
		isWritten, era = true, n.table.Era()
	}
	return nil
}

// syncMemberRows writes this instance's row and reads the rows of all instances.
func (n *Node) syncMemberRows(ctx context.Context) error {
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
	n.membership.handle(member.Bootstrap{Rows: rows})
	return nil
}

// parseMemberRow reports false for a row that it cannot read, such as one in the format of a later version.
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

// poller is the driver of the state machine that polls the configuration.
type poller struct {
	node *Node
	wake chan struct{} // tells the loop to reset its timer

	mu           sync.Mutex
	stateMachine *configuration.Poller
	nextPoll     request.Instant // time of the next PollTick
}

// handle passes an event to the state machine and performs the resulting actions.
func (p *poller) handle(e configuration.PollEvent) {
	p.mu.Lock()
	actions := p.stateMachine.Handle(p.node.clock.now(), e, nil)
	for _, action := range actions {
		if t, ok := action.(configuration.SetPollTimer); ok {
			p.nextPoll = t.At
		}
	}
	p.mu.Unlock()
	for _, action := range actions {
		p.perform(action)
	}
}

func (p *poller) perform(action configuration.PollAction) {
	n := p.node
	switch a := action.(type) {
	case configuration.PollPlatform:
		n.runControl(func(ctx context.Context) {
			err := n.withPlatformTimeout(ctx, n.pollPlatform)
			if err != nil {
				n.log.Debug().Err(err).Msg("cannot read the configuration from the platform; keeping the current one")
			}
			p.handle(configuration.Polled{Version: n.replica.Version(), Err: err})
		})
	case configuration.FetchPeer:
		n.runControl(func(ctx context.Context) {
			err := n.fetchConfiguration(ctx, a.Instance)
			if err != nil {
				n.log.Debug().Err(err).Str("from", string(a.Instance)).Msg("cannot fetch the configuration from a peer; keeping the current one")
			}
			p.handle(configuration.Fetched{Instance: a.Instance, Version: n.replica.Version(), Err: err})
		})
	case configuration.Announce:
		n.log.Info().Uint64("version", uint64(a.Version)).Msg("configuration applied")
		n.membership.handle(member.ConfigurationApplied{Version: uint64(a.Version)})
	case configuration.Ready:
		n.hasConfiguration.Store(true)
		n.log.Info().Uint64("version", uint64(a.Version)).Msg("configuration received; accepting requests")
	case configuration.SetPollTimer:
		select {
		case p.wake <- struct{}{}:
		default:
		}
	}
}

// run sends the PollTick events that the state machine schedules until the context ends.
func (p *poller) run(ctx context.Context) error {
	p.handle(configuration.PollTick{})
	for {
		p.mu.Lock()
		wait := p.nextPoll.Sub(p.node.clock.now())
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

// updatePollPeers passes the members that are not dead to the poller.
func (n *Node) updatePollPeers(list []member.Member) {
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
	if u.Version < n.replica.Version() {
		written, err := n.store.WriteBack(ctx, n.replica)
		if written > 0 || err != nil {
			n.log.Warn().Err(err).Int("objects", written).Uint64("version", uint64(n.replica.Version())).
				Msg("the store lacks accepted changes of the configuration; writing them again")
		}
		return err
	}
	return n.replica.Apply(u.Version, u.Objects, u.Snapshot)
}

// runControl runs control work in the worker pool, or in a new goroutine while the pool is full. The work must not be
// dropped, because the state machine waits for its result.
func (n *Node) runControl(work func(context.Context)) {
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
		return Error.New("instance %q is no longer a member; trying another one", from)
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
