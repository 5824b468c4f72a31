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
	// gossipTimeout is the timeout of gossip exchanges other than probes, and of configuration fetches from peers.
	gossipTimeout = time.Second
	// noticeTimeout is the timeout of a notice; it limits how long crash notices delay the response to the source.
	noticeTimeout = 250 * time.Millisecond
	// sourceTTL is the time since the last call for which a source counts as recent.
	sourceTTL = time.Minute
)

// membership is the driver of the membership state machine: it sends its messages and passes the responses to it.
type membership struct {
	node         *Node
	replaced     chan struct{}
	replacedOnce sync.Once

	mu             sync.Mutex
	stateMachine   *member.Membership
	lastExchange   member.ExchangeID
	pendingReplies map[member.ExchangeID]chan member.Message
}

// knownMember is a member, and whether it can be reached.
type knownMember struct {
	member.Member
	reachable bool
}

// handle passes an event to the state machine and performs the resulting actions.
func (m *membership) handle(e member.Event) {
	m.perform(m.step(e))
}

func (m *membership) step(e member.Event) []member.Action {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stateMachine.Handle(m.node.clock.now(), e, nil)
}

// perform performs actions. It must run without the lock, because it sends messages and locks other tables.
func (m *membership) perform(actions []member.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case member.Probe:
			m.startExchange(a.Address, a.Message, a.Timeout,
				func(reply member.Message) member.Event {
					return member.ProbeAnswered{SeqNo: a.SeqNo, Exchange: a.Exchange, Message: reply}
				}, member.ProbeFailed{SeqNo: a.SeqNo, Exchange: a.Exchange})
		case member.IndirectProbe:
			m.startExchange(a.Address, a.Message, a.Timeout,
				func(reply member.Message) member.Event {
					return member.ProbeAnswered{SeqNo: a.SeqNo, Message: reply}
				}, member.ProbeFailed{SeqNo: a.SeqNo})
		case member.SendGossip:
			m.startExchange(a.Address, a.Message, gossipTimeout, func(reply member.Message) member.Event {
				return member.Received{Kind: member.GossipResponse, Message: reply}
			}, nil)
		case member.SendNotice:
			m.node.workers.submit(func(ctx context.Context) { m.sendNotice(ctx, a) })
		case member.Reply:
			m.deliverReply(a)
		case member.MergeCrashes:
			if changed := m.node.mergeQuarantineRecords(a.Records); len(changed) > 0 {
				m.handle(member.CrashesMerged{Records: changed})
			}
		case member.ConfigurationAvailable:
			m.node.poller.handle(configuration.VersionReported{Instance: a.From, Version: configuration.Version(a.Version)})
		case member.Changed:
			m.node.updateMembers()
		case member.Replaced:
			m.replacedOnce.Do(func() { close(m.replaced) })
		}
	}
}

// startExchange sends a gossip request in the worker pool and handles the event for its result; failed may be nil.
func (m *membership) startExchange(address string, message member.Message, timeout time.Duration, answered func(member.Message) member.Event, failed member.Event) {
	m.node.workers.submit(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		reply, err := m.sendGossip(ctx, address, message)
		switch {
		case err == nil:
			m.handle(answered(reply))
		case failed != nil:
			m.handle(failed)
		}
	})
}

func (m *membership) sendGossip(ctx context.Context, address string, message member.Message) (member.Message, error) {
	client, err := m.node.peers.client(address)
	if err != nil {
		return member.Message{}, err
	}
	response, err := client.Gossip(ctx, message.RequestProto())
	if err != nil {
		return member.Message{}, err
	}
	return member.ResponseFromProto(response)
}

func (m *membership) sendNotice(ctx context.Context, n member.SendNotice) {
	ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
	defer cancel()
	client, err := m.node.peers.client(n.Address)
	if err != nil {
		return
	}
	if _, err := client.Notify(ctx, n.Message.NoticeProto()); err == nil {
		m.handle(member.NoticeAnswered{SeqNo: n.SeqNo})
	}
}

// notifyAndWait handles an event and returns when its notices were received or timed out.
func (m *membership) notifyAndWait(ctx context.Context, e member.Event) {
	var group errgroup.Group
	var rest []member.Action
	for _, action := range m.step(e) {
		notice, ok := action.(member.SendNotice)
		if !ok {
			rest = append(rest, action)
			continue
		}
		group.Go(func() error {
			m.sendNotice(ctx, notice)
			return nil
		})
	}
	m.perform(rest)
	// The goroutines return no errors; the membership retries unacknowledged notices.
	_ = group.Wait()
}

// handleGossip handles a gossip request from another node and returns the response.
func (m *membership) handleGossip(ctx context.Context, message member.Message) (member.Message, error) {
	reply := make(chan member.Message, 1)
	m.mu.Lock()
	m.lastExchange++
	id := m.lastExchange
	m.pendingReplies[id] = reply
	m.mu.Unlock()
	m.handle(member.Received{Kind: member.GossipRequest, Message: message, Exchange: id})
	select {
	case r := <-reply:
		return r, nil
	case <-ctx.Done():
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.pendingReplies, id)
		return member.Message{}, ctx.Err()
	}
}

func (m *membership) deliverReply(r member.Reply) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if waiting, ok := m.pendingReplies[r.Exchange]; ok {
		waiting <- r.Message
		delete(m.pendingReplies, r.Exchange)
	}
}

func (m *membership) members() []member.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stateMachine.Members(nil)
}

// run sends ticks to the membership until the context ends or a later incarnation of this instance appears.
func (m *membership) run(ctx context.Context) error {
	ticker := time.NewTicker(member.DefaultSettings().TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			m.handle(member.Tick{})
		case <-m.replaced:
			return Error.New("a later incarnation of instance %q is running; give each instance a unique name, or stop the older process", m.node.settings.Instance.Name)
		case <-ctx.Done():
			return nil
		}
	}
}

// updateMembers passes the current members to the route table and the poller, and closes connections to former members.
func (n *Node) updateMembers() {
	list := n.membership.members()
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
	n.peers.closeExcept(n.peerAddresses(list))
	n.sources.expire(n.clock.now())
	n.metrics.members.Update(int64(len(list)))
	if n.seedsContacted.Load() {
		n.updatePollPeers(list)
	}
}

// peerAddresses returns the peer addresses of the members and the seeds. Connections to other addresses are closed, so that
// connections to replaced instances do not accumulate.
func (n *Node) peerAddresses(list []member.Member) map[string]struct{} {
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

// findMember returns a member; it reports false for an unknown instance.
func (n *Node) findMember(id request.InstanceID) (knownMember, bool) {
	n.membership.mu.Lock()
	defer n.membership.mu.Unlock()
	m, ok := n.membership.stateMachine.Member(id)
	return knownMember{Member: m, reachable: m.State != member.Dead}, ok
}

// quarantines is the quarantine table with its lock.
type quarantines struct {
	mu    sync.Mutex
	table *quarantine.Table
}

func (n *Node) quarantineState(f request.Fingerprint) quarantine.State {
	n.quarantines.mu.Lock()
	defer n.quarantines.mu.Unlock()
	return n.quarantines.table.State(n.clock.now(), f)
}

func (n *Node) isSuspect(f request.Fingerprint) bool {
	return n.quarantineState(f) == quarantine.Suspect
}

func (n *Node) mergeQuarantineRecords(records []quarantine.Record) []quarantine.Record {
	n.quarantines.mu.Lock()
	defer n.quarantines.mu.Unlock()
	return n.quarantines.table.Merge(n.clock.now(), records)
}

// announceCrash counts a crash and notifies the other instances of the service. It returns when they have received the
// notice or after noticeTimeout.
func (n *Node) announceCrash(ctx context.Context, f request.Fingerprint, c quarantine.Crash) {
	n.quarantines.mu.Lock()
	record, changed := n.quarantines.table.ReportCrash(n.clock.now(), f, n.settings.Instance.Service, c)
	n.quarantines.mu.Unlock()
	if changed {
		n.membership.notifyAndWait(ctx, member.CrashObserved{Record: record})
	}
}

// recordCrash counts a crash that a destination reported at the end of an attempt. The destination has notified the
// instances of the service already, unless it failed itself.
func (n *Node) recordCrash(s request.ServiceID, r call.ReportCrash) {
	n.quarantines.mu.Lock()
	record, changed := n.quarantines.table.ReportCrash(n.clock.now(), r.Fingerprint, s, quarantine.Crash{
		Instance:    r.Instance,
		Incarnation: r.Incarnation,
	})
	n.quarantines.mu.Unlock()
	if changed {
		n.membership.handle(member.CrashObserved{Record: record})
	}
}

// recordLoss records that the stream to a destination broke without an end message. Losses spread by gossip only.
func (n *Node) recordLoss(s request.ServiceID, r call.ReportLoss) {
	n.quarantines.mu.Lock()
	record, changed := n.quarantines.table.ReportLoss(n.clock.now(), r.Fingerprint, s, quarantine.Loss{
		Instance:    r.Instance,
		Incarnation: r.Incarnation,
	})
	n.quarantines.mu.Unlock()
	if changed {
		n.membership.handle(member.CrashesMerged{Records: []quarantine.Record{record}})
	}
}

// losses returns the unconfirmed losses of a fingerprint, which are sent with each attempt.
func (n *Node) losses(f request.Fingerprint) []quarantine.Loss {
	n.quarantines.mu.Lock()
	defer n.quarantines.mu.Unlock()
	return n.quarantines.table.Losses(n.clock.now(), f)
}

// sources records when each instance last sent a call to this node.
type sources struct {
	mu       sync.Mutex
	lastSeen map[request.InstanceID]request.Instant
}

func newSources() *sources { return &sources{lastSeen: map[request.InstanceID]request.Instant{}} }

func (s *sources) touch(id request.InstanceID, now request.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastSeen[id] = now
}

// expire removes the sources that sent no call within sourceTTL, one minute.
func (s *sources) expire(now request.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, at := range s.lastSeen {
		if now.Sub(at) > sourceTTL {
			delete(s.lastSeen, id)
		}
	}
}

// recent returns the sources that sent a call within sourceTTL.
func (s *sources) recent(now request.Instant) []request.InstanceID {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ids []request.InstanceID
	for id, at := range s.lastSeen {
		if now.Sub(at) <= sourceTTL {
			ids = append(ids, id)
		}
	}
	return ids
}
