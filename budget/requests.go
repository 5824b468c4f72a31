package budget

import (
	"time"

	"github.com/sapphiretack/sapphiretack/request"
)

// Settings limits the size of Requests.
type Settings struct {
	// Capacity is the maximum number of requests; the oldest is evicted first.
	Capacity int
	// TTL is the time after its first send at which a request is removed.
	TTL time.Duration
}

// DefaultSettings keeps requests for 2 minutes, twice the longest deadline; at 320 calls per second and node these are
// 38,400 requests.
var DefaultSettings = Settings{Capacity: 1 << 16, TTL: 2 * time.Minute}

// Requests holds the accounts of recent requests at their first node, so that a resend uses the account of the first send.
type Requests struct {
	settings Settings
	accounts map[requestKey]*Account
	// ring is a circular buffer of the requests in order of their first send. Resends are not added, so that a caller with many
	// resends does not evict other requests.
	ring   []ringEntry
	oldest int
	count  int
}

// requestKey identifies a request. It includes the customer, because callers choose their request IDs.
type requestKey struct {
	customer request.CustomerID
	id       request.ID
}

type ringEntry struct {
	key     requestKey
	expires request.Instant
}

// NewRequests returns an empty table with the given limits.
func NewRequests(s Settings) *Requests {
	s.Capacity = max(s.Capacity, 1)
	return &Requests{settings: s, accounts: make(map[requestKey]*Account), ring: make([]ringEntry, s.Capacity)}
}

// Len returns the number of requests in the table.
func (r *Requests) Len() int { return len(r.accounts) }

// Open returns the account of a request that arrives from a caller, and removes expired requests.
//
// A resend of a request in the table spends one extra attempt of its account. Any other request gets a new account with
// extra attempts, minus the number of earlier sends that the caller states: attempt is 1 for the first send and 0 if the
// caller does not state it.
func (r *Requests) Open(now request.Instant, customer request.CustomerID, id request.ID, attempt, extra uint32) *Account {
	r.expire(now)
	k := requestKey{customer: customer, id: id}
	if a := r.accounts[k]; a != nil {
		a.Spend()
		return a
	}
	a := newReducedAccount(attempt, extra)
	r.insert(ringEntry{key: k, expires: now.Add(r.settings.TTL)}, a)
	return a
}

func newReducedAccount(attempt, extra uint32) *Account {
	if attempt > 1 {
		extra -= min(extra, attempt-1)
	}
	a := NewAccount(extra)
	return &a
}

func (r *Requests) insert(e ringEntry, a *Account) {
	if r.count == len(r.ring) {
		r.evictOldest()
	}
	r.accounts[e.key] = a
	r.ring[(r.oldest+r.count)%len(r.ring)] = e
	r.count++
}

func (r *Requests) expire(now request.Instant) {
	for r.count > 0 && r.ring[r.oldest].expires <= now {
		r.evictOldest()
	}
}

func (r *Requests) evictOldest() {
	delete(r.accounts, r.ring[r.oldest].key)
	r.ring[r.oldest] = ringEntry{}
	r.oldest = (r.oldest + 1) % len(r.ring)
	r.count--
}
