package admission

import (
	"time"

	"github.com/sapphiretack/sapphiretack/request"
)

const (
	// queueTargetShare is the target length of the queue under overload, as a
	// share of its limit, so that no slot is idle between two arrivals.
	queueTargetShare = 0.25
	// maxQueueCorrection is the maximum difference of admitted arrivals and
	// capacity, as a share of the capacity, that fills or drains the queue. With
	// 0.25 the levels of two services on one path oscillated in opposition.
	maxQueueCorrection = 0.1
	// groupWidth is the number of priorities in a group, half of a class. The
	// priorities within a group are equally frequent, because they are hashes;
	// customers above their rate use the less important half of a class.
	groupWidth = request.PrioritiesPerClass / 2
	groupCount = request.PriorityCount / groupWidth
	// minRise is the number of priorities by which the level rises into a group
	// whose arrivals have not been observed yet.
	minRise = 16
	// riseGrowth limits a rise to this multiple of the part of the group below the level.
	riseGrowth = 3
	// lowUtilization is the share of the capacity below which the rise doubles
	// in each interval, up to maxRise and across groups, to recover after a surge.
	lowUtilization                  = 0.5
	maxRise        request.Priority = 256
	// dampedError is the relative difference of admitted and admissible arrivals
	// below which only dampedGain of it is corrected, because small differences
	// are mostly random.
	dampedError = 0.25
	dampedGain  = 0.5
	// surgeFactor is the ratio of admitted arrivals to capacity above which an
	// interval ends early, but not before 1/surgeDivisor of its length and
	// surgeSamples arrivals, which determine the level to within a tenth.
	surgeFactor  = 2
	surgeDivisor = 25
	surgeSamples = 64
	// densityDecay is the factor by which the density of a group decays in each
	// interval. It is slow because arrivals can be missing due to a lower level
	// of another service on the path, without a fall of demand.
	densityDecay = 0.95
	// demandDropSamples is the minimum number of expected arrivals at which a
	// drop in one group is taken for a drop of the total demand.
	demandDropSamples = 20
	// demandDropShare is the share of the expected arrivals below which demand has dropped.
	demandDropShare = 0.6
)

// levelController computes the admission level from the arrivals of each
// control interval.
//
// Arrivals below the level are observed, so the level falls to the cutoff that
// their histogram determines. Arrivals above it are not, because the first
// nodes shed them; the level rises by an estimate from the density of its group.
type levelController struct {
	current request.Priority
	// previous is the level of the previous interval; sources learn of a new level within one interval.
	previous request.Priority
	arrivals [request.PriorityCount]uint32
	total    int
	// belowLevel is the number of arrivals below the level.
	belowLevel int
	// density is the estimated arrival rate of one priority of each group, per second.
	density [groupCount]float64
	start   request.Instant
	// loadRefused is set if an attempt was refused for load in this interval.
	loadRefused bool
	// deadlineRefused is set if an attempt was refused for its deadline in this interval.
	deadlineRefused bool
	// rise is the number of priorities by which the level may rise at low utilization.
	rise request.Priority
	// loadRatio is the ratio of arrivals to capacity in the last interval.
	loadRatio float64
}

func newLevelController(now request.Instant) levelController {
	return levelController{current: request.PriorityCount, previous: request.PriorityCount, start: now, rise: minRise}
}

func (l *levelController) count(p request.Priority) {
	l.arrivals[p]++
	l.total++
	if p < l.current {
		l.belowLevel++
	}
}

// endInterval recomputes the level. The parameters are numbers of attempts:
// capacity is what the backend server completes in the interval, and room is
// how much shorter than its target the queue is.
func (l *levelController) endInterval(now request.Instant, capacity, room float64) {
	seconds := now.Sub(l.start).Seconds()
	l.loadRatio = float64(l.total) / max(capacity, 1)
	l.updateDensities(seconds)
	admissible := capacity + min(max(room, -maxQueueCorrection*capacity), maxQueueCorrection*capacity)
	admitted := float64(sum(l.arrivals[:l.current]))
	target := damp(admitted, admissible)
	if admitted < lowUtilization*capacity {
		l.rise = min(2*l.rise, maxRise)
	} else {
		l.rise = minRise
	}
	previous := l.current
	if target >= admitted {
		l.raise((target - admitted) / seconds)
	} else if l.loadRefused || room < 0 {
		l.current = l.cutoff(target)
	}
	l.previous = previous
	clear(l.arrivals[:])
	l.total, l.belowLevel, l.start = 0, 0, now
	l.loadRefused, l.deadlineRefused = false, false
}

// updateDensities estimates the densities from the observed arrivals.
func (l *levelController) updateDensities(seconds float64) {
	known := min(l.current, l.previous)
	drop := 1.0
	for g := range l.density {
		width := visibleWidth(request.Priority(g), known)
		expected := l.density[g] * seconds * float64(width)
		observed := 0.0
		if width > 0 {
			base := request.Priority(g) * groupWidth
			observed = float64(sum(l.arrivals[base : base+width]))
		}
		if drop == 1 && expected >= demandDropSamples && observed < demandDropShare*expected && width == groupWidth {
			drop = observed / expected
		}
		l.density[g] *= drop * densityDecay
		if width > 0 {
			l.density[g] = max(l.density[g], observed/seconds/float64(width))
		}
	}
}

// visibleWidth returns how many priorities of a group are below a level.
func visibleWidth(g, level request.Priority) request.Priority {
	base := g * groupWidth
	return min(max(level, base)-base, groupWidth)
}

func sum(counts []uint32) (n uint32) {
	for _, c := range counts {
		n += c
	}
	return n
}

// damp returns the target for the admitted arrivals: the admissible ones, or the midpoint if the difference is small.
func damp(admitted, admissible float64) float64 {
	if d := admissible - admitted; d < dampedError*admitted && -d < dampedError*admitted {
		return admitted + dampedGain*d
	}
	return admissible
}

// cutoff returns the level, at most the current one, whose admitted arrivals are closest to the target.
func (l *levelController) cutoff(target float64) request.Priority {
	admitted := 0.0
	for p, n := range l.arrivals[:l.current] {
		// Rounds to the nearest priority; rounding down would always leave capacity unused.
		if admitted+float64(n)/2 > target {
			return request.Priority(p)
		}
		admitted += float64(n)
	}
	return l.current
}

// raise increases the level by the headroom, in attempts per second, divided by
// the density of the group that the level is in, within the limits on a rise.
func (l *levelController) raise(headroom float64) {
	if l.current >= request.PriorityCount || headroom <= 0 {
		return
	}
	g := l.current / groupWidth
	end := (g + 1) * groupWidth
	rise := min(max(minRise, riseGrowth*visibleWidth(g, l.current)), end-l.current)
	if l.rise > minRise {
		rise = max(rise, l.rise)
	}
	if d := l.density[g]; d > 0 {
		rise = request.Priority(min(headroom/d, float64(rise)))
	}
	l.current = min(l.current+rise, request.PriorityCount)
}

// retryAfter returns the delay after which a refused caller may resend. Its base
// is one control interval multiplied by the load ratio, at most 2 s, the
// recovery target. Jitter derived from the attempt ID scales the base by a
// factor between 0.5 and 1.5, so that callers do not resend at the same time.
func (l *levelController) retryAfter(a request.AttemptID, interval time.Duration) time.Duration {
	const maxDelay = 2 * time.Second
	base := min(time.Duration(max(1, l.loadRatio)*float64(interval)), maxDelay)
	jitter := (a.Number*0x9e3779b97f4a7c15 ^ uint64(a.Source)) >> 56
	return base/2 + base/2*time.Duration(jitter)/128
}
