package admission

import (
	"time"

	"github.com/sapphiretack/sapphiretack/request"
)

const (
	// contentionFactor is the ratio of own time to its baseline above which a lower limit is tried.
	contentionFactor = 1.5
	// recoveryFactor is the ratio up to which a lowered limit rises again.
	recoveryFactor = 1.2
	// trialStep is the share by which a trial of a lower limit reduces it.
	trialStep = 0.1
	// minThroughputShare is the share of the completion rate that must remain
	// for a trial to succeed. A backend server limited by its slots loses
	// trialStep of its rate, one that is slowed by contention loses nothing.
	minThroughputShare = 0.95
	// baselineDrift is the growth of the baseline per interval, 10% in 4
	// minutes, so that it follows a lasting change. A growth of 1% per second
	// raised the baseline to the contended time within a minute.
	baselineDrift = 1.0001
	// trialSamples is the minimum number of completions measured before and
	// during a trial. With 75, trials succeeded by chance and the limit fell
	// without contention.
	trialSamples = 800
	// firstCooldown and maxCooldown bound the number of intervals after a failed
	// trial in which the limit does not change; it doubles with each failure.
	firstCooldown, maxCooldown = 8, 128
	// minLimitDivisor divides the slots to give the minimum limit.
	minLimitDivisor = 8
	// initialWarmUpShare is the share of the limit in force at the start of a warm-up.
	initialWarmUpShare = 0.1
	// smoothingSamples is the number of completions that has the same weight as the previous estimate.
	smoothingSamples = 16
)

// limiter adapts the concurrency limit of the backend server. It lowers the
// limit only if throughput does not fall with it: a backend server that is slow
// for a reason other than contention needs all of its slots.
type limiter struct {
	slots int
	limit int

	warmUpStartedAt request.Instant
	warmUpDuration  time.Duration

	// serviceTime is the estimated time that an attempt occupies a slot.
	serviceTime time.Duration
	// baseline is the estimated own time of an attempt without contention.
	baseline time.Duration

	sumServiceTime, sumOwnTime time.Duration
	count                      int
	// peak is the maximum number of running attempts in the interval.
	peak int

	trial            trial
	limitBeforeTrial int
	beforeTrial      measurement
	duringTrial      measurement
	cooldown         int
	nextCooldown     int
}

// measurement accumulates the completions of saturated intervals.
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
	trialNone     trial = iota
	trialSettling       // first interval with the lower limit, not measured
	trialMeasuring
)

func newLimiter(s Settings, now request.Instant) limiter {
	return limiter{
		slots: s.Slots, limit: s.Slots,
		warmUpStartedAt: now, warmUpDuration: s.WarmUp,
		serviceTime: s.ServiceTime, nextCooldown: firstCooldown,
	}
}

// restart resets the limit to all slots and begins a new warm-up.
func (l *limiter) restart(now request.Instant) {
	l.limit = l.slots
	l.warmUpStartedAt = now
	l.trial, l.cooldown = trialNone, 0
}

// limitAt returns the limit in force, at least 1.
func (l *limiter) limitAt(now request.Instant) int {
	elapsed := now.Sub(l.warmUpStartedAt)
	if elapsed >= l.warmUpDuration {
		return l.limit
	}
	share := initialWarmUpShare + (1-initialWarmUpShare)*float64(elapsed)/float64(l.warmUpDuration)
	return max(1, int(share*float64(l.limit)))
}

// observe adds the times of one finished attempt to the sums of the interval.
// Failed attempts count as well, because they occupied a slot.
func (l *limiter) observe(total, own time.Duration) {
	l.sumServiceTime += total
	l.sumOwnTime += own
	l.count++
}

// serviceRate returns the estimated number of completions per second with all slots busy.
func (l *limiter) serviceRate(now request.Instant) float64 {
	return float64(l.limitAt(now)) / max(l.serviceTime, time.Microsecond).Seconds()
}

// endInterval updates the estimates and the limit after an interval of the given length.
func (l *limiter) endInterval(elapsed time.Duration, deadlineRefused bool) {
	if l.count == 0 {
		// Halves the estimate: if it is too high, every attempt is refused for its deadline and nothing would correct it.
		if deadlineRefused {
			l.serviceTime = max(l.serviceTime/2, time.Microsecond)
		}
		l.peak = 0
		return
	}
	weight := float64(l.count) / float64(l.count+smoothingSamples)
	mean := float64(l.sumServiceTime) / float64(l.count)
	l.serviceTime += time.Duration(weight * (mean - float64(l.serviceTime)))
	l.adjustLimit(l.sumOwnTime/time.Duration(l.count), elapsed)
	l.sumServiceTime, l.sumOwnTime, l.count, l.peak = 0, 0, 0, 0
}

func (l *limiter) adjustLimit(own, elapsed time.Duration) {
	if l.count < smoothingSamples {
		return
	}
	if l.baseline == 0 || own < l.baseline {
		l.baseline = own
	}
	l.baseline = time.Duration(float64(l.baseline) * baselineDrift)
	l.cooldown = max(0, l.cooldown-1)
	slowdown := float64(own) / float64(l.baseline)
	switch {
	case l.peak < l.limit:
		// An interval in which the limit was not reached does not show its effect.
		l.abandonTrial()
	case l.trial == trialSettling:
		l.trial = trialMeasuring
		return
	case l.trial == trialMeasuring:
		l.duringTrial.add(l.count, elapsed)
		l.endTrial(own)
		return
	case slowdown > contentionFactor:
		l.beforeTrial.add(l.count, elapsed)
		l.beginTrial()
		return
	}
	if slowdown <= recoveryFactor && l.cooldown == 0 {
		l.limit = min(l.slots, l.limit+max(1, l.limit/10))
	}
}

func (l *limiter) abandonTrial() {
	if l.trial != trialNone {
		l.limit = l.limitBeforeTrial
	}
	l.trial = trialNone
	l.beforeTrial, l.duringTrial = measurement{}, measurement{}
}

func (l *limiter) beginTrial() {
	lower := max(l.slots/minLimitDivisor, int(float64(l.limit)*(1-trialStep)), 1)
	if l.beforeTrial.count < trialSamples || l.cooldown > 0 || lower >= l.limit {
		return
	}
	l.trial, l.limitBeforeTrial = trialSettling, l.limit
	l.limit = lower
}

// endTrial keeps the lower limit if the completion rate did not fall with it. If
// it fell with the first step below the slots, the backend server is slow for a
// reason other than contention. Its current own time then becomes the baseline,
// so that the same slowness does not start another trial.
func (l *limiter) endTrial(own time.Duration) {
	if l.duringTrial.count < trialSamples {
		return
	}
	kept := l.duringTrial.rate() >= minThroughputShare*l.beforeTrial.rate()
	l.trial = trialNone
	l.beforeTrial, l.duringTrial = l.duringTrial, measurement{}
	if kept {
		return
	}
	l.limit = l.limitBeforeTrial
	if l.limit == l.slots {
		l.baseline = own
	}
	l.beforeTrial = measurement{}
	l.cooldown = l.nextCooldown
	l.nextCooldown = min(2*l.nextCooldown, maxCooldown)
}
