package budget

import (
	"time"

	"github.com/sapphiretack/sapphiretack/request"
)

// Settings bound a table of recent requests.
type Settings struct {
	// Capacity is the number of requests kept; the oldest is forgotten first.
	Capacity int
	// Life is the time for which a request is remembered after its first send.
	Life time.Duration
}

// DefaultSettings keeps requests for 2 minutes, twice the longest deadline; at 320 calls a second and node that is 38,400 requests.
var DefaultSettings = Settings{Capacity: 1 << 16, Life: 2 * time.Minute}

// Requests remembers the accounts of recent requests at a first node, so that a resend draws on the account of the first send.
type Requests struct {
	settings Settings
	accounts map[key]*Account
	// The requests in order of their first send, as a ring. Resends take no place in it, so that a caller that resends hard pushes out no
	// other request.
	ring  []arrival
	first int
	count int
}

// key includes the customer, because callers choose their request IDs.
type key struct {
	customer request.CustomerID
	id       request.ID
}

type arrival struct {
	key     key
	expires request.Instant
}

// NewRequests returns an empty table.
func NewRequests(s Settings) *Requests {
	s.Capacity = max(s.Capacity, 1)
	return &Requests{settings: s, accounts: make(map[key]*Account), ring: make([]arrival, s.Capacity)}
}

// Len returns the number of requests remembered.
func (r *Requests) Len() int { return len(r.accounts) }

// Open returns the account of a request that arrives from a caller.
//
// A resend that finds its account spends one extra attempt of it. A request not remembered here gets a new account of extra attempts, reduced
// by the earlier sends that the caller states: attempt is 1 for the first send and 0 when the caller does not say.
func (r *Requests) Open(now request.Instant, customer request.CustomerID, id request.ID, attempt, extra uint32) *Account {
	r.expire(now)
	k := key{customer: customer, id: id}
	if a := r.accounts[k]; a != nil {
		a.Spend()
		return a
	}
	a := newReduced(attempt, extra)
	r.remember(arrival{key: k, expires: now.Add(r.settings.Life)}, a)
	return a
}

func newReduced(attempt, extra uint32) *Account {
	if attempt > 1 {
		extra -= min(extra, attempt-1)
	}
	a := NewAccount(extra)
	return &a
}

func (r *Requests) remember(v arrival, a *Account) {
	if r.count == len(r.ring) {
		r.forgetFirst()
	}
	r.accounts[v.key] = a
	r.ring[(r.first+r.count)%len(r.ring)] = v
	r.count++
}

func (r *Requests) expire(now request.Instant) {
	for r.count > 0 && r.ring[r.first].expires <= now {
		r.forgetFirst()
	}
}

func (r *Requests) forgetFirst() {
	delete(r.accounts, r.ring[r.first].key)
	r.ring[r.first] = arrival{}
	r.first = (r.first + 1) % len(r.ring)
	r.count--
}
