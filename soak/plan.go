package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sapphiretack/sapphiretack/standin"
)

// Fault is something that goes wrong; the set of faults is sealed.
type Fault interface{ fault() }

// Stop sends SIGTERM to a node and starts it again when it has ended.
type Stop struct{ Machine int }

// Kill sends SIGKILL to a node and starts it again after a pause.
type Kill struct {
	Machine int
	Pause   time.Duration
}

// KillAll kills all nodes at the same moment.
type KillAll struct{ Pause time.Duration }

// Freeze sends SIGSTOP to a node, and SIGCONT after a time.
type Freeze struct {
	Machine int
	For     time.Duration
}

// Link spoils the connections from other nodes to a machine.
type Link struct {
	Machine int
	How     LinkFault
	For     time.Duration
}

// StoreLink spoils the connections of one node to the store.
type StoreLink struct {
	Machine int
	How     LinkFault
	For     time.Duration
}

// Store makes the store stall, fail or lose answers.
type Store struct {
	How standin.PlatformFaults
	For time.Duration
}

// Spoil makes a backend server spoil its responses.
type Spoil struct {
	Machine int
	How     standin.ApplicationFault
	For     time.Duration
}

// Replace ends a backend server without a word, and starts another lifetime at its address after a pause.
type Replace struct {
	Machine int
	Pause   time.Duration
}

// Leave makes a backend server say that it leaves; it comes back as another lifetime.
type Leave struct {
	Machine int
	For     time.Duration
}

// Configure writes a new version of the configuration.
type Configure struct{}

func (Stop) fault()      {}
func (Kill) fault()      {}
func (KillAll) fault()   {}
func (Freeze) fault()    {}
func (Link) fault()      {}
func (StoreLink) fault() {}
func (Store) fault()     {}
func (Spoil) fault()     {}
func (Replace) fault()   {}
func (Leave) fault()     {}
func (Configure) fault() {}

// Step is a fault and its time from the start of the clients.
type Step struct {
	At    time.Duration
	Fault Fault
}

// String returns the step as a line of a journal.
func (s Step) String() string {
	return fmt.Sprintf("%.2fs %T%+v", s.At.Seconds(), s.Fault, s.Fault)
}

const (
	// stepsPerSecond makes faults overlap: most last between 0.3 and 2 s.
	stepsPerSecond = 2.5
	// quietShare of the time before the end has no new faults, so that what was broken is whole again.
	quietShare = 0.2
)

// NewPlan returns the faults of a seed, in the order of time.
func NewPlan(seed uint64, machines int, length time.Duration) []Step {
	random := rand.New(rand.NewPCG(seed, 0))
	window := time.Duration((1 - quietShare) * float64(length))
	steps := make([]Step, 0, int(stepsPerSecond*window.Seconds()))
	for range cap(steps) {
		steps = append(steps, Step{At: time.Duration(random.Int64N(int64(window))), Fault: newFault(random, machines)})
	}
	slices.SortFunc(steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return steps
}

func newFault(random *rand.Rand, machines int) Fault {
	machine := random.IntN(machines)
	last := 300*time.Millisecond + time.Duration(random.Int64N(int64(1700*time.Millisecond)))
	link := LinkFault(1 + random.IntN(int(linkFaults)-1))
	switch random.IntN(12) {
	case 0, 1:
		return Stop{machine}
	case 2:
		return Kill{machine, last}
	case 3:
		return Freeze{machine, last}
	case 4, 5:
		return Link{machine, link, last}
	case 6:
		return StoreLink{machine, link, last}
	case 7:
		faults := []standin.PlatformFaults{{Down: true}, {LatencyMs: 700}, {LoseRequests: 3}, {LoseResponses: 3}, {Stale: true}}
		return Store{faults[random.IntN(len(faults))], last}
	case 8:
		faults := []standin.ApplicationFault{
			standin.ApplicationSheds, standin.ApplicationFails, standin.ApplicationCuts, standin.ApplicationRepeats,
			standin.ApplicationUnsigned, standin.ApplicationForeign, standin.ApplicationResets, standin.ApplicationUnframed,
		}
		return Spoil{machine, faults[random.IntN(len(faults))], last}
	case 9:
		return Replace{machine, last}
	case 10:
		return Leave{machine, last}
	}
	if random.IntN(3) == 0 {
		return KillAll{last / 4}
	}
	return Configure{}
}
