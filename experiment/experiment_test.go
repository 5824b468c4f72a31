package experiment_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/sapphiretack/sapphiretack/experiment"
	"github.com/sapphiretack/sapphiretack/request"
)

// Guards against a run that depends on anything but its seed, which would make a measured difference meaningless.
func TestRunRepeats(t *testing.T) {
	a := experiment.Run(experiment.Golubarnik, experiment.ThirdGone.Short(), experiment.Full, 3)
	b := experiment.Run(experiment.Golubarnik, experiment.ThirdGone.Short(), experiment.Full, 3)
	qt.Assert(t, a, qt.DeepEquals, b)
}

// Guards against a design that completes less essential work, or wastes more,
// than a baseline, and against one that recovers no better than no control.
func TestDesignBeatsBaselines(t *testing.T) {
	for _, d := range experiment.Deployments {
		full := experiment.Run(d, experiment.Surge3.Short(), experiment.Full, 1)
		for _, v := range []experiment.Variant{experiment.NoControl, experiment.Static, experiment.Adaptive} {
			baseline := experiment.Run(d, experiment.Surge3.Short(), v, 1)
			comment := qt.Commentf("%s, %s", d.Name, v.Name)
			qt.Check(t, full.Goodput[request.Essential] > baseline.Goodput[request.Essential], qt.IsTrue, comment)
			qt.Check(t, full.Wasted < baseline.Wasted, qt.IsTrue, comment)
			qt.Check(t, full.After > baseline.After || v.Name != experiment.NoControl.Name, qt.IsTrue, comment)
		}
	}
}
