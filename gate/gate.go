package gate

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/routing"
)

// Settings bound the queue length and the slot utilization.
type Settings struct {
	// MaxUtilization is the maximum fraction of slots in use; backend servers slow down when their last slots fill.
	MaxUtilization float64
	// MaxQueuePerSlot is the maximum queue length as a multiple of the slots.
	MaxQueuePerSlot float64
	// InitialUtilization is the maximum fraction of slots in use right after the backend server started; it rises linearly to
	// MaxUtilization during the warm-up.
	InitialUtilization float64
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{MaxUtilization: 0.95, MaxQueuePerSlot: 4, InitialUtilization: 0.5}
}

// Number identifies an attempt within one gate.
type Number uint64

// Attempt is a request that a source node wants to run on the backend server.
type Attempt struct {
	Number Number
	Route  routing.RouteID
	Rank   routing.Rank
	// IsCall is set for a call made by a running request. Refusing it would waste the work already done for that request, so
	// it runs before new requests of its rank.
	IsCall bool
	// IsSuspect is set if the request may crash the backend server. One suspect runs at a time, so that a crash tells which one it
	// was and breaks off no other.
	IsSuspect bool
	// Deadline is the time after which no client waits for the response.
	Deadline request.Instant
}

// precedence returns the sort key of the attempt in the queue, lowest first: a call sorts directly before new requests of its
// rank, because refusing it wastes the work of its call tree. Attempts of equal precedence are sorted by deadline.
func (a Attempt) precedence() int {
	if a.IsCall {
		return 2*int(a.Rank) - 1
	}
	return 2 * int(a.Rank)
}

// Kind tells whether an arriving attempt runs, waits or is refused.
type Kind uint8

// The outcomes of an arrival.
const (
	Refuse Kind = iota
	Wait
	Run
)

// Reason is the cause of a refusal.
type Reason uint8

// The causes of a refusal.
const (
	NoReason Reason = iota
	QueueFull
	TooLate        // the attempt cannot complete before its deadline
	Leaving        // the backend server is leaving
	Down           // the backend server does not accept connections
	UnknownServer  // no backend server has reported to the node
	BackendRefused // the backend server itself refused
	Quarantined    // the request has crashed backend servers
)

var reasonNames = [...]string{"none", "queue_full", "too_late", "leaving", "down", "unknown_server", "shedding", "quarantined"}

// String returns the name of the reason in logs and on the wire, or "invalid".
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "invalid"
}

// Decision is the result of an arrival.
type Decision struct {
	Kind   Kind
	Reason Reason
	// QueueingDelay is the expected queueing delay.
	QueueingDelay time.Duration
}

// Action is a change to a queued attempt, either a Start or a Drop.
type Action interface{ action() }

// Start tells the driver to run a queued attempt.
type Start struct{ Number Number }

// Drop tells the driver that a queued attempt is refused and has not run.
type Drop struct {
	Number Number
	Reason Reason
}

func (Start) action() {}
func (Drop) action()  {}

// Gate limits the concurrency of one backend server; it is not safe for concurrent use.
type Gate struct {
	settings        Settings
	slots           int
	running         map[Number]running
	queue           []Attempt // most important first
	serviceTimes    map[routing.RouteID]*ewma
	meanServiceTime ewma // service time over all routes
	warmUpStart     request.Instant
	warmUpDuration  time.Duration
	isClosed        bool
	closeReason     Reason
	rate            rateLimit
	awaitsResponse  bool // whether the backend server has not responded yet
}

// running is an attempt that occupies a slot.
type running struct {
	route     routing.RouteID
	since     request.Instant
	isSuspect bool
}

// ewma is an exponentially weighted moving average of durations.
type ewma struct {
	value time.Duration
	count int
	last  request.Instant
}

// ewmaTimeConstant is the time constant of the averages. A shorter one makes the measured speed of a backend server follow its
// mix of requests; a longer one delays the detection of a slowdown.
const ewmaTimeConstant = time.Second

func (m *ewma) observe(now request.Instant, d time.Duration) {
	m.count++
	weight := max(1/float64(m.count), 1-math.Exp(-now.Sub(m.last).Seconds()/ewmaTimeConstant.Seconds()))
	m.last = now
	m.value += time.Duration(weight * float64(d-m.value))
}

// New returns an open gate for a backend server with the given number of slots; fewer than 1 count as 1.
func New(s Settings, slots int) *Gate {
	return &Gate{settings: s, slots: max(1, slots), running: map[Number]running{}, serviceTimes: map[routing.RouteID]*ewma{}}
}

// SetSlots changes the number of slots and starts queued attempts that now fit.
func (g *Gate) SetSlots(now request.Instant, slots int) []Action {
	g.slots = max(1, slots)
	return g.fill(now)
}

// StartWarmUp starts a warm-up of the given length, during which the limit ramps up linearly.
func (g *Gate) StartWarmUp(now request.Instant, d time.Duration) {
	g.warmUpStart, g.warmUpDuration = now, d
}

// Close drops all queued attempts and refuses new ones for the given reason until Open is called.
func (g *Gate) Close(r Reason) []Action {
	g.isClosed, g.closeReason = true, r
	var dropped []Action
	for _, e := range g.queue {
		dropped = append(dropped, Drop{e.Number, r})
	}
	g.queue = nil
	return dropped
}

// Open accepts attempts again after Close.
func (g *Gate) Open() { g.isClosed, g.closeReason = false, NoReason }

// Limit returns the number of attempts that may run concurrently at the given time.
func (g *Gate) Limit(now request.Instant) int {
	utilization := g.settings.MaxUtilization
	if elapsed := now.Sub(g.warmUpStart); g.warmUpDuration > 0 && elapsed < g.warmUpDuration {
		utilization = g.settings.InitialUtilization + (utilization-g.settings.InitialUtilization)*float64(elapsed)/float64(g.warmUpDuration)
	}
	return max(1, int(utilization*float64(g.slots)))
}

// Running returns the number of attempts that occupy a slot.
func (g *Gate) Running() int { return len(g.running) }

// Queued returns the number of attempts in the queue.
func (g *Gate) Queued() int { return len(g.queue) }

// DominantRoute returns the route with the most completed attempts and its mean service time, or the mean age of its running
// attempts if that is longer, so that a backend server that stopped responding is reported as slow.
func (g *Gate) DominantRoute(now request.Instant) (routing.RouteID, time.Duration) {
	var dominant routing.RouteID
	most := &ewma{}
	for r, m := range g.serviceTimes {
		if m.count > most.count || m.count == most.count && r < dominant {
			dominant, most = r, m
		}
	}
	return dominant, max(most.value, g.meanAge(now, dominant))
}

// meanAge returns the mean age of the running attempts of a route. In normal operation it stays below the mean service time: if
// all attempts take equally long, it is half of it.
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

// Arrive runs, queues or refuses a new attempt and returns the resulting changes to queued attempts. If the new attempt is queued
// while a slot is free, they may include its own Start.
func (g *Gate) Arrive(now request.Instant, a Attempt) (Decision, []Action) {
	if g.isClosed {
		return Decision{Reason: g.closeReason}, nil
	}
	if a.Deadline.Sub(now) < g.minServiceTime(a.Route) {
		return Decision{Reason: TooLate}, nil
	}
	if len(g.queue) == 0 && g.mayStart(now, a) {
		g.start(now, a)
		return Decision{Kind: Run}, nil
	}
	position, _ := slices.BinarySearchFunc(g.queue, a, func(e, a Attempt) int {
		return cmp.Or(cmp.Compare(e.precedence(), a.precedence()), cmp.Compare(e.Deadline, a.Deadline), cmp.Compare(e.Number, a.Number))
	})
	wait := g.waitAt(now, position)
	if a.Deadline.Sub(now) < wait+g.minServiceTime(a.Route) {
		return Decision{Reason: TooLate, QueueingDelay: wait}, nil
	}
	var actions []Action
	if len(g.queue) >= max(1, int(g.settings.MaxQueuePerSlot*float64(g.slots))) {
		last := g.queue[len(g.queue)-1]
		if position == len(g.queue) {
			return Decision{Reason: QueueFull, QueueingDelay: wait}, nil
		}
		g.queue = g.queue[:len(g.queue)-1]
		actions = append(actions, Drop{last.Number, QueueFull})
	}
	g.queue = slices.Insert(g.queue, position, a)
	started := g.fill(now)
	return Decision{Kind: Wait, QueueingDelay: wait}, append(actions, started...)
}

// mayStart reports whether an attempt may run now.
func (g *Gate) mayStart(now request.Instant, a Attempt) bool {
	return len(g.running) < g.runningLimit(now) && (!a.IsSuspect || !g.runsSuspect()) && (!g.rate.isSet || g.rate.timeUntil(now, 1) == 0)
}

// runningLimit returns the number of attempts that may run now.
func (g *Gate) runningLimit(now request.Instant) int {
	if g.awaitsResponse {
		return min(maxRunningUnknown, g.Limit(now))
	}
	return g.Limit(now)
}

func (g *Gate) start(now request.Instant, a Attempt) {
	g.rate.tokens--
	g.running[a.Number] = running{a.Route, now, a.IsSuspect}
}

// runsSuspect reports whether one of the running attempts is a suspect.
func (g *Gate) runsSuspect() bool {
	for _, r := range g.running {
		if r.isSuspect {
			return true
		}
	}
	return false
}

// minServiceTime returns the shortest time in which an attempt of the route is expected to complete, or 0 if none has completed.
func (g *Gate) minServiceTime(r routing.RouteID) time.Duration {
	if m := g.serviceTimes[r]; m != nil {
		// Service times vary, so an attempt with less time left than the mean may still complete; one with less than half of the
		// mean is unlikely to.
		return m.value / 2
	}
	return 0
}

// waitAt returns the expected queueing delay at the given queue position.
func (g *Gate) waitAt(now request.Instant, position int) time.Duration {
	wait := time.Duration(float64(g.meanServiceTime.value) * float64(position+1) / float64(g.Limit(now)))
	if g.rate.isSet {
		wait = max(wait, g.rate.timeUntil(now, float64(position+1)))
	}
	return wait
}

// Cancel removes a queued attempt and reports whether it was queued; a running attempt ends with Finish.
func (g *Gate) Cancel(n Number) bool {
	i := slices.IndexFunc(g.queue, func(e Attempt) bool { return e.Number == n })
	if i < 0 {
		return false
	}
	g.queue = slices.Delete(g.queue, i, i+1)
	return true
}

// Finish releases the slot of an attempt after the given service time, which enters the averages only if the backend server
// responded.
func (g *Gate) Finish(now request.Instant, n Number, route routing.RouteID, serviceTime time.Duration, hasResponse bool) []Action {
	if _, ok := g.running[n]; !ok {
		return nil
	}
	delete(g.running, n)
	if hasResponse {
		g.awaitsResponse = false
		g.meanServiceTime.observe(now, serviceTime)
		m := g.serviceTimes[route]
		if m == nil {
			m = &ewma{}
			g.serviceTimes[route] = m
		}
		m.observe(now, serviceTime)
	}
	return g.fill(now)
}

// Tick drops queued attempts that can no longer meet their deadline and starts others in free slots.
func (g *Gate) Tick(now request.Instant) []Action { return g.fill(now) }

// fill drops queued attempts that can no longer meet their deadline, then starts others while slots are free.
func (g *Gate) fill(now request.Instant) []Action {
	var actions []Action
	g.queue = slices.DeleteFunc(g.queue, func(e Attempt) bool {
		if e.Deadline.Sub(now) < g.minServiceTime(e.Route) {
			actions = append(actions, Drop{e.Number, TooLate})
			return true
		}
		return false
	})
	for i := 0; i < len(g.queue) && len(g.running) < g.runningLimit(now); {
		e := g.queue[i]
		if !g.mayStart(now, e) {
			i++
			continue
		}
		g.queue = slices.Delete(g.queue, i, i+1)
		g.start(now, e)
		actions = append(actions, Start{e.Number})
	}
	return actions
}

// ReasonOf returns the cause of a refusal with the given name, or UnknownServer for any other name, including "none".
func ReasonOf(name string) Reason {
	if i := slices.Index(reasonNames[:], name); i > 0 {
		return Reason(i)
	}
	return UnknownServer
}
