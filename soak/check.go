package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/sapphiretack/sapphiretack/standin"
)

// Error is the class of errors of the soak test itself.
var Error = errs.Class("soak")

// Sent is a request that a client sends.
type Sent struct {
	ID     string `json:"id"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body"`
	// IsUnsafe is set if the request must run at most once.
	IsUnsafe bool `json:"is_unsafe"`
}

// Got is the outcome of a request as its client saw it.
type Got struct {
	ID string `json:"id"`
	// Status is 0 if the client got no complete response.
	Status int `json:"status"`
	// AnswerID is the request id in the response.
	AnswerID string `json:"answer_id"`
	Body     string `json:"body"`
	// IsSealed is set if the response carries the signature of a backend server.
	IsSealed bool `json:"is_sealed"`
}

// Ran is the execution of a request by a backend server, recorded at its start.
type Ran struct {
	ID       string    `json:"id"`
	Instance string    `json:"instance"`
	Method   string    `json:"method"`
	Path     string    `json:"path"`
	Body     string    `json:"body"`
	At       time.Time `json:"at"`
}

// Left is the acknowledged departure of a backend server, recorded when its node accepted a draining report.
type Left struct {
	Instance string    `json:"instance"`
	At       time.Time `json:"at"`
}

// History records what clients and backend servers observe; it is safe for concurrent use.
type History struct {
	mu   sync.Mutex
	sent map[string]Sent
	got  []Got
	ran  []Ran
	left []Left
}

// NewHistory returns an empty History.
func NewHistory() *History { return &History{sent: map[string]Sent{}} }

// Send records a request before it is sent.
func (h *History) Send(s Sent) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sent[s.ID] = s
}

// Get records the outcome of a request.
func (h *History) Get(g Got) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.got = append(h.got, g)
}

// Run records the execution of a request.
func (h *History) Run(r Ran) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ran = append(h.ran, r)
}

// Leave records an acknowledged departure.
func (h *History) Leave(l Left) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.left = append(h.left, l)
}

// Rules are the limits that Check applies to a history.
type Rules struct {
	// MaxAttempts limits the executions of a request that may be retried.
	MaxAttempts int
	// DrainTime is how long a backend server may still get requests after its departure was acknowledged.
	DrainTime time.Duration
}

// Violation is a guarantee that did not hold.
type Violation struct {
	Rule   string `json:"rule"`
	Detail string `json:"detail"`
}

// String formats the violation as one line.
func (v Violation) String() string { return v.Rule + ": " + v.Detail }

// Check returns the violations in the history, sorted by their text.
func (h *History) Check(rules Rules) []Violation {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []Violation
	report := func(rule, format string, args ...any) {
		out = append(out, Violation{rule, fmt.Sprintf(format, args...)})
	}
	runs := map[string]int{}
	for _, r := range h.ran {
		runs[r.ID]++
		h.checkRun(r, report)
		for _, l := range h.left {
			if l.Instance == r.Instance && r.At.Sub(l.At) > rules.DrainTime {
				report("drain", "%s reached %s %v after its departure was acknowledged", r.ID, r.Instance, r.At.Sub(l.At).Round(time.Millisecond))
			}
		}
	}
	for id, n := range runs {
		s, ok := h.sent[id]
		switch {
		case !ok: // a nested call, which each execution of its parent makes again
		case s.IsUnsafe && n > 1:
			report("twice", "%s ran %d times", id, n)
		case n > rules.MaxAttempts:
			report("attempts", "%s ran %d times", id, n)
		}
	}
	for _, g := range h.got {
		h.checkResponse(g, runs[g.ID], report)
	}
	slices.SortFunc(out, func(a, b Violation) int { return strings.Compare(a.String(), b.String()) })
	return out
}

// checkRun checks that an execution matches a request of a client or is a nested call of one.
func (h *History) checkRun(r Ran, report func(rule, format string, args ...any)) {
	s, ok := h.sent[r.ID]
	if parent, isCall := strings.CutSuffix(r.ID, standin.ApplicationCallSuffix); !ok && isCall {
		_, ok = h.sent[parent]
		if ok {
			return
		}
	}
	switch {
	case !ok:
		report("unasked", "%s ran on %s, but no client sent it", r.ID, r.Instance)
	case s.Method != r.Method || s.Path != r.Path || s.Body != r.Body:
		report("unasked", "%s ran as %s %s with a body of %d bytes, but was sent as %s %s with %d", r.ID, r.Method, r.Path, len(r.Body), s.Method, s.Path, len(s.Body))
	}
}

// checkResponse checks that a success is the signed and complete response to a request that ran, and that a refused request did
// not run.
func (h *History) checkResponse(g Got, runs int, report func(rule, format string, args ...any)) {
	s := h.sent[g.ID]
	isRefusal := slices.Contains([]int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}, g.Status)
	switch {
	case g.Status == http.StatusOK && !g.IsSealed:
		report("mixed", "%s got a successful response without a signature", g.ID)
	case g.Status == http.StatusOK && (g.AnswerID != g.ID || !isResponseTo(g.Body, g.ID)):
		report("mixed", "%s got the response to %s: %.60q", g.ID, g.AnswerID, g.Body)
	case g.Status == http.StatusOK && runs == 0:
		report("mixed", "%s succeeded but never ran", g.ID)
	case isRefusal && s.IsUnsafe && runs > 0:
		report("refused", "%s was refused with status %d but ran", g.ID, g.Status)
	}
}
