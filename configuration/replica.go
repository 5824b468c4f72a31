package configuration

import (
	"slices"
	"sort"
	"sync"
	"sync/atomic"

	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/template"
)

const (
	// shardCount is the number of customer maps; a change copies one of them instead of all customers.
	shardCount = 256
	// maxRecentChanges is the number of latest changes that a peer can fetch without a snapshot.
	maxRecentChanges = 1024
)

// PolicyError is the error for a call that the configuration does not permit. It is an integer so that Policy does not
// allocate.
type PolicyError uint8

// The errors of Policy.
const (
	NoCustomer PolicyError = iota + 1
	NoTemplate
	NoOperation
)

// Error returns the cause and its remedy.
func (m PolicyError) Error() string {
	switch m {
	case NoCustomer:
		return "the customer is not configured; ask the operator to set it"
	case NoTemplate:
		return "the customer's template cannot be used; ask the operator to publish it in a form that this node's version supports"
	case NoOperation:
		return "the customer's template does not list the operation; ask the operator to add it"
	}
	return "invalid"
}

// objectKey identifies an object.
type objectKey struct {
	kind Kind
	name string
}

func (o *Object) key() objectKey { return objectKey{o.Kind, o.Name} }

// replicaTemplate is a template in a replica; parsed is nil if it is withdrawn or cannot be parsed.
type replicaTemplate struct {
	object Object
	parsed *template.Template
}

// replicaCustomer is a customer in a replica; parsed.Template is empty if it is withdrawn or cannot be parsed.
type replicaCustomer struct {
	object Object
	parsed template.Customer
}

// recentChange records that an object changed at a version.
type recentChange struct {
	version Version
	key     objectKey
}

// replicaState is one state of a replica. It is immutable once stored, so that Policy needs no lock.
type replicaState struct {
	version    Version
	templates  map[string]*replicaTemplate
	customers  [shardCount]map[request.CustomerID]*replicaCustomer
	recent     []recentChange // every change after recentBase, sorted by version
	recentBase Version        // version before the oldest change in recent
}

// Replica is a node's copy of the configuration. Its version never decreases. It is safe for concurrent use.
type Replica struct {
	mu    sync.Mutex // serializes Apply
	state atomic.Pointer[replicaState]
}

// NewReplica returns an empty replica at version 0.
func NewReplica() *Replica {
	r := &Replica{}
	r.state.Store(&replicaState{})
	return r
}

// Apply applies an update: the objects changed since a version that the replica had, or all objects if it is a snapshot. An
// update that is not newer than the replica has no effect. An error is of class Rejected and leaves the replica unchanged.
func (r *Replica) Apply(version Version, objects []Object, snapshot bool) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.state.Load()
	if version <= old.version {
		return nil
	}
	if err := old.validate(version, objects, snapshot); err != nil {
		return err
	}
	r.state.Store(old.withUpdate(version, objects))
	return nil
}

// validate returns an error of class Rejected if the update is invalid or evidently incomplete.
func (c *replicaState) validate(version Version, objects []Object, snapshot bool) error {
	var highest Version
	for i := range objects {
		o := &objects[i]
		if o.Kind != Template && o.Kind != Customer || o.Revision == 0 || o.Version == 0 || template.CheckName(o.Name) != nil {
			return Rejected.New("the update to version %d has an object with an unknown kind, an invalid name, revision 0 or version 0; fetch it from another instance", version)
		}
		highest = max(highest, o.Version)
	}
	if highest != version {
		return Rejected.New("the newest object of the update to version %d has version %d; fetch it from another instance", version, highest)
	}
	if !snapshot {
		return nil
	}
	// Objects are withdrawn but never removed, so a complete snapshot contains each object that the replica holds.
	included := make(map[objectKey]bool, len(objects))
	for i := range objects {
		included[objects[i].key()] = true
	}
	for o := range c.allObjects() {
		if !included[o.key()] {
			return Rejected.New("the snapshot of version %d lacks %v %q; fetch it from another instance", version, o.Kind, o.Name)
		}
	}
	return nil
}

// withUpdate returns a copy with the update applied.
func (c *replicaState) withUpdate(version Version, objects []Object) *replicaState {
	next := *c
	next.version = version
	var newer []Object
	for i := range objects {
		if o := c.object(objects[i].key()); o == nil || o.Version < objects[i].Version {
			newer = append(newer, objects[i])
		}
	}
	sortByVersion(newer)
	copied := copiedMaps{}
	for i := range newer {
		next.setObject(newer[i], &copied)
		next.recent = append(next.recent, recentChange{newer[i].Version, newer[i].key()})
	}
	if excess := len(next.recent) - maxRecentChanges; excess > 0 {
		next.recentBase = next.recent[excess-1].version
		next.recent = slices.Clone(next.recent[excess:])
	}
	return &next
}

// copiedMaps tracks which maps an update has copied, so that it copies each map at most once.
type copiedMaps struct {
	templates bool
	customers [shardCount]bool
}

// setObject stores an object in its map, which it copies first if the update has not done so yet.
func (c *replicaState) setObject(o Object, copied *copiedMaps) {
	if o.Kind == Template {
		if !copied.templates {
			c.templates = copyMap(c.templates)
			copied.templates = true
		}
		h := &replicaTemplate{object: o}
		if o.Exists() {
			h.parsed, _ = template.ParseTemplate(o.Document)
		}
		c.templates[o.Name] = h
		return
	}
	id := request.CustomerID(o.Name)
	shard := shardOf(id)
	if !copied.customers[shard] {
		c.customers[shard] = copyMap(c.customers[shard])
		copied.customers[shard] = true
	}
	h := &replicaCustomer{object: o}
	if o.Exists() {
		h.parsed, _ = template.ParseCustomer(o.Document)
	}
	c.customers[shard][id] = h
}

// copyMap returns a copy of the map with room for one more entry.
func copyMap[K comparable, V any](m map[K]V) map[K]V {
	next := make(map[K]V, len(m)+1)
	for k, v := range m {
		next[k] = v
	}
	return next
}

// shardOf returns the customer's shard, an FNV-1a hash of its name. The hash is inlined because hash/fnv allocates.
func shardOf(id request.CustomerID) uint8 {
	h := uint32(2166136261)
	for i := range len(id) {
		h ^= uint32(id[i])
		h *= 16777619
	}
	return uint8(h ^ h>>8 ^ h>>16 ^ h>>24)
}

// Version returns the replica's version; 0 if it is empty.
func (r *Replica) Version() Version { return r.state.Load().version }

// Policy returns the policy for a call; the error is of type PolicyError. It does not allocate.
func (r *Replica) Policy(customer request.CustomerID, service request.ServiceID, op request.Operation) (template.Policy, error) {
	c := r.state.Load()
	h := c.customers[shardOf(customer)][customer]
	if h == nil || h.parsed.Template == "" {
		return template.Policy{}, NoCustomer
	}
	t := c.templates[h.parsed.Template]
	if t == nil || t.parsed == nil {
		return template.Policy{}, NoTemplate
	}
	p, ok := t.parsed.Policy(&h.parsed, service, op)
	if !ok {
		return template.Policy{}, NoOperation
	}
	return p, nil
}

// Show returns the replica's copy of an object, which may be withdrawn; ok is false if it never existed.
func (r *Replica) Show(k Kind, name string) (o Object, ok bool) {
	object := r.state.Load().object(objectKey{k, name})
	if object == nil {
		return Object{}, false
	}
	return *object, true
}

// Since returns the changes after a version for a peer, or a snapshot if the version is too old.
func (r *Replica) Since(since Version) Update {
	c := r.state.Load()
	u := Update{Version: c.version}
	if since >= c.version {
		return u
	}
	if since < c.recentBase || since == 0 {
		u.Snapshot = true
		for o := range c.allObjects() {
			u.Objects = append(u.Objects, *o)
		}
		sortByVersion(u.Objects)
		return u
	}
	first := sort.Search(len(c.recent), func(i int) bool { return c.recent[i].version > since })
	for _, change := range c.recent[first:] {
		if o := c.object(change.key); o.Version == change.version {
			u.Objects = append(u.Objects, *o)
		}
	}
	return u
}

// object returns the object with the key, or nil.
func (c *replicaState) object(k objectKey) *Object {
	if k.kind == Template {
		if h := c.templates[k.name]; h != nil {
			return &h.object
		}
		return nil
	}
	id := request.CustomerID(k.name)
	if h := c.customers[shardOf(id)][id]; h != nil {
		return &h.object
	}
	return nil
}

// allObjects iterates over all objects, including withdrawn ones, in no particular order.
func (c *replicaState) allObjects() func(yield func(*Object) bool) {
	return func(yield func(*Object) bool) {
		for _, h := range c.templates {
			if !yield(&h.object) {
				return
			}
		}
		for _, shard := range c.customers {
			for _, h := range shard {
				if !yield(&h.object) {
					return
				}
			}
		}
	}
}
