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

// Error is the class of errors of the soak itself.
var Error = errs.Class("soak")

// Sent is a request of a client.
type Sent struct {
	ID     string `json:"id"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body"`
	// IsUnsafe is set if it may run at most once.
	IsUnsafe bool `json:"is_unsafe"`
}

// Got is how a request ended at its client.
type Got struct {
	ID string `json:"id"`
	// Status is 0 if the connection ended without a whole response.
	Status int `json:"status"`
	// AnswerID is the identifier that the response names.
	AnswerID string `json:"answer_id"`
	Body     string `json:"body"`
	// IsSealed is set if the response bears a backend server's signature.
	IsSealed bool `json:"is_sealed"`
}

// Ran is a request that a backend server began to work on.
type Ran struct {
	ID       string    `json:"id"`
	Instance string    `json:"instance"`
	Method   string    `json:"method"`
	Path     string    `json:"path"`
	Body     string    `json:"body"`
	At       time.Time `json:"at"`
}

// Left is the acknowledged departure of a backend server.
type Left struct {
	Instance string    `json:"instance"`
	At       time.Time `json:"at"`
}

// History collects what callers and backend servers saw; it is safe for concurrent use.
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

// Get records the end of a request.
func (h *History) Get(g Got) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.got = append(h.got, g)
}

// Run records a run.
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

// Rules are what a deployment promises.
type Rules struct {
	// MaxAttempts bounds the runs of a request that may be repeated.
	MaxAttempts int
	// DrainTime is how long after its acknowledged departure a backend server may get requests.
	DrainTime time.Duration
}

// Violation is a broken promise.
type Violation struct {
	Rule   string `json:"rule"`
	Detail string `json:"detail"`
}

// String returns the violation as a line of a journal.
func (v Violation) String() string { return v.Rule + ": " + v.Detail }

// Check returns the promises that the history breaks, in a fixed order.
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
		case !ok: // a call; a run that is repeated makes its calls again
		case s.IsUnsafe && n > 1:
			report("twice", "%s ran %d times", id, n)
		case n > rules.MaxAttempts:
			report("attempts", "%s ran %d times", id, n)
		}
	}
	for _, g := range h.got {
		h.checkAnswer(g, runs[g.ID], report)
	}
	slices.SortFunc(out, func(a, b Violation) int { return strings.Compare(a.String(), b.String()) })
	return out
}

// checkRun checks that a run is what a client sent, or a call of it.
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
		report("unasked", "%s ran on %s, though nobody sent it", r.ID, r.Instance)
	case s.Method != r.Method || s.Path != r.Path || s.Body != r.Body:
		report("unasked", "%s ran as %s %s with a body of %d bytes, and was sent as %s %s with %d", r.ID, r.Method, r.Path, len(r.Body), s.Method, s.Path, len(s.Body))
	}
}

// checkAnswer checks that a response is true.
func (h *History) checkAnswer(g Got, runs int, report func(rule, format string, args ...any)) {
	s := h.sent[g.ID]
	isRefusal := slices.Contains([]int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}, g.Status)
	switch {
	case g.Status == http.StatusOK && !g.IsSealed:
		report("mixed", "%s got a success without a signature", g.ID)
	case g.Status == http.StatusOK && (g.AnswerID != g.ID || !isAnswerTo(g.Body, g.ID)):
		report("mixed", "%s got the response to %s: %.60q", g.ID, g.AnswerID, g.Body)
	case g.Status == http.StatusOK && runs == 0:
		report("mixed", "%s succeeded and never ran", g.ID)
	case isRefusal && s.IsUnsafe && runs > 0:
		report("refused", "%s was answered %d and ran", g.ID, g.Status)
	}
}
