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
	s := t.services[id]
	if s == nil {
		return Choice{RetryAfter: t.settings.BrokenMax}, NoInstance
	}
	f := filter{now: now, priority: p, excluded: excluded, reportLife: request.Instant(t.settings.ReportLife)}
	if in := t.pickTier(s, &f, true); in != nil {
		return in.choice(), Picked
	}
	if in := t.pickTier(s, &f, false); in != nil {
		return in.choice(), Picked
	}
	return s.unavailable(&f, &t.settings)
}

// Subset returns the instances of a service that the source connects to, nearest first.
func (t *Table) Subset(id request.ServiceID) []Member {
	s := t.services[id]
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

func (t *Table) pickTier(s *service, f *filter, needRoom bool) *instance {
	for _, instances := range s.tiers {
		if in := t.pickTwo(instances, f, needRoom); in != nil {
			return in
		}
	}
	return nil
}

// pickTwo returns the less loaded of two different random instances that pass the filter.
func (t *Table) pickTwo(instances []*instance, f *filter, needRoom bool) *instance {
	n := len(instances)
	if n == 0 {
		return nil
	}
	// Mostly all instances pass, and the first draw avoids looking at each of them.
	a, b := t.drawTwo(instances)
	if f.accepts(a, needRoom) && f.accepts(b, needRoom) {
		return f.lessLoaded(a, b)
	}
	t.accepted = t.accepted[:0]
	for _, in := range instances {
		if f.accepts(in, needRoom) {
			t.accepted = append(t.accepted, in)
		}
	}
	if len(t.accepted) == 0 {
		return nil
	}
	return f.lessLoaded(t.drawTwo(t.accepted))
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

// filter tells which instances an attempt may go to.
type filter struct {
	now        request.Instant
	priority   request.Priority
	excluded   []request.InstanceID
	reportLife request.Instant
}

func (f *filter) accepts(in *instance, needRoom bool) bool {
	return in.brokenUntil <= f.now &&
		!slices.Contains(f.excluded, in.member.Instance) &&
		in.refusedUntil(f) <= f.now &&
		!(needRoom && f.isFull(in))
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

// unavailable tells why no instance was picked and when the first one may be available.
func (s *service) unavailable(f *filter, settings *Settings) (Choice, Verdict) {
	verdict := NoInstance
	at := f.now.Add(settings.BrokenMax)
	for _, instances := range s.tiers {
		for _, in := range instances {
			if slices.Contains(f.excluded, in.member.Instance) {
				continue
			}
			refused := in.refusedUntil(f)
			if in.brokenUntil <= f.now && refused > f.now {
				verdict = AllRefused
			}
			at = min(at, max(refused, in.brokenUntil))
		}
	}
	return Choice{RetryAfter: at.Sub(f.now)}, verdict
}
