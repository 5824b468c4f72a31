package gate

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/routing"
)

// Settings bound the queue and the use of the slots.
type Settings struct {
	// UsedShare of the slots may be taken; backend servers slow down when their last slots fill.
	UsedShare float64
	// QueuePerSlot bounds the entries that wait for each slot.
	QueuePerSlot float64
	// ColdShare of the slots may be taken right after the backend server started; the share rises linearly to UsedShare.
	ColdShare float64
}

// DefaultSettings returns the settings of the design.
func DefaultSettings() Settings {
	return Settings{UsedShare: 0.95, QueuePerSlot: 4, ColdShare: 0.5}
}

// Number identifies an attempt at one gate.
type Number uint64

// Attempt is one request that a source wants to run here.
type Attempt struct {
	Number Number
	Route  routing.RouteID
	Rank   routing.Rank
	// IsCall is set if a running request makes the attempt; work has been spent on it, so it precedes new requests.
	IsCall bool
	// Deadline is when nobody waits for the response any more.
	Deadline request.Instant
}

// order is the place of an attempt in the queue: a call precedes requests of its own rank, since refusing it wastes what its
// tree has used; within an order the earlier deadline is first.
func (a Attempt) order() int {
	if a.IsCall {
		return 2*int(a.Rank) - 1
	}
	return 2 * int(a.Rank)
}

// Kind is the kind of a Decision.
type Kind uint8

// The kinds.
const (
	Refuse Kind = iota
	Wait
	Run
)

// Reason says why an attempt was refused.
type Reason uint8

// The reasons.
const (
	NoReason Reason = iota
	QueueFull
	TooLate  // the attempt cannot complete before its deadline
	Leaving  // the backend server leaves
	Down     // the backend server does not accept connections
	Unknown  // no backend server has reported here
	Shedding // the backend server itself refused
)

var reasonNames = [...]string{"none", "queue_full", "too_late", "leaving", "down", "unknown_server", "shedding"}

// String returns the reason as it stands in logs and between nodes.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "invalid"
}

// Decision is the answer to an arrival.
type Decision struct {
	Kind   Kind
	Reason Reason
	// Wait is the expected time in the queue.
	Wait time.Duration
}

// Action is what happens to an entry of the queue; the set of actions is sealed.
type Action interface{ action() }

// Start runs an entry that waited.
type Start struct{ Number Number }

// Drop refuses an entry that waited; it has not run.
type Drop struct {
	Number Number
	Reason Reason
}

func (Start) action() {}
func (Drop) action()  {}

// Gate is the queue and the slots of one backend server; it is not safe for concurrent use.
type Gate struct {
	settings  Settings
	slots     int
	running   map[Number]running
	queue     []Attempt // most important first
	times     map[routing.RouteID]*mean
	held      mean // time that any attempt holds a slot
	coldSince request.Instant
	coldFor   time.Duration
	isClosed  bool
	reason    Reason
}

// running is an attempt that holds a slot.
type running struct {
	route routing.RouteID
	since request.Instant
}

// mean is an exponentially weighted mean of durations.
type mean struct {
	value time.Duration
	count int
	last  request.Instant
}

// meanTime is the time over which durations are averaged: shorter, and the speed of a backend server seems to change with
// the requests that it happens to get; longer, and one that turns slow is noticed late.
const meanTime = time.Second

func (m *mean) observe(now request.Instant, d time.Duration) {
	m.count++
	weight := max(1/float64(m.count), 1-math.Exp(-now.Sub(m.last).Seconds()/meanTime.Seconds()))
	m.last = now
	m.value += time.Duration(weight * float64(d-m.value))
}

// New returns an open gate in front of a backend server with the given number of slots.
func New(s Settings, slots int) *Gate {
	return &Gate{settings: s, slots: max(1, slots), running: map[Number]running{}, times: map[routing.RouteID]*mean{}}
}

// SetSlots changes the number of slots that the backend server declares.
func (g *Gate) SetSlots(now request.Instant, slots int) []Action {
	g.slots = max(1, slots)
	return g.fill(now)
}

// Warm begins a ramp: the backend server stays slow for the given time.
func (g *Gate) Warm(now request.Instant, d time.Duration) {
	g.coldSince, g.coldFor = now, d
}

// Close refuses what waits and what arrives, with the reason.
func (g *Gate) Close(r Reason) []Action {
	g.isClosed, g.reason = true, r
	var out []Action
	for _, e := range g.queue {
		out = append(out, Drop{e.Number, r})
	}
	g.queue = nil
	return out
}

// Open takes attempts again.
func (g *Gate) Open() { g.isClosed, g.reason = false, NoReason }

// Limit returns the number of attempts that may run now.
func (g *Gate) Limit(now request.Instant) int {
	share := g.settings.UsedShare
	if passed := now.Sub(g.coldSince); g.coldFor > 0 && passed < g.coldFor {
		share = g.settings.ColdShare + (share-g.settings.ColdShare)*float64(passed)/float64(g.coldFor)
	}
	return max(1, int(share*float64(g.slots)))
}

// Running returns the number of attempts that run.
func (g *Gate) Running() int { return len(g.running) }

// Queued returns the number of attempts that wait.
func (g *Gate) Queued() int { return len(g.queue) }

// Usual returns the route of which most attempts completed, and the mean time for which one of them holds a slot. Where none
// completes any more, it is the mean age of those that run.
func (g *Gate) Usual(now request.Instant) (routing.RouteID, time.Duration) {
	var usual routing.RouteID
	most := &mean{}
	for r, m := range g.times {
		if m.count > most.count || m.count == most.count && r < usual {
			usual, most = r, m
		}
	}
	return usual, max(most.value, g.meanAge(now, usual))
}

// meanAge returns how long the running attempts of a route have run. In ordinary operation it is below the mean time, since it
// is half of that where all attempts take the same time.
func (g *Gate) meanAge(now request.Instant, route routing.RouteID) time.Duration {
	var sum, count time.Duration
	for _, r := range g.running {
		if r.route == route {
			sum += now.Sub(r.since)
			count++
		}
	}
	return sum / max(1, count)
}

// Arrive decides on a new attempt; displaced entries of the queue are returned as actions.
func (g *Gate) Arrive(now request.Instant, a Attempt) (Decision, []Action) {
	if g.isClosed {
		return Decision{Reason: g.reason}, nil
	}
	if a.Deadline.Sub(now) < g.usual(a.Route) {
		return Decision{Reason: TooLate}, nil
	}
	if len(g.running) < g.Limit(now) && len(g.queue) == 0 {
		g.running[a.Number] = running{a.Route, now}
		return Decision{Kind: Run}, nil
	}
	at, _ := slices.BinarySearchFunc(g.queue, a, func(e, a Attempt) int {
		return cmp.Or(cmp.Compare(e.order(), a.order()), cmp.Compare(e.Deadline, a.Deadline), cmp.Compare(e.Number, a.Number))
	})
	wait := g.waitAt(now, at)
	if a.Deadline.Sub(now) < wait+g.usual(a.Route) {
		return Decision{Reason: TooLate, Wait: wait}, nil
	}
	var out []Action
	if len(g.queue) >= max(1, int(g.settings.QueuePerSlot*float64(g.slots))) {
		last := g.queue[len(g.queue)-1]
		if at == len(g.queue) {
			return Decision{Reason: QueueFull, Wait: wait}, nil
		}
		g.queue = g.queue[:len(g.queue)-1]
		out = append(out, Drop{last.Number, QueueFull})
	}
	g.queue = slices.Insert(g.queue, at, a)
	started := g.fill(now)
	return Decision{Kind: Wait, Wait: wait}, append(out, started...)
}

// usual returns the time that an attempt of the route needs at least, as a share of the mean.
func (g *Gate) usual(r routing.RouteID) time.Duration {
	if m := g.times[r]; m != nil {
		// Half of the mean: what takes longer than that more often than not still completes in time now and then.
		return m.value / 2
	}
	return 0
}

// waitAt returns the expected time until the entry at the position of the queue starts.
func (g *Gate) waitAt(now request.Instant, position int) time.Duration {
	return time.Duration(float64(g.held.value) * float64(position+1) / float64(g.Limit(now)))
}

// Cancel removes an entry that waits and reports whether it did; a running attempt ends with Finish.
func (g *Gate) Cancel(n Number) bool {
	i := slices.IndexFunc(g.queue, func(e Attempt) bool { return e.Number == n })
	if i < 0 {
		return false
	}
	g.queue = slices.Delete(g.queue, i, i+1)
	return true
}

// Finish frees the slot of an attempt that ran for the given time; isWhole is set if the backend server answered.
func (g *Gate) Finish(now request.Instant, n Number, route routing.RouteID, held time.Duration, isWhole bool) []Action {
	if _, ok := g.running[n]; !ok {
		return nil
	}
	delete(g.running, n)
	if isWhole {
		g.held.observe(now, held)
		m := g.times[route]
		if m == nil {
			m = &mean{}
			g.times[route] = m
		}
		m.observe(now, held)
	}
	return g.fill(now)
}

// Tick drops the entries whose time is up.
func (g *Gate) Tick(now request.Instant) []Action { return g.fill(now) }

// fill starts entries while slots are free, and drops those that cannot complete.
func (g *Gate) fill(now request.Instant) []Action {
	var out []Action
	g.queue = slices.DeleteFunc(g.queue, func(e Attempt) bool {
		if e.Deadline.Sub(now) < g.usual(e.Route) {
			out = append(out, Drop{e.Number, TooLate})
			return true
		}
		return false
	})
	for len(g.queue) > 0 && len(g.running) < g.Limit(now) {
		e := g.queue[0]
		g.queue = slices.Delete(g.queue, 0, 1)
		g.running[e.Number] = running{e.Route, now}
		out = append(out, Start{e.Number})
	}
	return out
}

// ReasonOf returns the reason with the given name, or Unknown.
func ReasonOf(name string) Reason {
	if i := slices.Index(reasonNames[:], name); i > 0 {
		return Reason(i)
	}
	return Unknown
}
