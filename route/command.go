package route

import (
	"math/rand/v2"
	"time"

	"github.com/sapphiretack/sapphiretack/request"
)

// Table holds the known instances of each service, their load and their failures, as seen by one source.
type Table struct {
	settings Settings
	random   *rand.Rand
	members  []Member
	// membersVersion is incremented by each update of members; a service with an older version is rebuilt on its next use.
	membersVersion uint64
	localSources   int // members in the zone of the source; every member is a source
	instances      map[request.InstanceID]*instance
	services       map[request.ServiceID]*service
	paths          map[pathKey]*pathLevel
	// Buffers that Pick reuses to avoid allocations.
	available, full []*instance
}

// service holds the subset of instances of one service that the source uses, by distance.
type service struct {
	membersVersion uint64
	tiers          [tierCount][]*instance
}

// instance is the state of one instance as known to the source.
type instance struct {
	member   Member
	inFlight uint32

	load       Load
	reportedAt request.Instant

	// Refusals by class, so that a refused bulk attempt does not extend the refusal of essential ones.
	refusals [request.ClassCount]refusal

	failures    uint32
	brokenUntil request.Instant
	// halfOpen is set while one attempt tests whether a broken instance has recovered, as in the half-open state of a circuit breaker.
	halfOpen bool
}

// refusal excludes an instance for attempts of a priority and less important ones until the given time.
type refusal struct {
	priority request.Priority
	until    request.Instant
}

type pathKey struct {
	service   request.ServiceID
	operation request.Operation
}

// New returns a table without instances; random selects instances and the requests that pass above the level.
func New(s Settings, random *rand.Rand) *Table {
	return &Table{
		settings:  s,
		random:    random,
		instances: make(map[request.InstanceID]*instance),
		services:  make(map[request.ServiceID]*service),
		paths:     make(map[pathKey]*pathLevel),
	}
}

// Update replaces the members; the state of an instance is kept as long as its incarnation does not change.
//
// The subset of a service is rebuilt on its next use: a source calls few of the 74 services, and members change often while a zone fails.
// Reports about an instance that is in no subset, because its service has not been used or the subset excludes it, have no effect.
func (t *Table) Update(members []Member) {
	t.members = append(t.members[:0], members...)
	t.membersVersion++
	t.localSources = 0
	for i := range t.members {
		if t.members[i].Zone == t.settings.Zone {
			t.localSources++
		}
	}
}

// service returns a service, rebuilt after an update, or nil if it has no instances.
func (t *Table) service(id request.ServiceID) *service {
	s := t.services[id]
	if s != nil && s.membersVersion == t.membersVersion {
		return s
	}
	return t.rebuild(id, s)
}

// rebuild selects the subset of a service from the current members.
func (t *Table) rebuild(id request.ServiceID, previous *service) *service {
	candidates, p := t.candidates(id)
	next := &service{membersVersion: t.membersVersion}
	known := t.removeInstances(previous)
	for _, c := range t.settings.subset(candidates, p) {
		in := known[c.member.Instance]
		if in == nil || in.member.Incarnation != c.member.Incarnation {
			in = new(instance)
		}
		in.member = c.member
		t.instances[c.member.Instance] = in
		n := t.settings.tierOf(c.member)
		next.tiers[n] = append(next.tiers[n], in)
	}
	if len(candidates) == 0 {
		// Callers may name services that do not exist; keeping an entry for each would let memory grow without bound.
		delete(t.services, id)
		return nil
	}
	t.services[id] = next
	return next
}

// candidates returns the members of a service that may receive attempts, and the counts that determine the subset size.
func (t *Table) candidates(id request.ServiceID) ([]candidate, subsetCounts) {
	var out []candidate
	p := subsetCounts{localSources: t.localSources, otherSources: len(t.members) - t.localSources}
	for i := range t.members {
		m := &t.members[i]
		if m.Service != id || m.State != Alive && m.State != Suspect {
			continue
		}
		c := candidate{member: *m, hash: rendezvousHash(t.settings.Instance, m.Instance), local: m.Zone == t.settings.Zone}
		if c.local {
			p.localInstances++
		} else {
			p.otherInstances++
		}
		out = append(out, c)
	}
	return out, p
}

// removeInstances removes the instances of a service from the table and returns them by ID.
func (t *Table) removeInstances(s *service) map[request.InstanceID]*instance {
	known := make(map[request.InstanceID]*instance)
	if s == nil {
		return known
	}
	for _, instances := range s.tiers {
		for _, in := range instances {
			known[in.member.Instance] = in
			delete(t.instances, in.member.Instance)
		}
	}
	return known
}

// Begin records the start of an attempt at an instance.
func (t *Table) Begin(now request.Instant, id request.InstanceID) {
	in := t.instances[id]
	if in == nil {
		return
	}
	in.inFlight++
	if in.failures > 0 {
		in.halfOpen = true
		in.brokenUntil = now.Add(t.backoff(in.failures))
	}
}

// Done records the end of an attempt at an instance.
func (t *Table) Done(id request.InstanceID) {
	if in := t.instances[id]; in != nil && in.inFlight > 0 {
		in.inFlight--
	}
}

// RecordLoad records the load that an instance reported with a response or a refusal.
func (t *Table) RecordLoad(now request.Instant, id request.InstanceID, l Load) {
	in := t.instances[id]
	if in == nil {
		return
	}
	in.load, in.reportedAt = l, now
	in.failures, in.brokenUntil, in.halfOpen = 0, 0, false
}

// RecordRefusal records that an instance refused an attempt; the instance is not selected for this priority or less important ones
// until the given time, which is limited to RefusalTTL from now.
func (t *Table) RecordRefusal(now request.Instant, id request.InstanceID, p request.Priority, until request.Instant) {
	in := t.instances[id]
	if in == nil {
		return
	}
	r := &in.refusals[p.Class()]
	if r.until > now {
		p = min(p, r.priority)
	}
	*r = refusal{priority: p, until: max(r.until, min(until, now.Add(t.settings.RefusalTTL)))}
}

// RecordFailure records that an attempt at an instance failed without a response; the instance is avoided for a time that doubles with each consecutive failure.
func (t *Table) RecordFailure(now request.Instant, id request.InstanceID) {
	in := t.instances[id]
	if in == nil {
		return
	}
	// Attempts that were in flight at the same time fail together and count as one failure.
	if in.halfOpen || in.brokenUntil <= now {
		in.failures++
	}
	in.halfOpen = false
	in.brokenUntil = now.Add(t.backoff(in.failures))
}

func (t *Table) backoff(failures uint32) time.Duration {
	d := t.settings.MinBackoff
	for range failures - 1 {
		if d >= t.settings.MaxBackoff {
			break
		}
		d *= 2
	}
	return min(d, t.settings.MaxBackoff)
}
