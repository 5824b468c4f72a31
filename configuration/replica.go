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
	// shardCount divides the customers, so that a change copies one shard and not all customers.
	shardCount = 256
	// maxRecent is the number of changes that a peer can fetch without a snapshot.
	maxRecent = 1024
)

// Missing is the error for a call that the configuration does not permit. Its values do not allocate.
type Missing uint8

// The errors of Policy.
const (
	NoCustomer Missing = iota + 1
	NoTemplate
	NoOperation
)

// Error returns the message with its remedy.
func (m Missing) Error() string {
	switch m {
	case NoCustomer:
		return "the customer is not configured; ask the operator to set it"
	case NoTemplate:
		return "the customer's template cannot be used; ask the operator to publish it in a form that this node's version reads"
	case NoOperation:
		return "the customer's template does not list the operation; ask the operator to add it"
	}
	return "invalid"
}

type objectKey struct {
	kind Kind
	name string
}

func (o *Object) key() objectKey { return objectKey{o.Kind, o.Name} }

// heldTemplate is a template in a replica; parsed is nil if it is withdrawn or cannot be read.
type heldTemplate struct {
	object Object
	parsed *template.Template
}

// heldCustomer is a customer in a replica; parsed.Template is empty if it is withdrawn or cannot be read.
type heldCustomer struct {
	object Object
	parsed template.Customer
}

// recentChange refers to an object by its last change.
type recentChange struct {
	version Version
	key     objectKey
}

// contents is one state of a replica. It is not changed after it was stored, so that Policy needs no lock.
type contents struct {
	version   Version
	templates map[string]*heldTemplate
	customers [shardCount]map[request.CustomerID]*heldCustomer
	recent    []recentChange // every change after recentBase, by version
	base      Version        // see recent
}

// Replica is a node's copy of the configuration. Its version never goes back. It is safe for concurrent use.
type Replica struct {
	mu    sync.Mutex // serializes Apply
	state atomic.Pointer[contents]
}

// NewReplica returns an empty replica at version 0.
func NewReplica() *Replica {
	r := &Replica{}
	r.state.Store(&contents{})
	return r
}

// Apply takes over an update: the objects changed since a version that the replica had, or all objects. An update that is
// not newer than the replica has no effect. An error is of class Rejected and leaves the replica as it is.
func (r *Replica) Apply(version Version, objects []Object, snapshot bool) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.state.Load()
	if version <= old.version {
		return nil
	}
	if err := old.check(version, objects, snapshot); err != nil {
		return err
	}
	r.state.Store(old.with(version, objects))
	return nil
}

// check reports an update that cannot be whole.
func (c *contents) check(version Version, objects []Object, snapshot bool) error {
	var highest Version
	for i := range objects {
		o := &objects[i]
		if o.Kind != Template && o.Kind != Customer || o.Revision == 0 || o.Version == 0 || template.CheckName(o.Name) != nil {
			return Rejected.New("the update to version %d has an object without kind, name, revision or version; fetch it from another instance", version)
		}
		highest = max(highest, o.Version)
	}
	if highest != version {
		return Rejected.New("the newest object of the update to version %d has version %d; fetch it from another instance", version, highest)
	}
	if !snapshot {
		return nil
	}
	// Objects are withdrawn but never removed, so a snapshot must have each object that the replica holds.
	given := make(map[objectKey]bool, len(objects))
	for i := range objects {
		given[objects[i].key()] = true
	}
	for o := range c.all() {
		if !given[o.key()] {
			return Rejected.New("the snapshot of version %d lacks %v %q; fetch it from another instance", version, o.Kind, o.Name)
		}
	}
	return nil
}

// with returns the contents after an update.
func (c *contents) with(version Version, objects []Object) *contents {
	next := *c
	next.version = version
	var newer []Object
	for i := range objects {
		if o := c.object(objects[i].key()); o == nil || o.Version < objects[i].Version {
			newer = append(newer, objects[i])
		}
	}
	sortByVersion(newer)
	owned := ownership{}
	for i := range newer {
		next.put(newer[i], &owned)
		next.recent = append(next.recent, recentChange{newer[i].Version, newer[i].key()})
	}
	if excess := len(next.recent) - maxRecent; excess > 0 {
		next.base = next.recent[excess-1].version
		next.recent = slices.Clone(next.recent[excess:])
	}
	return &next
}

// ownership notes which maps were copied, so that an update copies each map at most once.
type ownership struct {
	templates bool
	customers [shardCount]bool
}

func (c *contents) put(o Object, owned *ownership) {
	if o.Kind == Template {
		if !owned.templates {
			c.templates = copyMap(c.templates)
			owned.templates = true
		}
		h := &heldTemplate{object: o}
		if o.Exists() {
			h.parsed, _ = template.ParseTemplate(o.Document)
		}
		c.templates[o.Name] = h
		return
	}
	id := request.CustomerID(o.Name)
	shard := shardOf(id)
	if !owned.customers[shard] {
		c.customers[shard] = copyMap(c.customers[shard])
		owned.customers[shard] = true
	}
	h := &heldCustomer{object: o}
	if o.Exists() {
		h.parsed, _ = template.ParseCustomer(o.Document)
	}
	c.customers[shard][id] = h
}

func copyMap[K comparable, V any](m map[K]V) map[K]V {
	next := make(map[K]V, len(m)+1)
	for k, v := range m {
		next[k] = v
	}
	return next
}

// shardOf hashes the name (FNV-1a, written out because package hash/fnv allocates).
func shardOf(id request.CustomerID) uint8 {
	h := uint32(2166136261)
	for i := range len(id) {
		h ^= uint32(id[i])
		h *= 16777619
	}
	return uint8(h ^ h>>8 ^ h>>16 ^ h>>24)
}

// Version returns the version that the replica holds.
func (r *Replica) Version() Version { return r.state.Load().version }

// Policy returns what applies to a call; the error is of type Missing. It does not allocate.
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

// Show returns an object as the replica holds it; ok is false if it never existed.
func (r *Replica) Show(k Kind, name string) (o Object, ok bool) {
	held := r.state.Load().object(objectKey{k, name})
	if held == nil {
		return Object{}, false
	}
	return *held, true
}

// Since returns the changes after a version for a peer, or a snapshot if the peer is too far behind.
func (r *Replica) Since(since Version) Update {
	c := r.state.Load()
	u := Update{Version: c.version}
	if since >= c.version {
		return u
	}
	if since < c.base || since == 0 {
		u.Snapshot = true
		for o := range c.all() {
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

func (c *contents) object(k objectKey) *Object {
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

// all yields every object, also the withdrawn ones, in no particular order.
func (c *contents) all() func(yield func(*Object) bool) {
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
