package experiment

import "time"

// Scenario is a trigger and the behaviour of the callers.
type Scenario struct {
	Name string
	// Surge multiplies the offered load during the trigger.
	Surge float64
	// Slow multiplies the service time of the bottleneck during the trigger.
	Slow float64
	// Hard callers resend at once and often, whatever they are told.
	Hard bool
	// Gone takes away one of three instances of the bottleneck, which come back cold.
	Gone bool
	// Cut separates one zone from the others.
	Cut bool
	// Stale makes load reports 10 s old.
	Stale bool
	// Wrong makes one instance of the bottleneck report no load while it has half of the slots it declares.
	Wrong bool
	// HotCustomer multiplies the load of one customer of ten.
	HotCustomer float64

	Before, Trigger, After time.Duration
}

// The phases of a full run.
const (
	beforeTrigger = 6 * time.Second
	triggerTime   = 30 * time.Second
	afterTrigger  = 15 * time.Second
)

// The scenarios.
var (
	Surge3    = newScenario(Scenario{Name: "surge3", Surge: 3})
	Surge10   = newScenario(Scenario{Name: "surge10", Surge: 10})
	SlowDeep  = newScenario(Scenario{Name: "slow", Slow: 5})
	Both      = newScenario(Scenario{Name: "both", Surge: 3, Slow: 5, Hard: true})
	ThirdGone = newScenario(Scenario{Name: "gone", Gone: true})
	ZoneCut   = newScenario(Scenario{Name: "cut", Cut: true})
	StaleLoad = newScenario(Scenario{Name: "stale", Surge: 3, Stale: true})
	WrongLoad = newScenario(Scenario{Name: "wrong", Surge: 3, Wrong: true})
	Hot       = newScenario(Scenario{Name: "hot", HotCustomer: 10})
)

// Scenarios lists the scenarios.
var Scenarios = []Scenario{Surge3, Surge10, SlowDeep, Both, ThirdGone, ZoneCut, StaleLoad, WrongLoad, Hot}

func newScenario(s Scenario) Scenario {
	s.Before, s.Trigger, s.After = beforeTrigger, triggerTime, afterTrigger
	s.Surge = max(s.Surge, 1)
	s.Slow = max(s.Slow, 1)
	s.HotCustomer = max(s.HotCustomer, 1)
	return s
}

// Short returns the scenario with a short trigger, for tests.
func (s Scenario) Short() Scenario {
	s.Before, s.Trigger, s.After = 2*time.Second, 3*time.Second, 5*time.Second
	return s
}

// capacityShare returns the part of the normal capacity that the bottleneck has during the trigger.
func (s Scenario) capacityShare() float64 {
	share := 1 / s.Slow
	if s.Gone {
		share *= 2.0 / 3
	}
	if s.Wrong {
		share *= 2.5 / 3
	}
	return share
}

// offeredShare returns the offered load during the trigger as a part of the normal load.
func (s Scenario) offeredShare() float64 {
	return s.Surge * (1 + (s.HotCustomer-1)/customers)
}

// Variant is a way to control overload.
type Variant struct {
	Name string
	gate gateKind
	// retries at each hop without a common account; 0 uses the account of the request.
	retries uint32
	// Mechanisms of the design.
	priority, deadline, earlyShed, ramp bool
}

// The variants: the design, the design with one mechanism off, and the baselines.
//
// Without a priority each hop draws its own. Without a deadline each hop waits
// for the whole timeout and nothing is cancelled. Without a budget each hop
// has 3 extra attempts. The baselines have neither of them; static and
// adaptive retry once at each hop.
var (
	Full        = Variant{Name: "sapphiretack", priority: true, deadline: true, earlyShed: true, ramp: true}
	NoPriority  = Variant{Name: "no-priority", deadline: true, earlyShed: true, ramp: true}
	NoBudget    = Variant{Name: "no-budget", retries: 3, priority: true, deadline: true, earlyShed: true, ramp: true}
	NoDeadline  = Variant{Name: "no-deadline", priority: true, earlyShed: true, ramp: true}
	NoEarlyShed = Variant{Name: "no-early-shed", priority: true, deadline: true, ramp: true}
	NoRamp      = Variant{Name: "no-ramp", priority: true, deadline: true, earlyShed: true}
	NoControl   = Variant{Name: "no-control", gate: openGate, retries: 3}
	Static      = Variant{Name: "static", gate: staticGate, retries: 1}
	Adaptive    = Variant{Name: "adaptive", gate: adaptiveGate, retries: 1}
)

// Variants lists the variants.
var Variants = []Variant{Full, NoPriority, NoBudget, NoDeadline, NoEarlyShed, NoRamp, NoControl, Static, Adaptive}

// isBaseline reports whether the variant does without the admission controller.
func (v Variant) isBaseline() bool { return v.gate != controlledGate }
