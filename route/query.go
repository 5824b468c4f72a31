package route

import (
	"slices"

	"github.com/sapphiretack/sapphiretack/request"
)

// Pick selects an instance of a service for an attempt, other than the excluded ones.
//
// It takes the less loaded of two random instances of the nearest tier that has an instance with a free slot. If all instances are full, it
// takes the less loaded of two random usable instances of the nearest tier that has one, and leaves admission to that instance.
func (t *Table) Pick(now request.Instant, id request.ServiceID, p request.Priority, excluded []request.InstanceID) (Choice, PickResult) {
	s := t.service(id)
	if s == nil {
		return Choice{RetryAfter: t.settings.MaxBackoff}, NoInstance
	}
	f := filter{
		now:          now,
		priority:     p,
		excluded:     excluded,
		maxReportAge: request.Instant(t.settings.ReportTTL),
		availableAt:  now.Add(t.settings.MaxBackoff),
	}
	t.full = t.full[:0]
	for _, instances := range s.tiers {
		if in := t.pickLessLoaded(instances, &f); in != nil {
			return in.choice(), Picked
		}
	}
	if len(t.full) > 0 {
		return f.lessLoaded(t.sampleTwo(t.full)).choice(), Picked
	}
	return Choice{RetryAfter: f.availableAt.Sub(now)}, f.result
}

// Subset returns the instances of a service that the source may connect to, nearest first.
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

// pickLessLoaded returns the less loaded of two random instances that are usable, not excluded and not full, or nil if there is none.
func (t *Table) pickLessLoaded(instances []*instance, f *filter) *instance {
	if len(instances) == 0 {
		return nil
	}
	// Fast path: usually every instance qualifies, and sampling avoids a scan of all of them.
	a, b := t.sampleTwo(instances)
	if f.isAvailable(a) && f.isAvailable(b) {
		return f.lessLoaded(a, b)
	}
	t.scan(instances, f)
	if len(t.available) == 0 {
		return nil
	}
	return f.lessLoaded(t.sampleTwo(t.available))
}

// scan collects the usable instances of a tier that are not full and, unless a nearer tier had full ones, the usable full ones.
func (t *Table) scan(instances []*instance, f *filter) {
	t.available = t.available[:0]
	collect := len(t.full) == 0
	for _, in := range instances {
		switch {
		case f.isExcluded(in):
		case !f.isUsable(in):
			f.recordUnusable(in)
		case !f.isFull(in):
			t.available = append(t.available, in)
		case collect:
			t.full = append(t.full, in)
		}
	}
}

// sampleTwo returns two different random instances, or the same one twice if there is only one.
func (t *Table) sampleTwo(instances []*instance) (a, b *instance) {
	n := len(instances)
	if n == 1 {
		return instances[0], instances[0]
	}
	first := t.random.IntN(n)
	second := first + 1 + t.random.IntN(n-1)
	return instances[first], instances[second%n]
}

// filter decides which instances are eligible for an attempt and records why none was found.
type filter struct {
	now          request.Instant
	priority     request.Priority
	excluded     []request.InstanceID
	maxReportAge request.Instant

	result      PickResult
	availableAt request.Instant
}

func (f *filter) isAvailable(in *instance) bool {
	return f.isUsable(in) && !f.isExcluded(in) && !f.isFull(in)
}

func (f *filter) isExcluded(in *instance) bool {
	return slices.Contains(f.excluded, in.member.Instance)
}

// isUsable reports whether the instance is not marked broken and has not recently refused the priority.
func (f *filter) isUsable(in *instance) bool {
	return in.brokenUntil <= f.now && in.refusedUntil(f) <= f.now
}

// recordUnusable records when an instance that is not usable may become available.
func (f *filter) recordUnusable(in *instance) {
	if in.brokenUntil <= f.now {
		f.result = AllRefused
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
	return in.reportedAt != 0 && f.now-in.reportedAt <= f.maxReportAge
}

// loadOf returns the in-flight attempts of this source, which are always current, plus the reported queue length.
func (f *filter) loadOf(in *instance) uint32 {
	if f.isFresh(in) {
		return in.inFlight + in.load.Queued
	}
	return in.inFlight
}

// isFull reports whether the instance has no free slot for another attempt of this source.
func (f *filter) isFull(in *instance) bool {
	if f.isFresh(in) && in.load.Limit > 0 {
		return max(in.inFlight, in.load.InFlight+in.load.Queued) >= in.load.Limit
	}
	return in.member.Slots > 0 && in.inFlight >= in.member.Slots
}

// refusedUntil returns the time at which the last refusal that applies to the filter's priority ends.
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
