package member_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sapphiretack/sapphiretack/member"
	"github.com/sapphiretack/sapphiretack/quarantine"
	"github.com/sapphiretack/sapphiretack/request"
)

// cluster simulates a cluster of Membership state machines in virtual time, with an event queue as the network.
type cluster struct {
	settings member.Settings
	random   *rand.Rand
	now      request.Instant
	queue    eventHeap
	sequence uint64
	nodes    []*node
	zones    int
	// checkInterval is the virtual time between two evaluations of the condition of runUntil.
	checkInterval time.Duration
	byID          map[request.InstanceID]*node
	calls         map[member.ExchangeID]*rpc
	lastCall      member.ExchangeID
	// markedCall was the latest call at markedAt; expireCalls drops the calls before it.
	markedCall member.ExchangeID
	markedAt   request.Instant
	// loss is the probability that a message is lost, duplication the probability that it is delivered twice, and jitter
	// the maximum additional delay.
	loss, duplication float64
	jitter            time.Duration
	// partitionSide maps zones to the sides of a partition; zones on different sides cannot reach each other.
	partitionSide map[request.ZoneID]int
	// falseDeaths records the observer and subject of each false death, unless it is nil.
	falseDeaths map[[2]request.InstanceID]bool
	messages    int
	bytes       int
}

// node is a simulated instance.
type node struct {
	*member.Membership
	id          request.InstanceID
	zone        request.ZoneID
	region      request.RegionID
	table       *quarantine.Table
	running     bool
	frozen      bool
	backlog     []scheduledEvent
	incarnation int
	replaced    bool
	sent        int
	received    int
	bytesOut    int
	bytesIn     int
	events      int
}

// rpc is a request that awaits its response.
type rpc struct {
	from, to *node
	action   member.Action
}

type scheduledEvent struct {
	at          request.Instant
	sequence    uint64
	to          *node
	incarnation int
	event       member.Event
	// call is the RPC that the event belongs to, or 0; response tells its response from its request.
	call     member.ExchangeID
	response bool
	// timeout marks the event as the failure of the call; it is dropped if the response arrived first.
	timeout bool
}

type eventHeap []scheduledEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(scheduledEvent)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func newCluster(s member.Settings, seed uint64) *cluster {
	// Changed is emitted for every change, so that no short false death is missed.
	s.MinChangedInterval = 0
	return &cluster{
		settings:      s,
		checkInterval: 100 * time.Millisecond,
		random:        rand.New(rand.NewPCG(seed, 1)),
		byID:          map[request.InstanceID]*node{},
		calls:         map[member.ExchangeID]*rpc{},
		partitionSide: map[request.ZoneID]int{},
	}
}

// add creates instances in zones, with four zones per region, and passes the full list to each of them in one message.
func (c *cluster) add(zones, perZone int) {
	c.zones = zones
	var rows []member.Member
	for i := range zones * perZone {
		row := c.row(i, i%zones)
		rows = append(rows, row)
		n := &node{id: row.Instance, zone: row.Zone, region: row.Region, running: true}
		c.nodes = append(c.nodes, n)
		c.byID[n.id] = n
	}
	for i, n := range c.nodes {
		c.start(n, rows[i])
		c.handle(n, member.Received{Kind: member.Notice, Message: member.Message{Members: rows}})
	}
}

func (c *cluster) row(i, zone int) member.Member {
	return member.Member{
		Instance:    request.InstanceID(fmt.Sprintf("instance-%04d", i)),
		Service:     request.ServiceID(fmt.Sprintf("service-%02d", i/16%74)),
		Zone:        request.ZoneID(fmt.Sprintf("zone-%02d", zone)),
		Region:      request.RegionID(fmt.Sprintf("region-%d", zone/4)),
		Address:     fmt.Sprintf("10.%d.%d.%d:7400", zone, i/250, i%250),
		Incarnation: 1 << 40,
		Slots:       110,
	}
}

func (c *cluster) start(n *node, row member.Member) {
	n.incarnation++
	n.running = true
	n.table = quarantine.New(quarantine.DefaultSettings())
	n.Membership = member.New(row, c.settings, rand.New(rand.NewPCG(c.random.Uint64(), 2)))
	c.push(scheduledEvent{at: c.now.Add(c.randomUpTo(c.settings.TickInterval)), to: n, incarnation: n.incarnation, event: member.Tick{}})
}

func (c *cluster) randomUpTo(d time.Duration) time.Duration {
	return time.Duration(c.random.Int64N(int64(d) + 1))
}

func (c *cluster) push(e scheduledEvent) {
	c.sequence++
	e.sequence = c.sequence
	heap.Push(&c.queue, e)
}

// runFor advances the virtual time by d.
func (c *cluster) runFor(d time.Duration) { c.runUntil(c.now.Add(d), func() bool { return false }) }

// runUntil advances the virtual time until done returns true or end is reached, and reports whether done did.
func (c *cluster) runUntil(end request.Instant, done func() bool) bool {
	for check := c.now; ; check = check.Add(c.checkInterval) {
		for len(c.queue) > 0 && c.queue[0].at <= min(check, end) {
			e := heap.Pop(&c.queue).(scheduledEvent)
			c.now = e.at
			c.deliver(e)
		}
		c.now = min(check, end)
		c.expireCalls()
		if done() {
			return true
		}
		if check >= end {
			return false
		}
	}
}

// expireCalls drops the calls without a response, about every 10 s.
func (c *cluster) expireCalls() {
	if c.now.Sub(c.markedAt) < 10*time.Second {
		return
	}
	for x := range c.calls {
		if x < c.markedCall {
			delete(c.calls, x)
		}
	}
	c.markedCall, c.markedAt = c.lastCall, c.now
}

func (c *cluster) deliver(e scheduledEvent) {
	n := e.to
	if !n.running || e.incarnation != 0 && e.incarnation != n.incarnation {
		return
	}
	if _, ok := e.event.(member.Tick); ok {
		c.push(scheduledEvent{at: c.now.Add(c.settings.TickInterval), to: n, incarnation: n.incarnation, event: member.Tick{}})
		if n.frozen {
			return
		}
	}
	if n.frozen {
		n.backlog = append(n.backlog, e)
		return
	}
	if e.call == 0 {
		c.handle(n, e.event)
		return
	}
	c.deliverMessage(n, e)
}

func (c *cluster) deliverMessage(n *node, e scheduledEvent) {
	call := c.calls[e.call]
	if call == nil {
		return
	}
	if e.timeout {
		delete(c.calls, e.call)
		c.handle(n, e.event)
		return
	}
	if received, ok := e.event.(member.Received); ok {
		n.received++
		n.bytesIn += received.Message.Size() + c.settings.MessageOverheadBytes
	}
	if !e.response {
		c.handle(n, e.event)
		if _, ok := call.action.(member.SendNotice); ok {
			c.respond(e.call, member.Message{})
		}
		return
	}
	delete(c.calls, e.call)
	received := e.event.(member.Received)
	switch a := call.action.(type) {
	case member.Probe:
		c.handle(n, member.ProbeAnswered{SeqNo: a.SeqNo, Exchange: a.Exchange, Message: received.Message})
	case member.IndirectProbe:
		c.handle(n, member.ProbeAnswered{SeqNo: a.SeqNo, Message: received.Message})
	case member.SendGossip:
		c.handle(n, member.Received{Kind: member.GossipResponse, Message: received.Message})
	case member.SendNotice:
		c.handle(n, member.NoticeAnswered{SeqNo: a.SeqNo})
	}
}

func (c *cluster) handle(n *node, e member.Event) {
	n.events++
	for _, a := range n.Handle(c.now, e, nil) {
		c.perform(n, a)
	}
}

// perform executes an action as the driver of a node does.
func (c *cluster) perform(n *node, a member.Action) {
	switch a := a.(type) {
	case member.Probe:
		c.call(n, a.Address, a.Instance, a, a.Message, member.GossipRequest)
		c.failAfter(n, a.Timeout, member.ProbeFailed{SeqNo: a.SeqNo, Exchange: a.Exchange})
	case member.IndirectProbe:
		c.call(n, a.Address, a.Intermediary, a, a.Message, member.GossipRequest)
		c.failAfter(n, a.Timeout, member.ProbeFailed{SeqNo: a.SeqNo})
	case member.SendGossip:
		c.call(n, a.Address, a.To, a, a.Message, member.GossipRequest)
	case member.SendNotice:
		c.call(n, a.Address, a.To, a, a.Message, member.Notice)
	case member.Reply:
		c.respond(a.Exchange, a.Message)
	case member.MergeCrashes:
		if changed := n.table.Merge(c.now, a.Records); len(changed) > 0 {
			c.handle(n, member.CrashesMerged{Records: changed})
		}
	case member.ConfigurationAvailable:
		// A fetch takes one round trip to the sender.
		from := c.byID[a.From]
		at := c.now.Add(2 * c.delay(n, from))
		c.push(scheduledEvent{at: at, to: n, incarnation: n.incarnation, event: member.ConfigurationApplied{Version: a.Version}})
	case member.Replaced:
		n.replaced = true
	case member.Changed:
		c.recordFalseDeaths(n)
	}
}

// recordFalseDeaths records each member that a node holds dead while it is running, reachable and not frozen.
func (c *cluster) recordFalseDeaths(n *node) {
	if c.falseDeaths == nil {
		return
	}
	for _, m := range n.Members(nil) {
		other := c.byID[m.Instance]
		if m.State == member.Dead && other.running && !other.frozen && c.partitionSide[n.zone] == c.partitionSide[other.zone] {
			c.falseDeaths[[2]request.InstanceID{n.id, m.Instance}] = true
		}
	}
}

// failAfter schedules the timeout of the latest call.
func (c *cluster) failAfter(n *node, timeout time.Duration, e member.ProbeFailed) {
	c.push(scheduledEvent{at: c.now.Add(timeout), to: n, incarnation: n.incarnation, event: e, call: c.lastCall, timeout: true})
}

func (c *cluster) call(n *node, address string, to request.InstanceID, a member.Action, msg member.Message, kind member.MessageKind) {
	target := c.byID[to]
	for _, other := range c.nodes {
		if target == nil && other.running && other.Self().Address == address {
			target = other
		}
	}
	c.lastCall++
	c.calls[c.lastCall] = &rpc{from: n, to: target, action: a}
	c.transmit(n, target, c.lastCall, member.Received{Kind: kind, Message: msg, Exchange: c.lastCall}, false)
}

func (c *cluster) respond(x member.ExchangeID, msg member.Message) {
	call := c.calls[x]
	if call == nil {
		return
	}
	c.transmit(call.to, call.from, x, member.Received{Kind: member.GossipResponse, Message: msg}, true)
}

func (c *cluster) transmit(from, to *node, x member.ExchangeID, e member.Received, response bool) {
	size := e.Message.Size() + c.settings.MessageOverheadBytes
	from.sent++
	from.bytesOut += size
	c.messages++
	c.bytes += size
	copies := 1
	if c.random.Float64() < c.duplication {
		copies = 2
	}
	for range copies {
		if c.partitionSide[from.zone] != c.partitionSide[to.zone] || c.random.Float64() < c.loss {
			continue
		}
		at := c.now.Add(c.delay(from, to) + c.randomUpTo(c.jitter))
		incarnation := to.incarnation
		c.push(scheduledEvent{at: at, to: to, incarnation: incarnation, event: e, call: x, response: response})
	}
}

// delay returns the one-way network delay: 0.5 ms within a zone, 1 ms within a region and 20 ms between regions.
func (c *cluster) delay(from, to *node) time.Duration {
	switch {
	case from.zone == to.zone:
		return 500 * time.Microsecond
	case from.region == to.region:
		return time.Millisecond
	default:
		return 20 * time.Millisecond
	}
}

func (c *cluster) resume(n *node) {
	n.frozen = false
	backlog := n.backlog
	n.backlog = nil
	for _, i := range backlog {
		i.at = c.now
		c.push(i)
	}
}

// restart starts a new process of the instance, which reads rows from the platform's table.
func (c *cluster) restart(n *node, rows []member.Member) {
	row := n.Self()
	row.Incarnation++
	row.State, row.Revision, row.SuspectedBy = member.Alive, 0, ""
	n.frozen, n.backlog = false, nil
	c.start(n, row)
	for i := range rows {
		// A row has the state that the instance wrote when it started.
		rows[i].State, rows[i].Revision, rows[i].SuspectedBy = member.Alive, 0, ""
	}
	c.handle(n, member.Bootstrap{Rows: rows})
}

// count returns the number of running, unfrozen nodes that hold the instance in the state.
func (c *cluster) count(id request.InstanceID, s member.State) int {
	total := 0
	for _, n := range c.nodes {
		if !n.running || n.frozen || n.id == id {
			continue
		}
		if m, ok := n.Member(id); ok && m.State == s {
			total++
		}
	}
	return total
}
