package admission

import (
	"time"

	"github.com/sapphiretack/sapphiretack/request"
)

const (
	// queueTargetShare is the share of the queue limit that overload keeps
	// filled, so that no slot falls idle between two arrivals.
	queueTargetShare = 0.25
	// densityWindow is the number of priorities below the level from which the
	// arrivals above it are estimated; sources that shed early send none.
	densityWindow = 64
	// maxDrainShare bounds the part of the capacity that is kept for an
	// overlong queue; without it a service time of one interval would set the
	// level to 0 and to request.MaxPriority in turn.
	maxDrainShare = 0.25
	// spareShare is the use of the capacity below which the level rises by
	// doubling steps; at a higher use an idle moment is chance.
	spareShare = 0.95
	// minRise and maxRise bound the rise of the level in one interval. From
	// minRise, doubling reaches request.MaxPriority in 7 intervals.
	minRise, maxRise request.Priority = 8, 256
)

// leveller computes the level from the arrivals of one control interval.
type leveller struct {
	level    request.Priority
	arrivals [request.MaxPriority]uint32
	total    int
	start    request.Instant
	// pressed is set if the interval refused an attempt for load.
	pressed bool
	// starved is set if the interval refused an attempt for its deadline.
	starved bool
	rise    request.Priority
	// overload is the ratio of arrivals to capacity in the last interval.
	overload float64
}

func newLeveller(now request.Instant) leveller {
	return leveller{level: request.MaxPriority, start: now, rise: minRise}
}

func (l *leveller) count(p request.Priority) {
	l.arrivals[p]++
	l.total++
}

// endInterval sets the level. Capacity and room are numbers of attempts: what
// the backend server completes in the interval, and by how much the queue is
// shorter than its target. Idle is set if the queue is empty and slots are free.
func (l *leveller) endInterval(now request.Instant, capacity, room float64, idle bool) {
	admissible := max(0, capacity+room)
	l.overload = float64(l.total) / max(capacity, 1)
	cutoff, below := l.cutoff(admissible)
	switch {
	case cutoff < l.level && (l.pressed || room < 0):
		l.level, l.rise = cutoff, minRise
	case l.level < request.MaxPriority && cutoff > l.level:
		l.raise(cutoff, admissible-below, idle && below < spareShare*capacity)
	}
	clear(l.arrivals[:])
	l.total, l.start = 0, now
	l.pressed, l.starved = false, false
}

// cutoff returns the level whose admitted arrivals come closest to the
// admissible number, and the arrivals below the present level.
func (l *leveller) cutoff(admissible float64) (level request.Priority, below float64) {
	sum := 0.0
	level = request.MaxPriority
	for p, n := range l.arrivals {
		if request.Priority(p) == l.level {
			below = sum
		}
		sum += float64(n)
		// Half of the arrivals of a priority decide, so that the error does not always leave capacity unused.
		if sum-float64(n)/2 > admissible && level == request.MaxPriority {
			level = request.Priority(p)
		}
	}
	if l.level == request.MaxPriority {
		below = sum
	}
	return level, below
}

// raise lifts the level towards the cutoff by what the density of the
// arrivals allows, or, while the backend server is idle, by a doubling step.
func (l *leveller) raise(cutoff request.Priority, headroom float64, idle bool) {
	first := l.level - min(densityWindow, l.level)
	seen := 0.0
	for _, n := range l.arrivals[first:l.level] {
		seen += float64(n)
	}
	step := minRise
	if width := float64(l.level - first); seen > 0 && headroom > 0 {
		step = request.Priority(min(headroom*width/seen, float64(maxRise)))
	}
	if idle {
		step = max(step, l.rise)
		l.rise = min(2*l.rise, maxRise)
	} else {
		l.rise = minRise
	}
	l.level = min(l.level+step, max(cutoff, l.level), request.MaxPriority)
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
