package route

import (
	"slices"

	"github.com/sapphiretack/sapphiretack/request"
)

// Pick chooses an instance of a service for an attempt, other than the excluded ones.
//
// It takes the better of two random instances of the nearest tier that has one with room. If no instance has room, the nearest usable one
// decides for itself whether it takes the attempt.
func (t *Table) Pick(now request.Instant, id request.ServiceID, p request.Priority, excluded []request.InstanceID) (Choice, Verdict) {
	s := t.service(id)
	if s == nil {
		return Choice{RetryAfter: t.settings.BrokenMax}, NoInstance
	}
	f := filter{
		now:         now,
		priority:    p,
		excluded:    excluded,
		reportLife:  request.Instant(t.settings.ReportLife),
		availableAt: now.Add(t.settings.BrokenMax),
	}
	t.crowded = t.crowded[:0]
	for _, instances := range s.tiers {
		if in := t.pickTwo(instances, &f); in != nil {
			return in.choice(), Picked
		}
	}
	if len(t.crowded) > 0 {
		return f.lessLoaded(t.drawTwo(t.crowded)).choice(), Picked
	}
	return Choice{RetryAfter: f.availableAt.Sub(now)}, f.verdict
}

// Subset returns the instances of a service that the source connects to, nearest first.
func (t *Table) Subset(id request.ServiceID) []Member {
	s := t.service(id)
	if s == nil {
		return nil
	}
	var out []Member
	for _, instances := range s.tiers {
		for _, in := range instances {
			out = append(out, in.member)
		}
	}
	return out
}

// pickTwo returns the less loaded of two different random instances that are usable and have room.
func (t *Table) pickTwo(instances []*instance, f *filter) *instance {
	if len(instances) == 0 {
		return nil
	}
	// Mostly all instances pass, and the first draw avoids looking at each of them.
	a, b := t.drawTwo(instances)
	if f.isRoomy(a) && f.isRoomy(b) {
		return f.lessLoaded(a, b)
	}
	t.scan(instances, f)
	if len(t.accepted) == 0 {
		return nil
	}
	return f.lessLoaded(t.drawTwo(t.accepted))
}

// scan collects the instances with room, and the full ones of the nearest tier that has usable ones.
func (t *Table) scan(instances []*instance, f *filter) {
	t.accepted = t.accepted[:0]
	collect := len(t.crowded) == 0
	for _, in := range instances {
		switch {
		case f.isExcluded(in):
		case !f.isUsable(in):
			f.noteUnusable(in)
		case !f.isFull(in):
			t.accepted = append(t.accepted, in)
		case collect:
			t.crowded = append(t.crowded, in)
		}
	}
}

// drawTwo returns two different random instances, or the only one twice.
func (t *Table) drawTwo(instances []*instance) (a, b *instance) {
	n := len(instances)
	if n == 1 {
		return instances[0], instances[0]
	}
	first := t.random.IntN(n)
	second := first + 1 + t.random.IntN(n-1)
	return instances[first], instances[second%n]
}

// filter tells which instances an attempt may go to, and notes why it found none.
type filter struct {
	now        request.Instant
	priority   request.Priority
	excluded   []request.InstanceID
	reportLife request.Instant

	verdict     Verdict
	availableAt request.Instant
}

func (f *filter) isRoomy(in *instance) bool {
	return f.isUsable(in) && !f.isExcluded(in) && !f.isFull(in)
}

func (f *filter) isExcluded(in *instance) bool {
	return slices.Contains(f.excluded, in.member.Instance)
}

// isUsable reports whether the instance is neither broken nor refuses the priority.
func (f *filter) isUsable(in *instance) bool {
	return in.brokenUntil <= f.now && in.refusedUntil(f) <= f.now
}

// noteUnusable notes when an instance that is not usable may be available.
func (f *filter) noteUnusable(in *instance) {
	if in.brokenUntil <= f.now {
		f.verdict = AllRefused
	}
	f.availableAt = min(f.availableAt, max(in.refusedUntil(f), in.brokenUntil))
}

func (f *filter) lessLoaded(a, b *instance) *instance {
	if f.loadOf(b) < f.loadOf(a) {
		return b
	}
	return a
}

func (f *filter) isFresh(in *instance) bool {
	return in.reported != 0 && f.now-in.reported <= f.reportLife
}

// loadOf adds the reported queue to the source's own attempts, which are known without delay.
func (f *filter) loadOf(in *instance) uint32 {
	if f.isFresh(in) {
		return in.inFlight + in.load.Queued
	}
	return in.inFlight
}

// isFull reports whether the instance has no free slot for this source's next attempt.
func (f *filter) isFull(in *instance) bool {
	if f.isFresh(in) && in.load.Limit > 0 {
		return max(in.inFlight, in.load.InFlight+in.load.Queued) >= in.load.Limit
	}
	return in.member.Slots > 0 && in.inFlight >= in.member.Slots
}

// refusedUntil returns the end of the refusals that apply to the filter's priority.
func (in *instance) refusedUntil(f *filter) request.Instant {
	var until request.Instant
	for _, r := range in.refusals {
		if f.priority >= r.priority {
			until = max(until, r.until)
		}
	}
	return until
}

func (in *instance) choice() Choice {
	return Choice{Instance: in.member.Instance, Address: in.member.Address, Incarnation: in.member.Incarnation}
}
