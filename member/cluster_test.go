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

// cluster runs many Membership state machines in virtual time, with a queue of messages between them.
type cluster struct {
	settings member.Settings
	random   *rand.Rand
	now      request.Instant
	queue    delivery
	sequence uint64
	nodes    []*node
	zones    int
	// checkEvery is the time between two questions of runUntil.
	checkEvery time.Duration
	byID       map[request.InstanceID]*node
	calls      map[member.Exchange]*rpc
	lastCall   member.Exchange
	oldCall    member.Exchange
	markedAt   request.Instant
	// loss is the chance that a message is lost; copies the chance that it arrives twice; jitter its largest extra delay.
	loss, copies float64
	jitter       time.Duration
	// side assigns zones to the sides of a partition; zones on different sides do not reach each other.
	side map[request.ZoneID]int
	// falseDeaths holds observer and subject of each wrong death, if it is not nil.
	falseDeaths map[[2]request.InstanceID]bool
	messages    int
	bytes       int
}

// node is an instance in the cluster.
type node struct {
	*member.Membership
	id       request.InstanceID
	zone     request.ZoneID
	region   request.RegionID
	table    *quarantine.Table
	running  bool
	frozen   bool
	backlog  []item
	run      int
	replaced bool
	sent     int
	received int
	bytesOut int
	bytesIn  int
	events   int
}

// rpc is a request that waits for its response.
type rpc struct {
	from, to *node
	action   member.Action
}

type item struct {
	at       request.Instant
	sequence uint64
	to       *node
	run      int
	event    member.Event
	// call and response make the item a message that the node's shell handles.
	call     member.Exchange
	response bool
	// timeout makes the event the failure of the call, unless its response came before.
	timeout bool
}

type delivery []item

func (d delivery) Len() int { return len(d) }
func (d delivery) Less(i, j int) bool {
	return d[i].at < d[j].at || d[i].at == d[j].at && d[i].sequence < d[j].sequence
}
func (d delivery) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *delivery) Push(x any)   { *d = append(*d, x.(item)) }
func (d *delivery) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

func newCluster(s member.Settings, seed uint64) *cluster {
	// Every change is announced, so that no short false death is missed.
	s.ChangedInterval = 0
	return &cluster{
		settings:   s,
		checkEvery: 100 * time.Millisecond,
		random:     rand.New(rand.NewPCG(seed, 1)),
		byID:       map[request.InstanceID]*node{},
		calls:      map[member.Exchange]*rpc{},
		side:       map[request.ZoneID]int{},
	}
}

// add places instances in zones, four zones a region, and hands each the whole list as one message.
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
	n.run++
	n.running = true
	n.table = quarantine.New(quarantine.DefaultSettings())
	n.Membership = member.New(row, c.settings, rand.New(rand.NewPCG(c.random.Uint64(), 2)))
	c.push(item{at: c.now.Add(c.upTo(c.settings.TickInterval)), to: n, run: n.run, event: member.Tick{}})
}

func (c *cluster) upTo(d time.Duration) time.Duration {
	return time.Duration(c.random.Int64N(int64(d) + 1))
}

func (c *cluster) push(i item) {
	c.sequence++
	i.sequence = c.sequence
	heap.Push(&c.queue, i)
}

// runFor advances the virtual time.
func (c *cluster) runFor(d time.Duration) { c.runUntil(c.now.Add(d), func() bool { return false }) }

// runUntil advances the virtual time to end, or until done, and reports whether it was done.
func (c *cluster) runUntil(end request.Instant, done func() bool) bool {
	for check := c.now; ; check = check.Add(c.checkEvery) {
		for len(c.queue) > 0 && c.queue[0].at <= min(check, end) {
			i := heap.Pop(&c.queue).(item)
			c.now = i.at
			c.deliver(i)
		}
		c.now = min(check, end)
		c.forgetCalls()
		if done() {
			return true
		}
		if check >= end {
			return false
		}
	}
}

// forgetCalls drops the calls whose response was lost, about every 10 s.
func (c *cluster) forgetCalls() {
	if c.now.Sub(c.markedAt) < 10*time.Second {
		return
	}
	for x := range c.calls {
		if x < c.oldCall {
			delete(c.calls, x)
		}
	}
	c.oldCall, c.markedAt = c.lastCall, c.now
}

func (c *cluster) deliver(i item) {
	n := i.to
	if !n.running || i.run != 0 && i.run != n.run {
		return
	}
	if _, ok := i.event.(member.Tick); ok {
		c.push(item{at: c.now.Add(c.settings.TickInterval), to: n, run: n.run, event: member.Tick{}})
		if n.frozen {
			return
		}
	}
	if n.frozen {
		n.backlog = append(n.backlog, i)
		return
	}
	if i.call == 0 {
		c.handle(n, i.event)
		return
	}
	c.deliverMessage(n, i)
}

func (c *cluster) deliverMessage(n *node, i item) {
	call := c.calls[i.call]
	if call == nil {
		return
	}
	if i.timeout {
		delete(c.calls, i.call)
		c.handle(n, i.event)
		return
	}
	if received, ok := i.event.(member.Received); ok {
		n.received++
		n.bytesIn += received.Message.Size() + c.settings.MessageOverheadBytes
	}
	if !i.response {
		c.handle(n, i.event)
		if _, ok := call.action.(member.SendNotice); ok {
			c.respond(i.call, member.Message{})
		}
		return
	}
	delete(c.calls, i.call)
	received := i.event.(member.Received)
	switch a := call.action.(type) {
	case member.Probe:
		c.handle(n, member.ProbeAnswered{Number: a.Number, Exchange: a.Exchange, Message: received.Message})
	case member.IndirectProbe:
		c.handle(n, member.ProbeAnswered{Number: a.Number, Message: received.Message})
	case member.SendGossip:
		c.handle(n, member.Received{Kind: member.GossipResponse, Message: received.Message})
	case member.SendNotice:
		c.handle(n, member.NoticeAnswered{Number: a.Number})
	}
}

func (c *cluster) handle(n *node, e member.Event) {
	n.events++
	for _, a := range n.Handle(c.now, e, nil) {
		c.act(n, a)
	}
}

// act carries out an action as the shell of a node does.
func (c *cluster) act(n *node, a member.Action) {
	switch a := a.(type) {
	case member.Probe:
		c.call(n, a.Address, a.Instance, a, a.Message, member.GossipRequest)
		c.failAfter(n, a.Timeout, member.ProbeFailed{Number: a.Number, Exchange: a.Exchange})
	case member.IndirectProbe:
		c.call(n, a.Address, a.Through, a, a.Message, member.GossipRequest)
		c.failAfter(n, a.Timeout, member.ProbeFailed{Number: a.Number})
	case member.SendGossip:
		c.call(n, a.Address, a.To, a, a.Message, member.GossipRequest)
	case member.SendNotice:
		c.call(n, a.Address, a.To, a, a.Message, member.Notice)
	case member.Reply:
		c.respond(a.Exchange, a.Message)
	case member.Crashes:
		if changed := n.table.Merge(c.now, a.Records); len(changed) > 0 {
			c.handle(n, member.CrashesMerged{Records: changed})
		}
	case member.ConfigurationSeen:
		// A fetch takes one exchange with the sender.
		from := c.byID[a.From]
		at := c.now.Add(2 * c.delay(n, from))
		c.push(item{at: at, to: n, run: n.run, event: member.ConfigurationApplied{Version: a.Version}})
	case member.Replaced:
		n.replaced = true
	case member.Changed:
		c.noteFalseDeaths(n)
	}
}

// noteFalseDeaths counts each member that a node holds dead while it runs, can be reached and is not frozen.
func (c *cluster) noteFalseDeaths(n *node) {
	if c.falseDeaths == nil {
		return
	}
	for _, m := range n.Members(nil) {
		other := c.byID[m.Instance]
		if m.State == member.Dead && other.running && !other.frozen && c.side[n.zone] == c.side[other.zone] {
			c.falseDeaths[[2]request.InstanceID{n.id, m.Instance}] = true
		}
	}
}

// failAfter arranges the failure of the latest call.
func (c *cluster) failAfter(n *node, timeout time.Duration, e member.ProbeFailed) {
	c.push(item{at: c.now.Add(timeout), to: n, run: n.run, event: e, call: c.lastCall, timeout: true})
}

func (c *cluster) call(n *node, address string, to request.InstanceID, a member.Action, msg member.Message, kind member.Kind) {
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

func (c *cluster) respond(x member.Exchange, msg member.Message) {
	call := c.calls[x]
	if call == nil {
		return
	}
	c.transmit(call.to, call.from, x, member.Received{Kind: member.GossipResponse, Message: msg}, true)
}

func (c *cluster) transmit(from, to *node, x member.Exchange, e member.Received, response bool) {
	size := e.Message.Size() + c.settings.MessageOverheadBytes
	from.sent++
	from.bytesOut += size
	c.messages++
	c.bytes += size
	copies := 1
	if c.random.Float64() < c.copies {
		copies = 2
	}
	for range copies {
		if c.side[from.zone] != c.side[to.zone] || c.random.Float64() < c.loss {
			continue
		}
		at := c.now.Add(c.delay(from, to) + c.upTo(c.jitter))
		run := to.run
		c.push(item{at: at, to: to, run: run, event: e, call: x, response: response})
	}
}

// delay is the one-way delay: 0.5 ms in a zone, 1 ms in a region and 20 ms between regions.
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

// restart runs a new process of the instance; rows is what it reads from the platform.
func (c *cluster) restart(n *node, rows []member.Member) {
	row := n.Self()
	row.Incarnation++
	row.State, row.Revision, row.SuspectedBy = member.Alive, 0, ""
	n.frozen, n.backlog = false, nil
	c.start(n, row)
	for i := range rows {
		// A row holds what the instance wrote at its start.
		rows[i].State, rows[i].Revision, rows[i].SuspectedBy = member.Alive, 0, ""
	}
	c.handle(n, member.Bootstrap{Rows: rows})
}

// count returns how many running, unfrozen nodes hold the instance in the state.
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
