package mesh

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestReadiness guards against a starting node that serves by an older configuration than other nodes have, and against one that waits for
// nodes that are not there.
func TestReadiness(t *testing.T) {
	c := qt.New(t)
	var r readiness
	c.Check(r.check(0, 3), qt.IsFalse)
	r.readAddresses(2)
	c.Check(r.check(0, 3), qt.IsFalse)
	r.hear(0) // of a node that is starting as well
	c.Check(r.check(0, 3), qt.IsFalse)
	r.hear(5)
	c.Check(r.check(0, 3), qt.IsFalse)
	c.Check(r.check(0, 5), qt.IsTrue)
	r.hear(6)
	c.Check(r.check(0, 5), qt.IsTrue, qt.Commentf("a node that is ready stays so"))

	var alone readiness
	alone.readAddresses(0)
	c.Check(alone.check(0, 0), qt.IsFalse)
	c.Check(alone.check(0, 1), qt.IsTrue)

	var silent readiness
	c.Check(silent.check(maxStartDelay+time.Millisecond, 0), qt.IsFalse)
	c.Check(silent.check(maxStartDelay+time.Millisecond, 1), qt.IsTrue)
}
