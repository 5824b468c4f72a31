package node

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/sapphiretack/sapphiretack/call"
	"github.com/sapphiretack/sapphiretack/configuration"
	"github.com/sapphiretack/sapphiretack/member"
	"github.com/sapphiretack/sapphiretack/quarantine"
	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/route"
)

const (
	// gossipTimeout bounds an exchange that is no probe.
	gossipTimeout = time.Second
	// noticeTimeout bounds the wait for the notices of a crash before the source hears of it.
	noticeTimeout = 250 * time.Millisecond
	// sourceMemory is how long a source counts as recent when this instance leaves.
	sourceMemory = time.Minute
)

// members drives the membership: it sends its messages and feeds their replies back.
type members struct {
	node     *Node
	replaced chan struct{}
	once     sync.Once

	mu      sync.Mutex
	machine *member.Membership
	next    member.Exchange
	waiting map[member.Exchange]chan member.Message
}

// knownMember is an instance as the route to it sees it.
type knownMember struct {
	member.Member
	reachable bool
}

// handle applies an event and carries out the actions that follow.
func (m *members) handle(e member.Event) {
	m.carryOut(m.step(e))
}

func (m *members) step(e member.Event) []member.Action {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.Handle(m.node.clock.now(), e, nil)
}

// carryOut does not hold the lock: it sends messages and enters other tables.
func (m *members) carryOut(actions []member.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case member.Probe:
			m.probe(a.Address, a.Message, a.Timeout,
				func(reply member.Message) member.Event {
					return member.ProbeAnswered{Number: a.Number, Exchange: a.Exchange, Message: reply}
				}, member.ProbeFailed{Number: a.Number, Exchange: a.Exchange})
		case member.IndirectProbe:
			m.probe(a.Address, a.Message, a.Timeout,
				func(reply member.Message) member.Event {
					return member.ProbeAnswered{Number: a.Number, Message: reply}
				}, member.ProbeFailed{Number: a.Number})
		case member.SendGossip:
			m.probe(a.Address, a.Message, gossipTimeout, func(reply member.Message) member.Event {
				return member.Received{Kind: member.GossipResponse, Message: reply}
			}, nil)
		case member.SendNotice:
			m.node.workers.submit(func(ctx context.Context) { m.notify(ctx, a) })
		case member.Reply:
			m.reply(a)
		case member.Crashes:
			if changed := m.node.mergeCrashes(a.Records); len(changed) > 0 {
				m.handle(member.CrashesMerged{Records: changed})
			}
		case member.ConfigurationSeen:
			m.node.poller.handle(configuration.Heard{Instance: a.From, Version: configuration.Version(a.Version)})
		case member.Changed:
			m.node.membersChanged()
		case member.Replaced:
			m.once.Do(func() { close(m.replaced) })
		}
	}
}

// probe sends a gossip request; failed may be nil.
func (m *members) probe(address string, message member.Message, timeout time.Duration, answered func(member.Message) member.Event, failed member.Event) {
	m.node.workers.submit(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		reply, err := m.gossip(ctx, address, message)
		switch {
		case err == nil:
			m.handle(answered(reply))
		case failed != nil:
			m.handle(failed)
		}
	})
}

func (m *members) gossip(ctx context.Context, address string, message member.Message) (member.Message, error) {
	client, err := m.node.peers.client(address)
	if err != nil {
		return member.Message{}, err
	}
	response, err := client.Gossip(ctx, message.RequestProto())
	if err != nil {
		return member.Message{}, err
	}
	return member.FromResponse(response)
}

func (m *members) notify(ctx context.Context, n member.SendNotice) {
	ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
	defer cancel()
	client, err := m.node.peers.client(n.Address)
	if err != nil {
		return
	}
	if _, err := client.Notify(ctx, n.Message.NoticeProto()); err == nil {
		m.handle(member.NoticeAnswered{Number: n.Number})
	}
}

// notifyNow sends the notices of an event and returns when they were received or timed out.
func (m *members) notifyNow(ctx context.Context, e member.Event) {
	var group errgroup.Group
	var rest []member.Action
	for _, action := range m.step(e) {
		notice, ok := action.(member.SendNotice)
		if !ok {
			rest = append(rest, action)
			continue
		}
		group.Go(func() error {
			m.notify(ctx, notice)
			return nil
		})
	}
	m.carryOut(rest)
	// notify reports no errors; an unanswered notice is sent again by the membership.
	_ = group.Wait()
}

// exchange handles a gossip request of another node and returns the reply.
func (m *members) exchange(ctx context.Context, message member.Message) (member.Message, error) {
	reply := make(chan member.Message, 1)
	m.mu.Lock()
	m.next++
	id := m.next
	m.waiting[id] = reply
	m.mu.Unlock()
	m.handle(member.Received{Kind: member.GossipRequest, Message: message, Exchange: id})
	select {
	case r := <-reply:
		return r, nil
	case <-ctx.Done():
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.waiting, id)
		return member.Message{}, ctx.Err()
	}
}

func (m *members) reply(r member.Reply) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if waiting, ok := m.waiting[r.Exchange]; ok {
		waiting <- r.Message
		delete(m.waiting, r.Exchange)
	}
}

func (m *members) list() []member.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.Members(nil)
}

// run lets time pass for the membership until the context ends or a later incarnation of this instance appears.
func (m *members) run(ctx context.Context) error {
	ticker := time.NewTicker(member.DefaultSettings().TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			m.handle(member.Tick{})
		case <-m.replaced:
			return Error.New("a later process runs as instance %q; give each instance its own name, or stop the older one", m.node.settings.Instance.Name)
		case <-ctx.Done():
			return nil
		}
	}
}

// membersChanged gives the route table the present members.
func (n *Node) membersChanged() {
	list := n.members.list()
	routed := make([]route.Member, 0, len(list))
	for _, m := range list {
		routed = append(routed, route.Member{
			Instance:    m.Instance,
			Service:     m.Service,
			Zone:        m.Zone,
			Region:      m.Region,
			Address:     m.Address,
			Incarnation: m.Incarnation,
			State:       routeState(m.State),
			Slots:       m.Slots,
		})
	}
	n.routes.update(func(t *route.Table) { t.Update(routed) })
	n.peers.forget(n.addresses(list))
	n.sources.forgetOld(n.clock.now())
	n.metrics.members.Update(int64(len(list)))
	if n.introduced.Load() {
		n.pollMembers(list)
	}
}

// addresses returns the peer addresses of the members and of the seeds. Replaced instances leave the list after a while,
// and their connections must not stay.
func (n *Node) addresses(list []member.Member) map[string]struct{} {
	keep := make(map[string]struct{}, len(list)+len(n.settings.Seeds))
	for _, m := range list {
		keep[m.Address] = struct{}{}
	}
	for _, s := range n.settings.Seeds {
		keep[s.String()] = struct{}{}
	}
	return keep
}

func routeState(s member.State) route.State {
	switch s {
	case member.Alive:
		return route.Alive
	case member.Suspect:
		return route.Suspect
	case member.Leaving:
		return route.Leaving
	}
	return route.Dead
}

// findMember returns an instance and whether it may be reached.
func (n *Node) findMember(id request.InstanceID) (knownMember, bool) {
	n.members.mu.Lock()
	defer n.members.mu.Unlock()
	m, ok := n.members.machine.Member(id)
	return knownMember{Member: m, reachable: m.State != member.Dead}, ok
}

// crashes is the quarantine table with its lock.
type crashes struct {
	mu    sync.Mutex
	table *quarantine.Table
}

func (n *Node) quarantineState(f request.Fingerprint) quarantine.State {
	n.crashes.mu.Lock()
	defer n.crashes.mu.Unlock()
	return n.crashes.table.State(n.clock.now(), f)
}

func (n *Node) suspect(f request.Fingerprint) bool {
	return n.quarantineState(f) == quarantine.Suspect
}

func (n *Node) mergeCrashes(records []quarantine.Record) []quarantine.Record {
	n.crashes.mu.Lock()
	defer n.crashes.mu.Unlock()
	return n.crashes.table.Merge(n.clock.now(), records)
}

// reportCrash counts a crash and returns when the instances of the service know of it, or after a bounded wait.
func (n *Node) reportCrash(ctx context.Context, f request.Fingerprint, c quarantine.Crash) {
	n.crashes.mu.Lock()
	record, changed := n.crashes.table.Report(n.clock.now(), f, n.settings.Instance.Service, c)
	n.crashes.mu.Unlock()
	if changed {
		n.members.notifyNow(ctx, member.CrashObserved{Record: record})
	}
}

// crashSeen counts a crash that a destination reported with the end of an attempt. The destination told the instances of
// the service before, unless it failed itself.
func (n *Node) crashSeen(s request.ServiceID, r call.ReportCrash) {
	n.crashes.mu.Lock()
	record, changed := n.crashes.table.Report(n.clock.now(), r.Fingerprint, s, quarantine.Crash{
		Instance:    r.Instance,
		Incarnation: r.Incarnation,
	})
	n.crashes.mu.Unlock()
	if changed {
		n.members.handle(member.CrashObserved{Record: record})
	}
}

// streamLost records that the stream to a node was lost without an end. It is passed on by gossip alone.
func (n *Node) streamLost(s request.ServiceID, r call.ReportLoss) {
	n.crashes.mu.Lock()
	record, changed := n.crashes.table.ReportLoss(n.clock.now(), r.Fingerprint, s, quarantine.Loss{
		Instance:    r.Instance,
		Incarnation: r.Incarnation,
	})
	n.crashes.mu.Unlock()
	if changed {
		n.members.handle(member.CrashesMerged{Records: []quarantine.Record{record}})
	}
}

// losses returns the unconfirmed losses that go with an attempt.
func (n *Node) losses(f request.Fingerprint) []quarantine.Loss {
	n.crashes.mu.Lock()
	defer n.crashes.mu.Unlock()
	return n.crashes.table.Losses(n.clock.now(), f)
}

// sources remembers the instances that sent calls lately.
type sources struct {
	mu   sync.Mutex
	last map[request.InstanceID]request.Instant
}

func newSources() *sources { return &sources{last: map[request.InstanceID]request.Instant{}} }

func (s *sources) seen(id request.InstanceID, now request.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last[id] = now
}

// forgetOld drops the sources that sent nothing for a minute.
func (s *sources) forgetOld(now request.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, at := range s.last {
		if now.Sub(at) > sourceMemory {
			delete(s.last, id)
		}
	}
}

// recent returns the sources of the last minute.
func (s *sources) recent(now request.Instant) []request.InstanceID {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ids []request.InstanceID
	for id, at := range s.last {
		if now.Sub(at) <= sourceMemory {
			ids = append(ids, id)
		}
	}
	return ids
}
