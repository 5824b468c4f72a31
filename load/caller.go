package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/sapphiretack/sapphiretack/exchange"
	"github.com/sapphiretack/sapphiretack/request"
)

// maxSessionBytes is the limit on the size of a response from /session.
const maxSessionBytes = 64 << 10

// Run generates load for the duration in s, waits for the last outcomes and returns the report; it stops early if ctx ends.
func Run(ctx context.Context, s Settings) (*Report, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	report := newReport(s.Duration)
	end := time.Now().Add(s.Duration)
	var group errgroup.Group
	for i := range s.Callers {
		group.Go(func() error {
			newCaller(s, i, report).run(ctx, end)
			return nil
		})
	}
	return report, group.Wait()
}

// caller sends one request at a time over its own connection.
type caller struct {
	settings     Settings
	number       int
	report       *Report
	random       *rand.Rand
	client       *http.Client
	target       int
	ticket       string
	ticketTarget int // target that issued the ticket
	sequence     request.Sequence
	requests     int
}

func newCaller(s Settings, number int, report *Report) *caller {
	var transport http.RoundTripper = exchange.New(&http.Transport{MaxIdleConnsPerHost: 1})
	if s.Transport != nil {
		transport = s.Transport()
	}
	return &caller{
		settings: s, number: number, report: report, target: number % len(s.Targets),
		random: rand.New(rand.NewPCG(s.Seed, uint64(number))),
		client: &http.Client{Transport: transport},
	}
}

func (c *caller) run(ctx context.Context, end time.Time) {
	defer c.close(ctx)
	// Callers start at random times within one interval, so that they do not send at the same moment.
	next := time.Now().Add(time.Duration(c.random.Int64N(int64(c.settings.Interval))))
	for next.Before(end) && request.Sleep(ctx, time.Until(next)) {
		c.request(ctx)
		next = next.Add(c.settings.Interval)
		if now := time.Now(); next.Before(now) {
			next = now
		}
	}
}

// request sends one request, with resends, and adds its final outcome to the report.
func (c *caller) request(ctx context.Context) {
	p := &pending{kind: c.pickKind(), id: request.NewID(c.random), key: fmt.Sprintf("%d-%d-%d", c.settings.Seed, c.number, c.requests)}
	c.requests++
	start := time.Now()
	if p.kind.Effect {
		if c.ticket == "" && !c.openSession(ctx) {
			c.report.add(p.kind, reply{outcome: request.NotRun, reason: "no_session"}, 0, time.Since(start))
			return
		}
		c.sequence++
		p.ticket, p.sequence = c.ticket, c.sequence
	}
	r := c.deliver(ctx, p)
	if ctx.Err() != nil {
		return
	}
	c.report.add(p.kind, r, p.sends, time.Since(start))
	if p.kind.Effect && r.reason == request.TicketUnknown.String() {
		c.ticket = ""
	}
}

// deliver sends and resends a request and returns the last reply, or an unknown outcome if an earlier send may have run.
func (c *caller) deliver(ctx context.Context, p *pending) reply {
	responseLost := false
	for {
		r := p.send(ctx, c.client, c.settings.Targets[c.target], c.settings.Customer)
		c.report.addSend(p.kind, r)
		responseLost = responseLost || r.reason == reasonLost
		d := decideResend(r, p.kind.Effect, p.sends, c.settings.MaxSends)
		if d.nextTarget {
			c.target = (c.target + 1) % len(c.settings.Targets)
		}
		if !d.resend || !request.Sleep(ctx, d.wait) {
			if responseLost && r.reason == reasonUnsent {
				// The request was not sent this time, but an earlier send whose response was lost may have run.
				r.outcome = request.Unknown
			}
			return r
		}
	}
}

// pickKind returns a random kind of request according to the weights in the mix.
func (c *caller) pickKind() Kind {
	total := 0
	for _, k := range c.settings.Mix {
		total += k.Weight
	}
	n := c.random.IntN(total)
	for _, k := range c.settings.Mix {
		if n < k.Weight {
			return k
		}
		n -= k.Weight
	}
	return c.settings.Mix[0]
}

// sessionResponse is the response to POST /session; other fields are ignored.
type sessionResponse struct {
	Ticket string `json:"ticket"`
}

// openSession opens a session at the current target, or at the next one that accepts it.
func (c *caller) openSession(ctx context.Context) bool {
	for range c.settings.Targets {
		var response sessionResponse
		if c.sendSession(ctx, http.MethodPost, &response) && response.Ticket != "" {
			c.ticket, c.ticketTarget, c.sequence = response.Ticket, c.target, 0
			return true
		}
		c.target = (c.target + 1) % len(c.settings.Targets)
	}
	return false
}

// close closes the session, since a node limits the number of tickets per caller address.
func (c *caller) close(ctx context.Context) {
	if c.ticket != "" {
		c.target = c.ticketTarget
		c.sendSession(context.WithoutCancel(ctx), http.MethodDelete, nil)
	}
	c.client.CloseIdleConnections()
}

func (c *caller) sendSession(ctx context.Context, method string, result *sessionResponse) bool {
	ctx, cancel := context.WithTimeout(ctx, replyMargin)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.settings.Targets[c.target]+"/session", http.NoBody)
	if err != nil {
		return false
	}
	r.Header.Set("Sapphiretack-Customer", string(c.settings.Customer))
	if method == http.MethodDelete {
		r.Header.Set("Sapphiretack-Ticket", c.ticket)
	}
	response, err := c.client.Do(r)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxSessionBytes))
	if err != nil || response.StatusCode >= http.StatusMultipleChoices {
		return false
	}
	return result == nil || json.Unmarshal(body, result) == nil
}
