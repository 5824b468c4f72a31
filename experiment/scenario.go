package experiment

import "time"

// Scenario is an overload or failure during a limited time, the trigger, and the behavior of the
// callers.
type Scenario struct {
	Name string
	// Surge multiplies the offered load during the trigger.
	Surge float64
	// Slowdown multiplies the service time of the bottleneck during the trigger.
	Slowdown float64
	// AggressiveCallers makes callers send a request up to 10 times, with a mean delay of 20 ms that
	// ignores the retry delay of a refusal.
	AggressiveCallers bool
	// LostInstance stops one of the three instances of the bottleneck, which restarts cold after the
	// trigger.
	LostInstance bool
	// Partition partitions one zone from the others.
	Partition bool
	// StaleReports delays load reports by 10 s.
	StaleReports bool
	// WrongReports makes one instance of the bottleneck report no load while it has half of its
	// declared slots.
	WrongReports bool
	// HotCustomer multiplies the load of one of the ten customers.
	HotCustomer float64

	Before, Trigger, After time.Duration
}

// Durations of the phases of a full run.
const (
	beforeTrigger = 6 * time.Second
	triggerTime   = 30 * time.Second
	afterTrigger  = 15 * time.Second
)

// The scenarios, with the phases of a full run.
var (
	Surge3         = newScenario(Scenario{Name: "surge3", Surge: 3})
	Surge10        = newScenario(Scenario{Name: "surge10", Surge: 10})
	SlowBottleneck = newScenario(Scenario{Name: "slow", Slowdown: 5})
	SurgeAndSlow   = newScenario(Scenario{Name: "both", Surge: 3, Slowdown: 5, AggressiveCallers: true})
	LostInstance   = newScenario(Scenario{Name: "gone", LostInstance: true})
	ZonePartition  = newScenario(Scenario{Name: "cut", Partition: true})
	StaleReports   = newScenario(Scenario{Name: "stale", Surge: 3, StaleReports: true})
	WrongReports   = newScenario(Scenario{Name: "wrong", Surge: 3, WrongReports: true})
	HotCustomer    = newScenario(Scenario{Name: "hot", HotCustomer: 10})
)

// Scenarios lists the scenarios.
var Scenarios = []Scenario{Surge3, Surge10, SlowBottleneck, SurgeAndSlow, LostInstance, ZonePartition, StaleReports, WrongReports, HotCustomer}

func newScenario(s Scenario) Scenario {
	s.Before, s.Trigger, s.After = beforeTrigger, triggerTime, afterTrigger
	s.Surge = max(s.Surge, 1)
	s.Slowdown = max(s.Slowdown, 1)
	s.HotCustomer = max(s.HotCustomer, 1)
	return s
}

// Shortened returns the scenario with short phases, for tests.
func (s Scenario) Shortened() Scenario {
	s.Before, s.Trigger, s.After = 2*time.Second, 3*time.Second, 5*time.Second
	return s
}

// capacityShare returns the capacity of the bottleneck during the trigger as a fraction of the normal
// capacity.
func (s Scenario) capacityShare() float64 {
	share := 1 / s.Slowdown
	if s.LostInstance {
		share *= 2.0 / 3
	}
	if s.WrongReports {
		share *= 2.5 / 3
	}
	return share
}

// offeredFactor returns the offered load during the trigger as a multiple of the normal load.
func (s Scenario) offeredFactor() float64 {
	return s.Surge * (1 + (s.HotCustomer-1)/customerCount)
}

// Variant is a configuration of the overload control.
type Variant struct {
	Name string
	gate gateType
	// retries is the number of retries at each hop without a shared account; 0 uses the account of the
	// request.
	retries uint32
	// The mechanisms of the design that are switched on.
	priority, deadline, earlyShed, ramp bool
}

// The variants: the design, the design with one mechanism switched off, and the baselines.
//
// Without priority, each hop draws a random one. Without deadline, each hop waits for the whole
// timeout and nothing is cancelled. Without budget, each hop has 3 extra attempts. The baselines have
// none of the mechanisms; Static and Adaptive retry once at each hop.
var (
	Full        = Variant{Name: "sapphiretack", priority: true, deadline: true, earlyShed: true, ramp: true}
	NoPriority  = Variant{Name: "no-priority", deadline: true, earlyShed: true, ramp: true}
	NoBudget    = Variant{Name: "no-budget", retries: 3, priority: true, deadline: true, earlyShed: true, ramp: true}
	NoDeadline  = Variant{Name: "no-deadline", priority: true, earlyShed: true, ramp: true}
	NoEarlyShed = Variant{Name: "no-early-shed", priority: true, deadline: true, ramp: true}
	NoRamp      = Variant{Name: "no-ramp", priority: true, deadline: true, earlyShed: true}
	NoControl   = Variant{Name: "no-control", gate: unlimitedGateType, retries: 3}
	Static      = Variant{Name: "static", gate: staticGateType, retries: 1}
	Adaptive    = Variant{Name: "adaptive", gate: adaptiveGateType, retries: 1}
)

// Variants lists the variants.
var Variants = []Variant{Full, NoPriority, NoBudget, NoDeadline, NoEarlyShed, NoRamp, NoControl, Static, Adaptive}

// isBaseline reports whether the variant runs without the admission controller.
func (v Variant) isBaseline() bool { return v.gate != admissionGateType }
