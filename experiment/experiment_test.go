package experiment_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/sapphiretack/sapphiretack/experiment"
	"github.com/sapphiretack/sapphiretack/request"
)

// TestRunRepeats guards against a run that depends on anything but its seed, which would make measured
// differences meaningless.
func TestRunRepeats(t *testing.T) {
	a := experiment.Run(experiment.Golubarnik, experiment.LostInstance.Shortened(), experiment.Full, 3)
	b := experiment.Run(experiment.Golubarnik, experiment.LostInstance.Shortened(), experiment.Full, 3)
	qt.Assert(t, a, qt.DeepEquals, b)
}

// TestDesignBeatsBaselines guards against a design that completes less essential work or wastes more
// work than a baseline, or that recovers no better than without overload control.
func TestDesignBeatsBaselines(t *testing.T) {
	full := experiment.Run(experiment.Golubarnik, experiment.Surge3.Shortened(), experiment.Full, 1)
	for _, v := range []experiment.Variant{experiment.NoControl, experiment.Static, experiment.Adaptive} {
		baseline := experiment.Run(experiment.Golubarnik, experiment.Surge3.Shortened(), v, 1)
		comment := qt.Commentf("%s", v.Name)
		qt.Check(t, full.Goodput[request.Essential] > baseline.Goodput[request.Essential], qt.IsTrue, comment)
		qt.Check(t, full.WastedWork < baseline.WastedWork, qt.IsTrue, comment)
		qt.Check(t, full.GoodputAfter > baseline.GoodputAfter || v.Name != experiment.NoControl.Name, qt.IsTrue, comment)
	}
}

// TestMechanismsMatter guards against a mechanism without effect: without a common priority, less
// essential work completes, and without early shedding, more work is wasted.
func TestMechanismsMatter(t *testing.T) {
	scenario := experiment.Surge3.Shortened()
	full := experiment.Run(experiment.Agenzia, scenario, experiment.Full, 1)
	noPriority := experiment.Run(experiment.Agenzia, scenario, experiment.NoPriority, 1)
	noEarlyShed := experiment.Run(experiment.Agenzia, scenario, experiment.NoEarlyShed, 1)
	qt.Check(t, full.EssentialAnswered > noPriority.EssentialAnswered, qt.IsTrue)
	qt.Check(t, full.WastedWork < noEarlyShed.WastedWork, qt.IsTrue)
}

// The targets of design section 1, "Measures".
const (
	targetEssential = 0.99
	targetGoodput   = 0.95
	targetWasted    = 0.03
	targetAttempts  = 1.1
	targetRecovery  = 2000 // milliseconds
)

// TestTargetsUnderSurge guards against a change that misses the targets of the design for goodput,
// attempts and recovery at 3 and 10 times the load.
func TestTargetsUnderSurge(t *testing.T) {
	for _, d := range experiment.Deployments {
		for _, scenario := range []experiment.Scenario{experiment.Surge3, experiment.Surge10} {
			t.Run(d.Name+"-"+scenario.Name, func(t *testing.T) {
				r := experiment.Run(d, scenario.Shortened(), experiment.Full, 1)
				qt.Check(t, r.EssentialAnswered >= targetEssential, qt.IsTrue, qt.Commentf("essential %v", r.EssentialAnswered))
				qt.Check(t, r.TotalGoodput >= targetGoodput, qt.IsTrue, qt.Commentf("goodput %v", r.TotalGoodput))
				qt.Check(t, r.AttemptsPerRequest <= targetAttempts, qt.IsTrue, qt.Commentf("attempts %v", r.AttemptsPerRequest))
				qt.Check(t, r.RecoveryMillis >= 0 && r.RecoveryMillis <= targetRecovery, qt.IsTrue, qt.Commentf("recovery %d ms", r.RecoveryMillis))
			})
		}
	}
}

// TestWasteUnderSurge guards against work for requests that fail afterwards, at 3 and 10 times the
// load.
func TestWasteUnderSurge(t *testing.T) {
	for _, d := range experiment.Deployments {
		for _, scenario := range []experiment.Scenario{experiment.Surge3, experiment.Surge10} {
			t.Run(d.Name+"-"+scenario.Name, func(t *testing.T) {
				r := experiment.Run(d, scenario.Shortened(), experiment.Full, 1)
				qt.Check(t, r.WastedWork < targetWasted, qt.IsTrue, qt.Commentf("wasted %v", r.WastedWork))
			})
		}
	}
}
