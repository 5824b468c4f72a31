package admission

import (
	"time"

	"github.com/sapphiretack/sapphiretack/request"
)

const (
	// slowFactor is the growth of own time over its baseline that starts a trial of a lower limit.
	slowFactor = 1.5
	// normalFactor is the growth below which a lowered limit rises again.
	normalFactor = 1.2
	// trialStep is the share of the limit that a trial takes away.
	trialStep = 0.1
	// keptShare of the completions must remain for a trial to succeed. A
	// backend server limited by its slots loses trialStep of its
	// completions, one that suffers from contention loses none.
	keptShare = 0.95
	// baselineDrift lets the baseline follow a lasting change, by 10% in 4
	// minutes. At 1% a second it absorbed contention within a minute.
	baselineDrift = 1.0001
	// trialSamples is the number of completions before and during a trial. With
	// 75, chance made trials succeed and the limit sank for no reason.
	trialSamples = 800
	// firstHold and maxHold are the intervals after a failed trial in which the
	// limit stays; the hold doubles after each.
	firstHold, maxHold = 8, 128
	// limitFloor is the smallest share of the slots.
	limitFloor = 8
	// rampStart is the share of the slots at the start of a ramp.
	rampStart = 0.1
	// settledSamples is the number of completions that weighs as much as the former estimate.
	settledSamples = 16
)

// limiter adapts the number of attempts that run at once. It lowers the limit
// only if fewer attempts at once complete as much: a backend server that is
// slow for another reason than contention must keep all its slots busy.
type limiter struct {
	slots int
	limit int

	rampFrom request.Instant
	ramp     time.Duration

	// total is the estimated time that an attempt holds its slot.
	total time.Duration
	// baseline is the own time without contention.
	baseline time.Duration

	sumTotal, sumOwn time.Duration
	count            int
	// peak is the largest number of attempts at once in the interval.
	peak int

	trial     trial
	trialFrom int
	before    measurement
	during    measurement
	hold      int
	nextHold  int
}

// measurement is the completion rate over saturated intervals.
type measurement struct {
	count   int
	elapsed time.Duration
}

func (m *measurement) add(count int, elapsed time.Duration) {
	m.count += count
	m.elapsed += elapsed
}

func (m *measurement) rate() float64 { return float64(m.count) / m.elapsed.Seconds() }

type trial uint8

const (
	trialNone trial = iota
	trialSettling
	trialMeasuring
)

func newLimiter(s Settings, now request.Instant) limiter {
	return limiter{
		slots: s.Slots, limit: s.Slots,
		rampFrom: now, ramp: s.Ramp,
		total: s.ServiceTime, nextHold: firstHold,
	}
}

// restart begins a new ramp.
func (l *limiter) restart(now request.Instant) {
	l.limit = l.slots
	l.rampFrom = now
	l.trial, l.hold = trialNone, 0
}

// at returns the limit in force, at least 1.
func (l *limiter) at(now request.Instant) int {
	passed := now.Sub(l.rampFrom)
	if passed >= l.ramp {
		return l.limit
	}
	share := rampStart + (1-rampStart)*float64(passed)/float64(l.ramp)
	return max(1, int(share*float64(l.limit)))
}

// observe takes one finished attempt into account. Failed attempts count,
// since they held a slot; only completed ones tell the own time.
func (l *limiter) observe(total, own time.Duration) {
	l.sumTotal += total
	l.sumOwn += own
	l.count++
}

// perSecond returns the measured service rate with all slots busy.
func (l *limiter) perSecond(now request.Instant) float64 {
	return float64(l.at(now)) / max(l.total, time.Microsecond).Seconds()
}

// endInterval updates the estimates and the limit after an interval of the given length.
func (l *limiter) endInterval(elapsed time.Duration, starved bool) {
	if l.count == 0 {
		// Without completions a too high estimate would refuse every deadline for ever.
		if starved {
			l.total = max(l.total/2, time.Microsecond)
		}
		l.peak = 0
		return
	}
	weight := float64(l.count) / float64(l.count+settledSamples)
	mean := float64(l.sumTotal) / float64(l.count)
	l.total += time.Duration(weight * (mean - float64(l.total)))
	l.adapt(l.sumOwn/time.Duration(l.count), elapsed)
	l.sumTotal, l.sumOwn, l.count, l.peak = 0, 0, 0, 0
}

func (l *limiter) adapt(own, elapsed time.Duration) {
	if l.count < settledSamples {
		return
	}
	if l.baseline == 0 || own < l.baseline {
		l.baseline = own
	}
	l.baseline = time.Duration(float64(l.baseline) * baselineDrift)
	l.hold = max(0, l.hold-1)
	growth := float64(own) / float64(l.baseline)
	switch {
	case l.peak < l.limit:
		// Only a full backend server tells something about its limit.
		l.abandonTrial()
	case l.trial == trialSettling:
		l.trial = trialMeasuring
		return
	case l.trial == trialMeasuring:
		l.during.add(l.count, elapsed)
		l.endTrial(own)
		return
	case growth > slowFactor:
		l.before.add(l.count, elapsed)
		l.beginTrial()
		return
	}
	if growth <= normalFactor && l.hold == 0 {
		l.limit = min(l.slots, l.limit+max(1, l.limit/10))
	}
}

func (l *limiter) abandonTrial() {
	if l.trial != trialNone {
		l.limit = l.trialFrom
	}
	l.trial = trialNone
	l.before, l.during = measurement{}, measurement{}
}

func (l *limiter) beginTrial() {
	lower := max(l.slots/limitFloor, int(float64(l.limit)*(1-trialStep)), 1)
	if l.before.count < trialSamples || l.hold > 0 || lower >= l.limit {
		return
	}
	l.trial, l.trialFrom = trialSettling, l.limit
	l.limit = lower
}

// endTrial keeps the lower limit if completions did not fall with it. If they
// fell with the first step below the slots, the backend server is slow for
// another reason than contention, and its present own time becomes the
// baseline, so that the same slowness starts no further trial.
func (l *limiter) endTrial(own time.Duration) {
	if l.during.count < trialSamples {
		return
	}
	kept := l.during.rate() >= keptShare*l.before.rate()
	l.trial = trialNone
	l.before, l.during = l.during, measurement{}
	if kept {
		return
	}
	l.limit = l.trialFrom
	if l.limit == l.slots {
		l.baseline = own
	}
	l.before = measurement{}
	l.hold = l.nextHold
	l.nextHold = min(2*l.nextHold, maxHold)
}
