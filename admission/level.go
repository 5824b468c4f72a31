package admission

import (
	"time"

	"github.com/sapphiretack/sapphiretack/request"
)

const (
	// queueTargetShare is the share of the queue limit that overload keeps
	// filled, so that no slot falls idle between two arrivals.
	queueTargetShare = 0.25
	// maxRoomShare bounds the part of the capacity by which the admitted
	// arrivals differ from it in order to fill or drain the queue. A share of
	// 0.25 made the levels of two services on one path swing against each other.
	maxRoomShare = 0.1
	// groupWidth is half of a class. The priorities of a group are equally
	// frequent, because they are hashes; customers above their rate share the
	// lower half of a class.
	groupWidth = request.PrioritiesPerClass / 2
	groupCount = request.MaxPriority / groupWidth
	// firstRise is the number of priorities by which the level enters a group
	// of which no arrivals are visible yet.
	firstRise = 16
	// riseGrowth bounds the rise within a group to a multiple of its visible part.
	riseGrowth = 3
	// spareShare is the use of the capacity below which the rise doubles in
	// each interval, up to maxRise and across groups, as after a surge.
	spareShare                  = 0.5
	maxRise    request.Priority = 256
	// steadyError is the difference of admitted and admissible arrivals, as a
	// share, below which half of it is corrected; the rest is mostly chance.
	steadyError = 0.25
	steadyGain  = 0.5
	// floodFactor is the ratio of admitted arrivals to capacity from which an
	// interval ends early, after 1/floodDivisor of its length and with
	// floodSamples arrivals, enough to tell the level within a tenth.
	floodFactor  = 2
	floodDivisor = 25
	floodSamples = 64
	// densityDecay is the decay of the remembered density of a group in an
	// interval. Arrivals can be missing because another service on the path
	// has a lower level, and not because demand has fallen.
	densityDecay = 0.95
	// fallSamples is the number of expected arrivals from which a fall of the
	// demand of one group is taken to be a fall of all demand.
	fallSamples = 20
	// fallShare is the share of the expected arrivals below which demand has fallen.
	fallShare = 0.6
)

// leveller computes the level from the arrivals of one control interval.
//
// Below the level the arrivals are known, and the level falls to the cutoff
// that the histogram gives. Above it they are not, since first nodes shed them
// early. The level rises by what the density of its group allows.
type leveller struct {
	level request.Priority
	// previous is the level of the interval before; sources learn a new level within an interval.
	previous request.Priority
	arrivals [request.MaxPriority]uint32
	total    int
	// below counts the arrivals below the level.
	below int
	// density estimates the arrivals per second of each priority of a group.
	density [groupCount]float64
	start   request.Instant
	// pressed is set if the interval refused an attempt for load.
	pressed bool
	// starved is set if the interval refused an attempt for its deadline.
	starved bool
	// rise is the next rise while much capacity is spare.
	rise request.Priority
	// overload is the ratio of arrivals to capacity in the last interval.
	overload float64
}

func newLeveller(now request.Instant) leveller {
	return leveller{level: request.MaxPriority, previous: request.MaxPriority, start: now, rise: firstRise}
}

func (l *leveller) count(p request.Priority) {
	l.arrivals[p]++
	l.total++
	if p < l.level {
		l.below++
	}
}

// endInterval sets the level. Capacity and room are numbers of attempts: what
// the backend server completes in the interval, and by how much the queue is
// shorter than its target.
func (l *leveller) endInterval(now request.Instant, capacity, room float64) {
	seconds := now.Sub(l.start).Seconds()
	l.overload = float64(l.total) / max(capacity, 1)
	l.learn(seconds)
	admissible := capacity + min(max(room, -maxRoomShare*capacity), maxRoomShare*capacity)
	admitted := float64(sum(l.arrivals[:l.level]))
	target := steady(admitted, admissible)
	if admitted < spareShare*capacity {
		l.rise = min(2*l.rise, maxRise)
	} else {
		l.rise = firstRise
	}
	before := l.level
	if target >= admitted {
		l.raise((target - admitted) / seconds)
	} else if l.pressed || room < 0 {
		l.level = l.cutoff(target)
	}
	l.previous = before
	clear(l.arrivals[:])
	l.total, l.below, l.start = 0, 0, now
	l.pressed, l.starved = false, false
}

// learn updates the densities from the visible arrivals.
func (l *leveller) learn(seconds float64) {
	known := min(l.level, l.previous)
	fall := 1.0
	for g := range l.density {
		width := visible(request.Priority(g), known)
		expected := l.density[g] * seconds * float64(width)
		seen := 0.0
		if width > 0 {
			base := request.Priority(g) * groupWidth
			seen = float64(sum(l.arrivals[base : base+width]))
		}
		if fall == 1 && expected >= fallSamples && seen < fallShare*expected && width == groupWidth {
			fall = seen / expected
		}
		l.density[g] *= fall * densityDecay
		if width > 0 {
			l.density[g] = max(l.density[g], seen/seconds/float64(width))
		}
	}
}

// visible returns how many priorities of a group are below a level.
func visible(g, level request.Priority) request.Priority {
	base := g * groupWidth
	return min(max(level, base)-base, groupWidth)
}

func sum(counts []uint32) (n uint32) {
	for _, c := range counts {
		n += c
	}
	return n
}

// steady returns the admissible arrivals, or half of the way to them if the difference is small.
func steady(admitted, admissible float64) float64 {
	if d := admissible - admitted; d < steadyError*admitted && -d < steadyError*admitted {
		return admitted + steadyGain*d
	}
	return admissible
}

// cutoff returns the level, up to the present one, whose admitted arrivals come closest to the target.
func (l *leveller) cutoff(target float64) request.Priority {
	admitted := 0.0
	for p, n := range l.arrivals[:l.level] {
		// Half of the arrivals of a priority decide, so that the error does not always leave capacity unused.
		if admitted+float64(n)/2 > target {
			return request.Priority(p)
		}
		admitted += float64(n)
	}
	return l.level
}

// raise lifts the level by what the headroom, in attempts per second, allows
// at the density of the group that the level is in.
func (l *leveller) raise(headroom float64) {
	if l.level >= request.MaxPriority || headroom <= 0 {
		return
	}
	g := l.level / groupWidth
	end := (g + 1) * groupWidth
	rise := min(max(firstRise, riseGrowth*visible(g, l.level)), end-l.level)
	if l.rise > firstRise {
		rise = max(rise, l.rise)
	}
	if d := l.density[g]; d > 0 {
		rise = request.Priority(min(headroom/d, float64(rise)))
	}
	l.level = min(l.level+rise, request.MaxPriority)
}

// retryAfter tells when a refused caller can expect a different answer: one
// interval for each time that arrivals exceed capacity, and at most 2 s, the
// target of recovery. A spread by attempt keeps callers from coming back together.
func (l *leveller) retryAfter(a request.AttemptID, interval time.Duration) time.Duration {
	const longest = 2 * time.Second
	base := min(time.Duration(max(1, l.overload)*float64(interval)), longest)
	spread := (a.Number*0x9e3779b97f4a7c15 ^ uint64(a.Source)) >> 56
	return base/2 + base/2*time.Duration(spread)/128
}
