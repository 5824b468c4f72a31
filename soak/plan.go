package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sapphiretack/sapphiretack/standin"
)

// Fault is a fault to inject; only the types of this package implement it.
type Fault interface{ fault() }

// Stop sends SIGTERM to a node and restarts it when it has exited.
type Stop struct{ Machine int }

// Kill sends SIGKILL to a node and restarts it after a pause.
type Kill struct {
	Machine int
	Pause   time.Duration
}

// KillAll sends SIGKILL to all nodes at the same time and restarts them after a pause.
type KillAll struct{ Pause time.Duration }

// Freeze sends SIGSTOP to a node, and SIGCONT after the given time.
type Freeze struct {
	Machine int
	For     time.Duration
}

// Link applies a link fault to the connections from other nodes to a machine.
type Link struct {
	Machine int
	How     LinkFault
	For     time.Duration
}

// StoreLink applies a link fault to the connections from one node to the store.
type StoreLink struct {
	Machine int
	How     LinkFault
	For     time.Duration
}

// Store makes the store stall, fail, lose requests or responses, or serve stale reads.
type Store struct {
	How standin.PlatformFaults
	For time.Duration
}

// Spoil makes a backend server send faulty responses.
type Spoil struct {
	Machine int
	How     standin.ApplicationFault
	For     time.Duration
}

// Replace stops a backend server without notice and starts a new incarnation at its address after a pause.
type Replace struct {
	Machine int
	Pause   time.Duration
}

// Leave makes a backend server announce that it drains, then replaces it by a new incarnation.
type Leave struct {
	Machine int
	For     time.Duration
}

// Limit makes a backend server name the rate of requests that it takes in its responses.
type Limit struct {
	Machine   int
	PerSecond float64
	For       time.Duration
}

// CrashRequest sends a request that crashes each backend server that begins to run it, and sends it again, to one node after another.
type CrashRequest struct {
	Number int // tells the crashing requests of a run apart
	Sends  int
	// IsWithin is set if the backend server sends half of its response first.
	IsWithin bool
}

// Restore lets the store go away and come back from a copy, after which the operator writes the configuration again.
type Restore struct{ Age, Away time.Duration }

// Configure writes a new version of the configuration.
type Configure struct{}

func (Stop) fault()         {}
func (Kill) fault()         {}
func (KillAll) fault()      {}
func (Freeze) fault()       {}
func (Link) fault()         {}
func (StoreLink) fault()    {}
func (Store) fault()        {}
func (Spoil) fault()        {}
func (Replace) fault()      {}
func (Leave) fault()        {}
func (Limit) fault()        {}
func (CrashRequest) fault() {}
func (Restore) fault()      {}
func (Configure) fault()    {}

// Step is a fault and when to inject it, counted from the start of the clients.
type Step struct {
	At    time.Duration
	Fault Fault
}

// String formats the step as one line for the journal.
func (s Step) String() string {
	return fmt.Sprintf("%.2fs %T%+v", s.At.Seconds(), s.Fault, s.Fault)
}

const (
	// stepsPerSecond makes faults overlap, since most of them last between 0.3 and 2 s.
	stepsPerSecond = 2.5
	// quietFraction is the fraction of the run, at its end, without new faults, in which earlier faults can end.
	quietFraction = 0.2
	// addedStepsPerSecond is the rate of the faults that are drawn apart, so that the other faults of a seed stay the same.
	addedStepsPerSecond = 0.5
	// maxRestores is the maximum number of times that the store comes back from a copy, drawn apart as well.
	maxRestores = 2
	// crashSends is how often a request that crashes backend servers is sent.
	crashSends = 8
)

// NewPlan returns the faults of a seed in chronological order.
func NewPlan(seed uint64, machines int, length time.Duration) []Step {
	random := rand.New(rand.NewPCG(seed, 0))
	window := time.Duration((1 - quietFraction) * float64(length))
	steps := make([]Step, 0, int(stepsPerSecond*window.Seconds()))
	for range cap(steps) {
		steps = append(steps, Step{At: time.Duration(random.Int64N(int64(window))), Fault: randomFault(random, machines)})
	}
	added := rand.New(rand.NewPCG(seed, 1))
	for i := range int(addedStepsPerSecond * window.Seconds()) {
		at := time.Duration(added.Int64N(int64(window / 2))) // they last for seconds
		step := Step{At: at, Fault: CrashRequest{i, crashSends, i%4 == 3}}
		if i%2 == 0 {
			step.Fault = Limit{added.IntN(machines), float64(10 + added.IntN(20)), window/4 + time.Duration(added.Int64N(int64(window/4)))}
		}
		steps = append(steps, step)
	}
	restores := rand.New(rand.NewPCG(seed, 2))
	for range restores.IntN(maxRestores + 1) {
		age, away := time.Duration(restores.Int64N(int64(window/4))), time.Duration(restores.Int64N(int64(window/8)))
		steps = append(steps, Step{At: time.Duration(restores.Int64N(int64(window / 2))), Fault: Restore{age, away}})
	}
	slices.SortFunc(steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return steps
}

func randomFault(random *rand.Rand, machines int) Fault {
	machine := random.IntN(machines)
	duration := 300*time.Millisecond + time.Duration(random.Int64N(int64(1700*time.Millisecond)))
	link := LinkFault(1 + random.IntN(int(linkFaultCount)-1))
	switch random.IntN(12) {
	case 0, 1:
		return Stop{machine}
	case 2:
		return Kill{machine, duration}
	case 3:
		return Freeze{machine, duration}
	case 4, 5:
		return Link{machine, link, duration}
	case 6:
		return StoreLink{machine, link, duration}
	case 7:
		faults := []standin.PlatformFaults{{Down: true}, {LatencyMs: 700}, {LoseRequests: 3}, {LoseResponses: 3}, {Stale: true}}
		return Store{faults[random.IntN(len(faults))], duration}
	case 8:
		faults := []standin.ApplicationFault{
			standin.ApplicationSheds, standin.ApplicationFails, standin.ApplicationTruncates, standin.ApplicationRepeats,
			standin.ApplicationUnsigned, standin.ApplicationMismatches, standin.ApplicationResets, standin.ApplicationUnframed,
		}
		return Spoil{machine, faults[random.IntN(len(faults))], duration}
	case 9:
		return Replace{machine, duration}
	case 10:
		return Leave{machine, duration}
	}
	if random.IntN(3) == 0 {
		return KillAll{duration / 4}
	}
	return Configure{}
}
