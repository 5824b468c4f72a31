package experiment

import (
	"time"

	"github.com/sapphiretack/sapphiretack/budget"
	"github.com/sapphiretack/sapphiretack/call"
	"github.com/sapphiretack/sapphiretack/request"
)

// Parameters of the callers.
const (
	// maxSends and maxAggressiveSends bound the sends of one request.
	maxSends           = 3
	maxAggressiveSends = 10
	// minResendDelay is the mean delay of a resend of an aggressive caller, and the least mean delay
	// of others.
	minResendDelay = 20 * time.Millisecond
	// extraAttempts is the default of templates.
	extraAttempts = 3
	// rateFactor is the configured rate of a customer as a multiple of its normal load. It
	// applies only in the scenario with a hot customer, since surges are assumed to stay within the
	// rates.
	rateFactor = 1.5
)

// clientRequest is one request of a caller with all its sends.
type clientRequest struct {
	sim       *simulation
	id        request.ID
	class     request.Class
	chain     *Chain
	customer  int
	priority  request.Priority
	arrivedAt request.Instant
	sends     int
	// attempted has a bit for each position of the chain that had an attempt.
	attempted uint32
	work      time.Duration
	answered  bool
	node      *instance
}

// send is one send of a request to its first node.
type send struct {
	request   *clientRequest
	node      *instance
	sentAt    request.Instant
	deadline  request.Instant
	account   *budget.Account
	attempted uint32
	ended     bool
}

func (s *simulation) newRequest(customer int) *clientRequest {
	r := &clientRequest{sim: s, id: request.NewID(s.random), customer: customer, arrivedAt: s.clock.now}
	r.class = request.Class(pickIndex(s.random.Float64(), classShares[:], func(share float64) float64 { return share }))
	i := pickIndex(s.random.Float64(), s.deployment.Chains, func(c Chain) float64 { return c.Share })
	r.chain = &s.deployment.Chains[i]
	s.collector.recordArrival(r)
	return r
}

// pickIndex returns the index of the interval that contains x if the shares are laid end to end.
func pickIndex[T any](x float64, list []T, share func(T) float64) int {
	for i, v := range list {
		if x -= share(v); x < 0 {
			return i
		}
	}
	return len(list) - 1
}

func (r *clientRequest) addWork(d time.Duration) {
	r.work += d
	r.sim.collector.recordWork(r, d)
}

func (c *send) recordAttempt(position int) {
	r := c.request
	bit := uint32(1) << position
	r.sim.collector.recordAttempt(r, r.attempted&bit == 0, c.attempted&bit == 0)
	r.attempted |= bit
	c.attempted |= bit
}

// transmit sends the request to a random entry node. While that node is up, on average three of four
// resends go to it again, and the others to a random one.
func (r *clientRequest) transmit() {
	s := r.sim
	r.sends++
	if r.node == nil || !r.node.up || s.random.IntN(4) == 0 {
		r.node = s.randomEntryNode()
	}
	c := &send{request: r, node: r.node, sentAt: s.clock.now}
	c.deadline = c.sentAt.Add(r.chain.Timeout)
	attempt := uint32(r.sends)
	s.clock.after(s.deployment.ClientDelay, func() { s.handleSend(c, attempt) })
	s.clock.after(r.chain.Timeout, func() { c.end(call.End{Reason: request.DeadlineExceeded}) })
}

// handleSend admits a send at its first node or refuses it.
func (s *simulation) handleSend(c *send, attempt uint32) {
	r, n := c.request, c.node
	if !n.up {
		c.respond(call.End{Reason: request.ConnectionLost})
		return
	}
	r.priority = request.PriorityOf(r.class, r.id)
	if s.scenario.HotCustomer > 1 && !s.variant.isBaseline() && n.isAboveRate(r.customer) {
		r.priority = r.priority.Demote()
	}
	if s.variant.earlyShed && n.table.Shed(s.clock.now, r.chain.Services[0], r.chain.Operation, r.priority) {
		c.respond(call.End{Outcome: request.NotRun, Reason: request.EarlyShed, RetryAfter: time.Second})
		return
	}
	c.account = n.requests.Open(s.clock.now, "customer", r.id, attempt, extraAttempts)
	h := s.newHop(c, n, nil, 0)
	h.done = c.respond
	h.start()
}

// isAboveRate counts a request of a customer and reports whether the customer exceeds its rate at this
// node.
func (in *instance) isAboveRate(customer int) bool {
	s := in.sim
	r := &in.customerRates[customer]
	interval := s.clock.now / request.Instant(time.Second)
	if r.interval != interval {
		*r = rateCounter{interval: interval}
	}
	r.count++
	return r.count > rateFactor*s.normalRate/customerCount/float64(len(s.entryNodes))
}

func (c *send) respond(e call.End) {
	c.request.sim.clock.after(c.request.sim.deployment.ClientDelay, func() { c.end(e) })
}

// end handles the outcome of a send at the caller.
func (c *send) end(e call.End) {
	if c.ended {
		return
	}
	c.ended = true
	r := c.request
	if r.answered {
		return
	}
	s := r.sim
	if e.Outcome == request.Answered {
		r.answered = true
		s.collector.recordAnswer(r, s.clock.now.Sub(c.sentAt))
		return
	}
	if e.Outcome == request.NotRun {
		s.collector.recordRefusal(r, s.clock.now.Sub(c.sentAt))
	}
	limit := maxSends
	delay := max(e.RetryAfter, minResendDelay)
	if s.scenario.AggressiveCallers {
		limit, delay = maxAggressiveSends, minResendDelay
	}
	if r.sends >= limit {
		return
	}
	delay = delay/2 + time.Duration(s.random.Int64N(int64(delay)))
	s.clock.after(delay, r.transmit)
}
