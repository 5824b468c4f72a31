package node

import (
	"sync"

	"github.com/sapphiretack/sapphiretack/request"
)

// maxCustomerRates is the maximum number of tracked customers; beyond it, the least recently seen one is evicted.
const maxCustomerRates = 16 << 10

// customerRates compares the request rate of each customer at this node with its configured rate, with one token bucket per
// customer.
type customerRates struct {
	mu      sync.Mutex
	buckets map[request.CustomerID]*tokenBucket
}

// tokenBucket has a capacity of one second of the customer's configured rate.
type tokenBucket struct {
	tokens  float64
	updated request.Instant
}

func newCustomerRates() *customerRates {
	return &customerRates{buckets: map[request.CustomerID]*tokenBucket{}}
}

// allow reports whether a request of the customer is within the configured rate; a rate of 0 means no limit.
func (r *customerRates) allow(now request.Instant, c request.CustomerID, perSecond uint32) bool {
	if perSecond == 0 {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.buckets[c]
	if b == nil {
		r.evictOldest()
		b = &tokenBucket{tokens: float64(perSecond), updated: now}
		r.buckets[c] = b
	}
	b.tokens = min(float64(perSecond), b.tokens+now.Sub(b.updated).Seconds()*float64(perSecond))
	b.updated = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (r *customerRates) evictOldest() {
	if len(r.buckets) < maxCustomerRates {
		return
	}
	var oldest request.CustomerID
	oldestUpdate := request.Instant(1<<63 - 1)
	for c, b := range r.buckets {
		if b.updated < oldestUpdate {
			oldest, oldestUpdate = c, b.updated
		}
	}
	delete(r.buckets, oldest)
}
