package mesh

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestRatesAtStart guards against rates that are too low for a second after a start, because the average starts at 0.
func TestRatesAtStart(t *testing.T) {
	c := qt.New(t)
	r := newRateMeter()
	for interval := range 20 {
		for range 10 {
			r.countRequest(1, time.Second)
		}
		out := r.endInterval(100 * time.Millisecond)
		c.Assert(out, qt.HasLen, 1)
		c.Check(out[0].PerSecond > 99 && out[0].PerSecond < 101, qt.IsTrue, qt.Commentf("interval %d: %v", interval, out[0].PerSecond))
	}
}

// TestRatesFollowDemand guards against a rate that stays high after a surge or jumps with a single interval.
func TestRatesFollowDemand(t *testing.T) {
	c := qt.New(t)
	r := newRateMeter()
	roll := func(arrivals int) float32 {
		for range arrivals {
			r.countRequest(1, time.Second)
		}
		return r.endInterval(100 * time.Millisecond)[0].PerSecond
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
