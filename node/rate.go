package node

import (
	"sync"

	"github.com/sapphiretack/sapphiretack/request"
)

// maxRates bounds the customers whose rate is followed; the one seen longest ago is replaced.
const maxRates = 16 << 10

// rates measures the rate of each customer at this first node.
type rates struct {
	mu      sync.Mutex
	buckets map[request.CustomerID]*bucket
}

// bucket holds up to one second of a customer's configured rate.
type bucket struct {
	tokens  float64
	updated request.Instant
}

func newRates() *rates { return &rates{buckets: map[request.CustomerID]*bucket{}} }

// allow reports whether a request of the customer is within the configured rate; rate 0 means that there is no limit.
func (r *rates) allow(now request.Instant, c request.CustomerID, perSecond uint32) bool {
	if perSecond == 0 {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.buckets[c]
	if b == nil {
		r.makeRoom()
		b = &bucket{tokens: float64(perSecond), updated: now}
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

func (r *rates) makeRoom() {
	if len(r.buckets) < maxRates {
		return
	}
	var oldest request.CustomerID
	at := request.Instant(1<<63 - 1)
	for c, b := range r.buckets {
		if b.updated < at {
			oldest, at = c, b.updated
		}
	}
	delete(r.buckets, oldest)
}
