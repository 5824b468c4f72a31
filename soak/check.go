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

// Request is a request that a client sends.
type Request struct {
	ID     string `json:"id"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body"`
	// IsNonIdempotent is set if the request must run at most once.
	IsNonIdempotent bool `json:"is_unsafe"`
}

// Outcome is the outcome of a request as its client saw it.
type Outcome struct {
	ID string `json:"id"`
	// Status is 0 if the client got no complete response.
	Status int `json:"status"`
	// AnswerID is the request id in the response.
	AnswerID string `json:"answer_id"`
	Body     string `json:"body"`
	// IsSealed is set if the response carries the signature of a backend server.
	IsSealed bool `json:"is_sealed"`
}

// Execution is the execution of a request by a backend server, recorded at its start.
type Execution struct {
	ID       string    `json:"id"`
	Instance string    `json:"instance"`
	Method   string    `json:"method"`
	Path     string    `json:"path"`
	Body     string    `json:"body"`
	At       time.Time `json:"at"`
}

// Departure is the acknowledged departure of a backend server, recorded when its node accepted a draining report.
type Departure struct {
	Instance string    `json:"instance"`
	At       time.Time `json:"at"`
}

// RateLimit is a rate limit that a backend server named in all its responses of a period.
type RateLimit struct {
	Instance   string    `json:"instance"`
	PerSecond  float64   `json:"per_second"`
	Begin, End time.Time `json:"-"`
}

// History records what clients and backend servers observe; it is safe for concurrent use.
type History struct {
	mu         sync.Mutex
	requests   map[string]Request
	outcomes   []Outcome
	executions []Execution
	departures []Departure
	limits     []RateLimit
}

// NewHistory returns an empty History.
func NewHistory() *History { return &History{requests: map[string]Request{}} }

// AddRequest records a request before it is sent.
func (h *History) AddRequest(r Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requests[r.ID] = r
}

// AddOutcome records the outcome of a request.
func (h *History) AddOutcome(o Outcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.outcomes = append(h.outcomes, o)
}

// AddExecution records the execution of a request.
func (h *History) AddExecution(e Execution) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.executions = append(h.executions, e)
}

// AddDeparture records an acknowledged departure.
func (h *History) AddDeparture(d Departure) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.departures = append(h.departures, d)
}

// AddRateLimit records a rate limit when it ends.
func (h *History) AddRateLimit(l RateLimit) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.limits = append(h.limits, l)
}

// Guarantees are the limits that Check applies to a history.
type Guarantees struct {
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
func (h *History) Check(guarantees Guarantees) []Violation {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []Violation
	report := func(rule, format string, args ...any) {
		out = append(out, Violation{rule, fmt.Sprintf(format, args...)})
	}
	runs := map[string]int{}
	for _, e := range h.executions {
		runs[e.ID]++
		h.checkExecution(e, report)
		for _, d := range h.departures {
			if d.Instance == e.Instance && e.At.Sub(d.At) > guarantees.DrainTime {
				report("drain", "%s reached %s %v after its departure was acknowledged", e.ID, e.Instance, e.At.Sub(d.At).Round(time.Millisecond))
			}
		}
	}
	for id, n := range runs {
		sent, ok := h.requests[id]
		switch {
		case !ok: // a nested call, which each execution of its parent makes again
		case sent.IsNonIdempotent && n > 1:
			report("twice", "%s ran %d times", id, n)
		case n > guarantees.MaxAttempts:
			report("attempts", "%s ran %d times", id, n)
		}
	}
	for _, o := range h.outcomes {
		h.checkResponse(o, runs[o.ID], report)
	}
	h.checkRateLimits(report)
	h.checkCrashes(report)
	slices.SortFunc(out, func(a, b Violation) int { return strings.Compare(a.String(), b.String()) })
	return out
}

// checkExecution checks that an execution matches a request of a client or is a nested call of one.
func (h *History) checkExecution(e Execution, report func(rule, format string, args ...any)) {
	sent, ok := h.requests[e.ID]
	if parent, isCall := strings.CutSuffix(e.ID, standin.ApplicationCallSuffix); !ok && isCall {
		_, ok = h.requests[parent]
		if ok {
			return
		}
	}
	switch {
	case !ok:
		report("unasked", "%s ran on %s, but no client sent it", e.ID, e.Instance)
	case sent.Method != e.Method || sent.Path != e.Path || sent.Body != e.Body:
		report("unasked", "%s ran as %s %s with a body of %d bytes, but was sent as %s %s with %d", e.ID, e.Method, e.Path, len(e.Body), sent.Method, sent.Path, len(sent.Body))
	}
}

// checkResponse checks that a success is the signed and complete response to a request that ran, and that a refused request that
// must run at most once did not run.
func (h *History) checkResponse(o Outcome, runs int, report func(rule, format string, args ...any)) {
	sent := h.requests[o.ID]
	isRefusal := slices.Contains([]int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}, o.Status)
	switch {
	case o.Status == http.StatusOK && !o.IsSealed:
		report("mixed", "%s got a successful response without a signature", o.ID)
	case o.Status == http.StatusOK && (o.AnswerID != o.ID || !isResponseTo(o.Body, o.ID)):
		report("mixed", "%s got the response to %s: %.60q", o.ID, o.AnswerID, o.Body)
	case o.Status == http.StatusOK && runs == 0:
		report("mixed", "%s succeeded but never ran", o.ID)
	case isRefusal && sent.IsNonIdempotent && runs > 0:
		report("refused", "%s was refused with status %d but ran", o.ID, o.Status)
	}
}

const (
	// limitNotice is the time after a backend server has named a rate limit from which it has to hold.
	limitNotice = time.Second
	// limitWindow, limitFactor and limitSlack are of the users' rule: in no span of limitWindow, more than limitFactor times what the limit
	// allows, and limitSlack requests.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// crashNotice, freeCrashes and lateCrashRuns are of the users' rule: a request that has crashed freeCrashes backend servers reaches no
	// more than lateCrashRuns later than crashNotice after that.
	crashNotice   = 3 * time.Second
	freeCrashes   = 3
	lateCrashRuns = 3
)

// checkRateLimits checks that backend servers got no more requests than the rate limits that they named.
func (h *History) checkRateLimits(report func(rule, format string, args ...any)) {
	for _, l := range h.limits {
		var runs []time.Time
		for _, e := range h.executions {
			if e.Instance == l.Instance && e.At.Sub(l.Begin) > limitNotice && e.At.Before(l.End) {
				runs = append(runs, e.At)
			}
		}
		slices.SortFunc(runs, time.Time.Compare)
		allowed := int(limitFactor*l.PerSecond*limitWindow.Seconds()) + limitSlack
		for i := allowed; i < len(runs); i++ {
			if span := runs[i].Sub(runs[i-allowed]); span < limitWindow {
				report("limit", "%s named %.0f requests a second and got %d in %v", l.Instance, l.PerSecond, allowed+1, span.Round(time.Millisecond))
				break
			}
		}
	}
}

// checkCrashes checks that a request that has crashed backend servers is not sent to one after another.
func (h *History) checkCrashes(report func(rule, format string, args ...any)) {
	runs := map[string][]time.Time{}
	for _, e := range h.executions {
		if isCrashPath(e.Path) {
			runs[e.Path] = append(runs[e.Path], e.At)
		}
	}
	for path, at := range runs {
		slices.SortFunc(at, time.Time.Compare)
		late := 0
		for i := freeCrashes; i < len(at); i++ {
			if at[i].Sub(at[freeCrashes-1]) > crashNotice {
				late++
			}
		}
		if late > lateCrashRuns {
			report("crash", "%s reached %d backend servers, %d of them later than %v after the third", path, len(at), late, crashNotice)
		}
	}
}
