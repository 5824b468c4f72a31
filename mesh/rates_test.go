package mesh

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestRatesAtStart guards against a node that believes for a second after its start that clients ask for less than they do.
func TestRatesAtStart(t *testing.T) {
	c := qt.New(t)
	r := newRates()
	for interval := range 20 {
		for range 10 {
			r.arrive(1, time.Second)
		}
		out := r.roll(100 * time.Millisecond)
		c.Assert(out, qt.HasLen, 1)
		c.Check(out[0].PerSecond > 99 && out[0].PerSecond < 101, qt.IsTrue, qt.Commentf("interval %d: %v", interval, out[0].PerSecond))
	}
}

// TestRatesFollow guards against a rate that stays high after a surge, or that one interval decides.
func TestRatesFollow(t *testing.T) {
	c := qt.New(t)
	r := newRates()
	roll := func(arrivals int) float32 {
		for range arrivals {
			r.arrive(1, time.Second)
		}
		return r.roll(100 * time.Millisecond)[0].PerSecond
	}
	for range 50 {
		roll(10)
	}
	c.Check(roll(40) < 200, qt.IsTrue)
	for range 20 {
		roll(1)
	}
	last := roll(1)
	c.Check(last > 9 && last < 20, qt.IsTrue, qt.Commentf("%v", last))
}
