package route

import (
	"math/rand/v2"
	"time"

	"github.com/sapphiretack/sapphiretack/request"
)

// Table is a source's view of the instances of each service.
type Table struct {
	settings Settings
	random   *rand.Rand
	members  []Member
	// version counts the updates of members; a service is built again when it is needed and its version is older.
	version      uint64
	localSources int
	instances    map[request.InstanceID]*instance
	services     map[request.ServiceID]*service
	paths        map[path]*pathLevel
	// Space for Pick, so that it does not allocate.
	accepted, crowded []*instance
}

// service holds the chosen subset of one service, by distance.
type service struct {
	version uint64
	tiers   [tierCount][]*instance
}

// instance is what the source knows of one instance.
type instance struct {
	member   Member
	inFlight uint32

	load     Load
	reported request.Instant

	// By class, so that a refused bulk attempt does not prolong the memory of a refused essential one.
	refusals [request.ClassCount]refusal

	failures    uint32
	brokenUntil request.Instant
	// One attempt at a time tests an instance that was broken.
	testing bool
}

// refusal keeps attempts of a priority and less important ones from an instance until a time.
type refusal struct {
	priority request.Priority
	until    request.Instant
}

type path struct {
	service   request.ServiceID
	operation request.Operation
}

// New returns a table without instances; random decides between instances and which requests probe.
func New(s Settings, random *rand.Rand) *Table {
	return &Table{
		settings:  s,
		random:    random,
		instances: make(map[request.InstanceID]*instance),
		services:  make(map[request.ServiceID]*service),
		paths:     make(map[path]*pathLevel),
	}
}

// Update replaces the members; what is known of an instance is kept while its incarnation lasts.
//
// Only the services that the source sends to are built, when the next attempt needs them: a source uses few of the 74 services, and members change
// often while a zone fails. What is reported of an instance of another service has no effect.
func (t *Table) Update(members []Member) {
	t.members = append(t.members[:0], members...)
	t.version++
	t.localSources = 0
	for i := range t.members {
		if t.members[i].Zone == t.settings.Zone {
			t.localSources++
		}
	}
}

// service returns a service as of the last update, or nil if it has no instance.
func (t *Table) service(id request.ServiceID) *service {
	s := t.services[id]
	if s != nil && s.version == t.version {
		return s
	}
	return t.build(id, s)
}

// build chooses the subset of a service anew.
func (t *Table) build(id request.ServiceID, old *service) *service {
	candidates, p := t.candidates(id)
	next := &service{version: t.version}
	known := t.forget(old)
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
		// Callers may name services that do not exist, so that nothing is kept for them.
		delete(t.services, id)
		return nil
	}
	t.services[id] = next
	return next
}

// candidates returns the members of a service that may be chosen, and what bounds their number.
func (t *Table) candidates(id request.ServiceID) ([]candidate, population) {
	var out []candidate
	p := population{localSources: t.localSources, otherSources: len(t.members) - t.localSources}
	for i := range t.members {
		m := &t.members[i]
		if m.Service != id || m.State != Alive && m.State != Suspect {
			continue
		}
		c := candidate{member: *m, rank: rendezvous(t.settings.Instance, m.Instance), local: m.Zone == t.settings.Zone}
		if c.local {
			p.localInstances++
		} else {
			p.otherInstances++
		}
		out = append(out, c)
	}
	return out, p
}

// forget removes the instances of a service from the table and returns them.
func (t *Table) forget(s *service) map[request.InstanceID]*instance {
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

// Begin counts an attempt sent to an instance.
func (t *Table) Begin(now request.Instant, id request.InstanceID) {
	in := t.instances[id]
	if in == nil {
		return
	}
	in.inFlight++
	if in.failures > 0 {
		in.testing = true
		in.brokenUntil = now.Add(t.backoff(in.failures))
	}
}

// Done counts the end of an attempt that was sent to an instance.
func (t *Table) Done(id request.InstanceID) {
	if in := t.instances[id]; in != nil && in.inFlight > 0 {
		in.inFlight--
	}
}

// Observe records the load that an instance reported with a response or a refusal.
func (t *Table) Observe(now request.Instant, id request.InstanceID, l Load) {
	in := t.instances[id]
	if in == nil {
		return
	}
	in.load, in.reported = l, now
	in.failures, in.brokenUntil, in.testing = 0, 0, false
}

// Refused records that an instance refused a priority; until then, it gets no attempt of this priority or a less important one.
func (t *Table) Refused(now request.Instant, id request.InstanceID, p request.Priority, until request.Instant) {
	in := t.instances[id]
	if in == nil {
		return
	}
	r := &in.refusals[p.Class()]
	if r.until > now {
		p = min(p, r.priority)
	}
	*r = refusal{priority: p, until: max(r.until, min(until, now.Add(t.settings.RefusalLife)))}
}

// Broken records that an attempt to an instance got no answer; the instance is avoided for a time that doubles with each failure in a row.
func (t *Table) Broken(now request.Instant, id request.InstanceID) {
	in := t.instances[id]
	if in == nil {
		return
	}
	// Attempts that were in flight together break together and count as one failure.
	if in.testing || in.brokenUntil <= now {
		in.failures++
	}
	in.testing = false
	in.brokenUntil = now.Add(t.backoff(in.failures))
}

func (t *Table) backoff(failures uint32) time.Duration {
	d := t.settings.BrokenMin
	for range failures - 1 {
		if d >= t.settings.BrokenMax {
			break
		}
		d *= 2
	}
	return min(d, t.settings.BrokenMax)
}
