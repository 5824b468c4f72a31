package mesh

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/sapphiretack/sapphiretack/fleet"
	"github.com/sapphiretack/sapphiretack/gate"
	"github.com/sapphiretack/sapphiretack/ingress"
	"github.com/sapphiretack/sapphiretack/placement"
	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/routing"
)

const (
	// maxRefusals is the number of gates that may refuse a request before the client is told.
	maxRefusals = 4
	// defaultLeft is assumed for a client that does not say how long it waits.
	defaultLeft = 30 * time.Second
	// startReturn is when a client comes back to a node that does not know its configuration yet.
	startReturn = 300 * time.Millisecond
	// returnShare tells returning clients from new ones: they have less than this share of the usual time left.
	returnShare = 0.9
)

// journey is one request from its arrival to its answer.
type journey struct {
	attempt
	route    *routing.Route
	service  request.ServiceID
	parent   string // identifier of the run that makes the call, or empty
	arrived  request.Instant
	left     time.Duration
	isReturn bool
	replay   *bytes.Reader // the body, if it can be sent again

	excluded []netip.Addr
	refusals int
	arrivals int // attempts that reached a backend server
	// mayHaveRun is set after an attempt without proof that it did not run.
	mayHaveRun bool
	denied     denial // why it was not sent once more
	failure    *answered
}

// Handle implements ingress.Handler.
func (n *Node) Handle(ctx context.Context, r *http.Request) *ingress.Response {
	arrived := n.now()
	c := n.configuration.Load()
	if c == nil {
		return n.refuse(&journey{attempt: attempt{id: n.dialect.ReadRequest(r.Header).ID}}, "no_configuration", startReturn)
	}
	route, ok := c.Match(r.Host, r.URL.Path)
	if !ok {
		n.log.Info().Str("event", "no_route").Str("host", r.Host).Str("path", r.URL.Path).Int64("config_version", int64(c.Version)).
			Msg("no route for the request")
		return ingress.NewResponse(http.StatusNotFound, nil, "no route has this host and path\n")
	}
	j := n.newJourney(r, c, route, arrived)
	if j.parent == "" {
		if refused := n.admitRoot(j); refused != nil {
			return refused
		}
	}
	ctx, cancel := context.WithTimeout(ctx, j.deadline.Sub(n.now()))
	body, err := keepBody(r)
	if err != nil {
		cancel()
		n.logEnd(j, "unreadable", http.StatusBadRequest, err)
		return ingress.NewResponse(http.StatusBadRequest, nil, "the body cannot be read\n")
	}
	j.body, j.length = body, r.ContentLength
	j.replay, _ = body.(*bytes.Reader)
	response := n.attemptAll(ctx, j)
	finish := response.Finish
	response.Finish = func(err error) {
		cancel()
		if finish != nil {
			finish(err)
		}
	}
	return response
}

func (n *Node) newJourney(r *http.Request, c *routing.Configuration, route *routing.Route, arrived request.Instant) *journey {
	info := n.dialect.ReadRequest(r.Header)
	left := info.Left
	if left <= 0 {
		left = defaultLeft
	}
	j := &journey{
		attempt: attempt{
			id: info.ID, method: r.Method, target: r.RequestURI, host: r.Host, header: passedHeaders(r.Header),
			route: route.ID, rank: route.Rank, isRepeatable: route.IsRepeatable,
		},
		route: route, service: n.shares.Pick(c.Version, route), arrived: arrived, left: left,
	}
	n.dialect.WriteOrigin(j.header, *n.origin.Load())
	j.deadline = arrived.Add(left)
	if route.Timeout > 0 && route.Timeout < left {
		j.deadline = arrived.Add(route.Timeout)
	}
	if run, parent, ok := n.runs.Parent(j.id); ok {
		j.parent, j.isCall, j.rank, j.isRepeat = parent, true, run.Rank, run.IsRepeat
		j.deadline = min(j.deadline, run.Deadline)
	}
	return j
}

// admitRoot decides whether a new request begins; the result is nil if it does.
func (n *Node) admitRoot(j *journey) *ingress.Response {
	j.isReturn = n.rates.arrive(j.route.ID, j.left)
	n.planMu.Lock()
	ok := n.planner.Admit(j.route.ID)
	n.planMu.Unlock()
	if ok {
		return nil
	}
	return n.refuse(j, "overload", 0)
}

// target returns where the next attempt goes.
func (n *Node) target(j *journey) (placement.Target, bool) {
	n.planMu.Lock()
	defer n.planMu.Unlock()
	if j.isCall {
		return n.planner.Call(j.service, j.excluded)
	}
	return n.planner.Root(j.route.ID, j.service, j.excluded)
}

// attemptAll tries instances until one answers or no further attempt is allowed.
func (n *Node) attemptAll(ctx context.Context, j *journey) *ingress.Response {
	for {
		t, ok := n.target(j)
		if !ok {
			return n.giveUp(ctx, j, "no_instance", nil)
		}
		if j.replay != nil {
			_, _ = j.replay.Seek(0, io.SeekStart) // a bytes.Reader can always be rewound
		}
		began := n.now()
		switch o := n.send(ctx, j.attempt, t).(type) {
		case answered:
			if n.mayRepeatFailure(j, o) {
				j.failure = &o
				j.arrivals++
				j.excluded = append(j.excluded, t.Address)
				j.isRepeat = true
				n.logAttempt(j, t, "repeat", "backend server failed", began)
				continue
			}
			n.dropFailure(j)
			return n.answer(j, t, o)
		case notRun:
			n.noteRefusal(j, t, o)
			n.logAttempt(j, t, "not_run", o.reason.String(), began)
			j.excluded = append(j.excluded, t.Address)
			j.refusals++
			if !n.mayResend(ctx, j, o) {
				return n.giveUp(ctx, j, o.reason.String(), nil)
			}
		case broken:
			n.logAttempt(j, t, "broken", o.err.Error(), began)
			j.arrivals++
			j.mayHaveRun = true
			j.excluded = append(j.excluded, t.Address)
			if j.denied = n.denyRepeat(ctx, j); j.denied != "" {
				return n.giveUp(ctx, j, "broken", o.err)
			}
			j.isRepeat = true
		}
	}
}

// isBodySpent reports whether the request has a body that cannot be sent again.
func (j *journey) isBodySpent() bool { return j.body != nil && j.replay == nil }

// noteRefusal lets the table know at once what a refusal says of the instance.
func (n *Node) noteRefusal(j *journey, t placement.Target, o notRun) {
	if o.hasArrived {
		j.arrivals++
	}
	var health fleet.Health
	switch o.reason {
	case gate.Leaving:
		health = fleet.Leaving
	case gate.Down, gate.Unknown:
		health = fleet.Down
	default:
		return
	}
	if t.IsSelf {
		return
	}
	n.fleetMu.Lock()
	n.fleet.Mark(t.Address, health)
	n.fleetMu.Unlock()
}

// mayResend reports whether an attempt that was proven not to have run is sent elsewhere.
func (n *Node) mayResend(ctx context.Context, j *journey, o notRun) bool {
	if ctx.Err() != nil || j.refusals >= maxRefusals || j.isBodySpent() {
		return false
	}
	if !o.hasArrived {
		return true
	}
	return j.arrivals < j.route.MaxAttempts && n.allowRetry(j.service)
}

// denial is why an attempt that may have run is not sent once more; the empty denial allows it.
type denial string

const (
	deniedByClient   denial = "client_gone"
	deniedByKind     denial = "not_repeatable"
	deniedByAttempts denial = "max_attempts"
	deniedByBody     denial = "body_not_kept"
	deniedByTree     denial = "part_of_a_repeat"
	deniedByBudget   denial = "retry_budget"
)

// denyRepeat decides whether an attempt that may have run is sent once more, and takes the retry from the budget if so.
func (n *Node) denyRepeat(ctx context.Context, j *journey) denial {
	switch {
	case ctx.Err() != nil:
		return deniedByClient
	case !j.isRepeatable:
		return deniedByKind
	case j.arrivals >= j.route.MaxAttempts:
		return deniedByAttempts
	case j.isBodySpent():
		return deniedByBody
	case j.isRepeat:
		return deniedByTree
	case !n.allowRetry(j.service):
		return deniedByBudget
	}
	return ""
}

// mayRepeatFailure reports whether a failure of the backend server itself is worth another attempt.
func (n *Node) mayRepeatFailure(j *journey, o answered) bool {
	if !o.isOwnFailure || o.status == http.StatusGatewayTimeout || j.failure != nil || !j.isRepeatable || o.length < 0 || o.length > smallBody {
		return false
	}
	if j.arrivals+1 >= j.route.MaxAttempts || j.isRepeat || j.isBodySpent() {
		return false
	}
	// A repeated run makes all its calls again; it has to have the time for that.
	return j.deadline.Sub(n.now()) > n.now().Sub(j.arrived) && n.allowRetry(j.service)
}

func (n *Node) allowRetry(s request.ServiceID) bool {
	n.ratioMu.Lock()
	defer n.ratioMu.Unlock()
	ok := n.ratio.Allow(n.now(), s)
	if ok {
		n.metrics.retries.Inc(1)
	} else {
		n.metrics.retriesDenied.Inc(1)
	}
	return ok
}

// dropFailure closes an earlier failure that is not needed any more.
func (n *Node) dropFailure(j *journey) {
	if j.failure != nil {
		_ = j.failure.body.Close()
		j.failure = nil
	}
}

// answer passes a response of the backend server on.
func (n *Node) answer(j *journey, t placement.Target, o answered) *ingress.Response {
	n.learn(j, o)
	if o.status < http.StatusInternalServerError {
		n.ratioMu.Lock()
		n.ratio.Succeeded(n.now(), j.service)
		n.ratioMu.Unlock()
	} else if j.parent != "" {
		n.runs.Fail(j.parent)
	}
	n.metrics.end(j, o.status, n.now())
	n.logAnswer(j, t, o.status)
	return &ingress.Response{Status: o.status, Header: o.header, Body: o.body, Length: o.length, Finish: func(err error) {
		if err != nil {
			n.logEnd(j, "client_gone", o.status, err)
		}
	}}
}

// learn adds the cost of a tree to its route, and the cost of a call to the run that made it. A tree that failed lacks the
// calls that it did not get to make, so it says too little about its route.
func (n *Node) learn(j *journey, o answered) {
	if j.parent != "" {
		n.runs.AddCost(j.parent, o.cost)
		return
	}
	if o.status >= http.StatusMultipleChoices {
		return
	}
	n.planMu.Lock()
	defer n.planMu.Unlock()
	n.costs.Observe(j.route.ID, o.cost)
}

// giveUp ends a request without a response of a backend server, or with the failure that an earlier attempt got.
func (n *Node) giveUp(ctx context.Context, j *journey, why string, err error) *ingress.Response {
	if j.parent != "" {
		n.runs.Fail(j.parent)
	}
	if j.failure != nil {
		o := *j.failure
		n.metrics.end(j, o.status, n.now())
		n.logEnd(j, "failed", o.status, err)
		return &ingress.Response{Status: o.status, Header: o.header, Body: o.body, Length: o.length}
	}
	if !j.mayHaveRun {
		return n.refuse(j, why, 0)
	}
	status := http.StatusBadGateway
	if ctx.Err() != nil {
		status = http.StatusGatewayTimeout
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		why = "client_gone"
	}
	n.metrics.end(j, status, n.now())
	n.logEnd(j, why, status, err)
	return ingress.NewResponse(status, nil, "the request may have run: "+why+"\n")
}

// refuse tells the client that its request has not run, and when to come back.
func (n *Node) refuse(j *journey, why string, after time.Duration) *ingress.Response {
	h := http.Header{}
	if after == 0 {
		left := j.left - n.now().Sub(j.arrived)
		n.planMu.Lock()
		after = placement.ReturnDelay(left, n.random)
		n.planMu.Unlock()
	}
	n.dialect.WriteReturn(h, after)
	n.metrics.end(j, http.StatusServiceUnavailable, n.now())
	n.logRefusal(j, why, after)
	return ingress.NewResponse(http.StatusServiceUnavailable, h, "the request has not run: "+why+"\n")
}
