package admission_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sapphiretack/sapphiretack/admission"
	"github.com/sapphiretack/sapphiretack/request"
)

// load drives a controller in virtual time and checks each action against what was sent.
type load struct {
	t          *testing.T
	random     *rand.Rand
	controller *admission.Controller
	now        request.Instant
	next       uint64

	waiting map[request.AttemptID]admission.Arrive
	running []running
	// slowness multiplies the service time by a factor that can depend on the attempts at once.
	slowness func(running int) float64
	// shortest is the least remaining time of an arrival.
	shortest time.Duration

	bulkAdmitted, essentialRefused request.Instant
	refused, admitted              [request.ClassCount]int
	completed                      int
}

// running is an attempt at the backend server and the time at which it ends.
type running struct {
	admission.Arrive
	start, end request.Instant
}

const (
	testSlots    = 20
	longAgo      = request.Instant(-time.Hour)
	meanService  = 10 * time.Millisecond
	testCapacity = testSlots * int(time.Second/meanService)
	// minRemaining exceeds the longest service time, so that each refusal as too short is due to the queue.
	minRemaining = 2 * meanService
)

func newLoad(t *testing.T, seed uint64) *load {
	return &load{
		t:                t,
		random:           rand.New(rand.NewPCG(seed, 1)),
		controller:       admission.New(admission.Settings{Slots: testSlots}, 0),
		waiting:          make(map[request.AttemptID]admission.Arrive),
		slowness:         func(int) float64 { return 1 },
		shortest:         minRemaining,
		bulkAdmitted:     longAgo,
		essentialRefused: longAgo,
	}
}

// step lets one millisecond pass with the given number of arrivals, of which bulkShare are bulk.
func (l *load) step(arrivals int, bulkShare float64) {
	l.now = l.now.Add(time.Millisecond)
	ended := make([]running, 0, testSlots)
	l.running = slices.DeleteFunc(l.running, func(r running) bool {
		if r.end <= l.now {
			ended = append(ended, r)
		}
		return r.end <= l.now
	})
	for _, r := range ended {
		l.completed++
		l.apply(l.controller.Handle(l.now, admission.Finish{Attempt: r.Attempt, OwnTime: l.now.Sub(r.start)}, nil))
	}
	for range arrivals {
		l.arrive(bulkShare)
	}
	if l.random.IntN(100) == 0 {
		l.apply(l.controller.Handle(l.now, admission.Tick{}, nil))
	}
	load := l.controller.Load()
	if len(l.running) > testSlots || load.InFlight != len(l.running) || load.Queued != len(l.waiting) {
		l.t.Fatalf("controller reports %+v, but %d run and %d wait", load, len(l.running), len(l.waiting))
	}
}

func (l *load) arrive(bulkShare float64) {
	class := request.Essential
	if l.random.Float64() < bulkShare {
		class = request.Bulk
	}
	l.next++
	a := admission.Arrive{
		Attempt:   request.AttemptID{Source: 1, Number: l.next},
		Priority:  request.PriorityOf(class, request.NewID(l.random)),
		Remaining: l.shortest + time.Duration(l.random.IntN(1000))*time.Millisecond,
		Suspect:   l.random.IntN(50) == 0,
	}
	l.waiting[a.Attempt] = a
	l.apply(l.controller.Handle(l.now, a, nil))
	if _, queued := l.waiting[a.Attempt]; queued {
		l.noteAdmitted(a)
	}
}

func (l *load) apply(actions []admission.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case admission.Dispatch:
			l.dispatch(action.Attempt)
		case admission.Refuse:
			l.refuse(action)
		}
	}
}

func (l *load) dispatch(id request.AttemptID) {
	a, ok := l.waiting[id]
	qt.Assert(l.t, ok, qt.IsTrue, qt.Commentf("%v was dispatched but does not wait", id))
	delete(l.waiting, id)
	for _, other := range l.running {
		if a.Suspect && other.Suspect {
			l.t.Fatalf("suspects %v and %v run at once", id, other.Attempt)
		}
	}
	// Whole milliseconds, from 5 to 15: a rest would leave the slot idle until the next step.
	service := meanService/2 + time.Duration(l.random.IntN(11))*time.Millisecond
	service = time.Duration(float64(service) * l.slowness(len(l.running)+1)).Round(time.Millisecond)
	l.running = append(l.running, running{Arrive: a, start: l.now, end: l.now.Add(service)})
	l.noteAdmitted(a)
}

func (l *load) noteAdmitted(a admission.Arrive) {
	l.admitted[a.Priority.Class()]++
	if a.Priority.Class() == request.Bulk {
		l.bulkAdmitted = l.now
		l.checkApart()
	}
}

func (l *load) refuse(r admission.Refuse) {
	a, ok := l.waiting[r.Attempt]
	qt.Assert(l.t, ok, qt.IsTrue, qt.Commentf("%v was refused but does not wait", r.Attempt))
	delete(l.waiting, r.Attempt)
	l.refused[a.Priority.Class()]++
	isLoad := r.Reason == request.Overloaded || r.Reason == request.QueueFull || r.Reason == request.DeadlineTooShort
	if isLoad && a.Priority.Class() == request.Essential {
		l.essentialRefused = l.now
		l.checkApart()
	}
}

func (l *load) checkApart() {
	apart := time.Duration(max(l.essentialRefused, l.bulkAdmitted) - min(l.essentialRefused, l.bulkAdmitted))
	if apart <= admission.DefaultInterval {
		l.t.Fatalf("bulk admitted at %v, essential refused for load at %v", time.Duration(l.bulkAdmitted), time.Duration(l.essentialRefused))
	}
}

// Guards against a breach of P2 (design section 4.14), also by queue
// evictions, when the load jumps between idle and far above capacity.
func TestEssentialNotRefusedWhileBulkAdmitted(t *testing.T) {
	for seed := range uint64(4) {
		l := newLoad(t, seed)
		for range 60 {
			arrivals, share := l.random.IntN(25), l.random.Float64()
			for range 20 + l.random.IntN(400) {
				l.step(arrivals, share)
			}
		}
		qt.Assert(t, l.refused[request.Essential] > 0 && l.admitted[request.Bulk] > 0, qt.IsTrue)
	}
}

// Guards against slots that stay idle, or essential work that is refused,
// while bulk work exceeds the capacity tenfold.
func TestEssentialWorkFitsUnderBulkSurge(t *testing.T) {
	l := newLoad(t, 1)
	const seconds = 4
	for range seconds * 1000 {
		l.step(10*testCapacity/1000, 0.95)
	}
	qt.Check(t, l.refused[request.Essential] < l.admitted[request.Essential]/100, qt.IsTrue, qt.Commentf("%v", l.refused))
	qt.Check(t, l.completed >= seconds*testCapacity*95/100, qt.IsTrue, qt.Commentf("completed %d", l.completed))
}

// Guards against a level that keeps refusing after the surge for longer than the 2 s of design section 1.
func TestLevelRisesAfterSurge(t *testing.T) {
	l := newLoad(t, 2)
	for range 3000 {
		l.step(20, 0.9)
	}
	for range 2000 {
		l.step(1, 0.9)
	}
	qt.Assert(t, l.controller.Level(), qt.Equals, request.MaxPriority)
}

// Guards against a limit that sinks while the backend server is slow for
// another reason than contention, which would take away capacity that is scarce already.
func TestLimitStaysWhenSlow(t *testing.T) {
	l := newLoad(t, 3)
	l.shortest = 5 * minRemaining
	l.run(5000, 3)
	l.slowness = func(int) float64 { return 5 }
	lowest := testSlots
	for range 60 {
		l.run(500, 3)
		lowest = min(lowest, l.controller.Load().Limit)
	}
	// One trial at a time takes away a tenth of the slots.
	qt.Assert(t, lowest >= testSlots*9/10, qt.IsTrue, qt.Commentf("limit %d", lowest))
}

// Guards against a limit that ignores contention: the backend server has half
// of the slots that it declares, and more attempts at once only take longer.
func TestLimitFollowsContention(t *testing.T) {
	l := newLoad(t, 4)
	l.shortest = 5 * minRemaining
	l.run(5000, 1)
	l.slowness = func(running int) float64 { return max(1, float64(running)/(testSlots/2)) }
	l.run(30000, 3)
	// Three quarters lie midway between the declared and the real slots.
	qt.Assert(t, l.controller.Load().Limit <= testSlots*3/4, qt.IsTrue, qt.Commentf("limit %d", l.controller.Load().Limit))
}

func (l *load) run(steps, arrivals int) {
	for range steps {
		l.step(arrivals, 0.5)
	}
}

// Guards against an allocation on the path of each call.
func TestAdmitDoesNotAllocate(t *testing.T) {
	c := newSaturated()
	n := uint64(1 << 20)
	allocs := testing.AllocsPerRun(20000, func() {
		n++
		c.Admit(0, admission.Arrive{
			Attempt:   request.AttemptID{Source: 1, Number: n},
			Priority:  request.Priority(n * 31 % uint64(request.MaxPriority)),
			Remaining: time.Second,
		})
		if n%64 == 0 {
			c.Collect(nil)
		}
	})
	qt.Assert(t, allocs < 1, qt.IsTrue)
}

// newSaturated returns a controller with full slots and a full queue of the least important work.
func newSaturated() *admission.Controller {
	c := admission.New(admission.Settings{Slots: 110}, 0)
	for n := range uint64(1000) {
		c.Handle(0, admission.Arrive{
			Attempt:   request.AttemptID{Source: 1, Number: n},
			Priority:  request.MaxPriority - 1,
			Remaining: time.Second,
		}, nil)
	}
	return c
}

func BenchmarkAdmit(b *testing.B) {
	b.Run("dispatch", benchmarkDispatch)
	b.Run("refuse", benchmarkRefuse)
}

// benchmarkDispatch measures one arrival that is dispatched and its end.
func benchmarkDispatch(b *testing.B) {
	b.ReportAllocs()
	c := admission.New(admission.Settings{Slots: 110}, 0)
	now := request.Instant(0)
	for n := range b.N {
		now = now.Add(10 * time.Microsecond)
		id := request.AttemptID{Source: 1, Number: uint64(n)}
		c.Admit(now, admission.Arrive{Attempt: id, Priority: request.Priority(n) % request.MaxPriority, Remaining: time.Second})
		c.Done(now.Add(5*time.Microsecond), admission.Finish{Attempt: id, OwnTime: 5 * time.Microsecond})
	}
}

// benchmarkRefuse measures one arrival at ten times the capacity, with full slots and a full queue.
func benchmarkRefuse(b *testing.B) {
	b.ReportAllocs()
	c := newSaturated()
	actions := make([]admission.Action, 0, 1)
	now := request.Instant(0)
	for n := range b.N {
		now = now.Add(10 * time.Microsecond)
		v := c.Admit(now, admission.Arrive{
			Attempt:   request.AttemptID{Source: 1, Number: uint64(n) + 1000},
			Priority:  request.Priority(n*31) % request.MaxPriority,
			Remaining: time.Second,
		})
		if v.Pending {
			actions = c.Collect(actions[:0])
		}
	}
}
