package experiment

import (
	"time"

	"github.com/sapphiretack/sapphiretack/budget"
	"github.com/sapphiretack/sapphiretack/call"
	"github.com/sapphiretack/sapphiretack/request"
)

// Callers.
const (
	// politeSends and hardSends bound the sends of one request.
	politeSends = 3
	hardSends   = 10
	// hardPause is the time after which a hard caller resends.
	hardPause = 20 * time.Millisecond
	// extraAttempts is the default of templates.
	extraAttempts = 3
	// rateMargin is the configured rate of a customer as a multiple of its
	// normal load. It matters with a hot customer; the surges stay within the rates.
	rateMargin = 1.5
)

// clientRequest is what a caller wants; it can take several sends.
type clientRequest struct {
	sim      *simulation
	id       request.ID
	class    request.Class
	chain    *Chain
	customer int
	priority request.Priority
	arrived  request.Instant
	sends    int
	// sent has a bit for each position of the chain that had an attempt.
	sent     uint32
	work     time.Duration
	answered bool
	node     *instance
}

// send is one send of a request to a first node.
type send struct {
	request  *clientRequest
	node     *instance
	from     request.Instant
	deadline request.Instant
	account  *budget.Account
	sent     uint32
	over     bool
}

func (s *simulation) newRequest(customer int) *clientRequest {
	r := &clientRequest{sim: s, id: request.NewID(s.random), customer: customer, arrived: s.clock.now}
	r.class = request.Class(pick(s.random.Float64(), classShares[:], func(share float64) float64 { return share }))
	i := pick(s.random.Float64(), s.deployment.Chains, func(c Chain) float64 { return c.Share })
	r.chain = &s.deployment.Chains[i]
	s.report.arrived(r)
	return r
}

// pick returns the index in which x falls if the shares are laid end to end.
func pick[T any](x float64, list []T, share func(T) float64) int {
	for i, v := range list {
		if x -= share(v); x < 0 {
			return i
		}
	}
	return len(list) - 1
}

func (r *clientRequest) worked(d time.Duration) {
	r.work += d
	r.sim.report.worked(r, d)
}

func (c *send) countAttempt(position int) {
	r := c.request
	bit := uint32(1) << position
	r.sim.report.attempted(r, r.sent&bit == 0, c.sent&bit == 0)
	r.sent |= bit
	c.sent |= bit
}

// transmit sends the request to a first node; resends mostly go to the same one.
func (r *clientRequest) transmit() {
	s := r.sim
	r.sends++
	if r.node == nil || !r.node.up || s.random.IntN(4) == 0 {
		r.node = s.firstNode()
	}
	c := &send{request: r, node: r.node, from: s.clock.now}
	c.deadline = c.from.Add(r.chain.Timeout)
	attempt := uint32(r.sends)
	s.clock.after(s.deployment.ClientDelay, func() { s.accept(c, attempt) })
	s.clock.after(r.chain.Timeout, func() { c.end(call.End{Reason: request.DeadlineExceeded}) })
}

// accept is what the first node does with a request from a caller.
func (s *simulation) accept(c *send, attempt uint32) {
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

// isAboveRate counts a request of a customer and reports whether its share of the rate is used up.
func (in *instance) isAboveRate(customer int) bool {
	s := in.sim
	r := &in.rates[customer]
	interval := s.clock.now / request.Instant(time.Second)
	if r.interval != interval {
		*r = rate{interval: interval}
	}
	r.count++
	return r.count > rateMargin*s.normalRate/customers/float64(len(s.first))
}

func (c *send) respond(e call.End) {
	c.request.sim.clock.after(c.request.sim.deployment.ClientDelay, func() { c.end(e) })
}

// end is what the caller does with the outcome of a send.
func (c *send) end(e call.End) {
	if c.over {
		return
	}
	c.over = true
	r := c.request
	if r.answered {
		return
	}
	s := r.sim
	if e.Outcome == request.Answered {
		r.answered = true
		s.report.answered(r, s.clock.now.Sub(c.from))
		return
	}
	if e.Outcome == request.NotRun {
		s.report.refused(r, s.clock.now.Sub(c.from))
	}
	most := politeSends
	pause := max(e.RetryAfter, hardPause)
	if s.scenario.Hard {
		most, pause = hardSends, hardPause
	}
	if r.sends >= most {
		return
	}
	pause = pause/2 + time.Duration(s.random.Int64N(int64(pause)))
	s.clock.after(pause, r.transmit)
}
