package mesh

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sapphiretack/sapphiretack/departure"
	"github.com/sapphiretack/sapphiretack/exchange"
	"github.com/sapphiretack/sapphiretack/fleet"
	"github.com/sapphiretack/sapphiretack/gate"
	"github.com/sapphiretack/sapphiretack/quarantine"
	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/tree"
)

const (
	// backendIdleTimeout is below the usual idle timeout of backend servers, 10 s, so that the node closes connections first.
	backendIdleTimeout = 6 * time.Second
	// idleTimeoutShare is the share of the idle timeout advertised by a backend server for which its connections are reused.
	idleTimeoutShare = 0.6
	// backendDialTimeout bounds establishing a connection to the backend server on the same machine.
	backendDialTimeout = time.Second
	// healthCheckInterval is the time between health checks of a backend server that is down or unknown.
	healthCheckInterval = 200 * time.Millisecond
	// healthCheckTimeout bounds a health check, which has to wait for a slot of the backend server as a request does.
	healthCheckTimeout = time.Second
	// gateCloseDelay is how long the gate of a leaving backend server stays open for nodes that have not learned of it yet.
	gateCloseDelay = 300 * time.Millisecond
	// defaultSlots is the number of concurrent requests assumed until the backend server reports its own.
	defaultSlots = 16
)

// backend sends attempts through the gate to the backend server on the same machine and tracks its health.
type backend struct {
	node *Node

	mu              sync.Mutex
	gate            *gate.Gate
	lastNumber      gate.Number
	waiting         map[gate.Number]chan gate.Action
	lastReport      Report // holds only Instance and Service if a health check was first to find the incarnation
	hasSlots        bool   // whether the latest report had a number of slots
	health          fleet.Health
	isLeaving       bool // whether the current incarnation is leaving
	hasEnded        bool // whether nothing has listened at the address since the latest report
	departures      departures
	address         netip.AddrPort
	failures        failureRate
	activity        gateActivity
	detector        *quarantine.Detector
	crashed         request.InstanceID // the incarnation that crashed last
	check           *aliveCheck        // the check in progress, or nil
	hasBadRateLimit bool               // whether the last rate limit that the backend server named was unreadable
	// isTokenScheduled is set while a timer waits for the next token of the rate limit.
	isTokenScheduled bool
	limitChecked     request.Instant // when the health check of a backend server that takes hardly any requests began

	transport   atomic.Pointer[exchange.Transport]
	idleTimeout atomic.Int64 // idle timeout of the transport, a time.Duration
}

func newBackend(n *Node) *backend {
	b := &backend{
		node: n, gate: gate.New(gate.DefaultSettings(), defaultSlots),
		waiting: map[gate.Number]chan gate.Action{}, address: n.settings.Backend, detector: quarantine.NewDetector(),
		departures: departures{verifier: departure.NewVerifier(n.start, n.settings.IsFirstStart)},
	}
	b.gate.Close(gate.UnknownServer)
	b.gate.AwaitFirstResponse()
	b.setIdleTimeout(backendIdleTimeout)
	return b
}

// setIdleTimeout replaces the transport if its idle timeout changes.
func (b *backend) setIdleTimeout(d time.Duration) {
	if b.idleTimeout.Swap(int64(d)) == int64(d) {
		return
	}
	old := b.transport.Swap(exchange.New(&http.Transport{
		DialContext:            (&net.Dialer{Timeout: backendDialTimeout, KeepAliveConfig: keepAlive}).DialContext,
		MaxIdleConnsPerHost:    1 << 12, // the gate already bounds the connections in use
		IdleConnTimeout:        d,
		DisableCompression:     true,
		MaxResponseHeaderBytes: request.MaxResponseHeaderBytes,
	}))
	if old != nil {
		old.CloseIdleConnections()
	}
}

// applyActions notifies the queued attempts that the gate started or dropped, and arranges for the next one that waits for the rate
// limit. The caller holds b.mu.
func (b *backend) applyActions(actions []gate.Action) {
	b.scheduleToken()
	for _, action := range actions {
		var number gate.Number
		switch a := action.(type) {
		case gate.Start:
			number = a.Number
		case gate.Drop:
			number = a.Number
		}
		if decision := b.waiting[number]; decision != nil {
			decision <- action
			delete(b.waiting, number)
		}
	}
}

// admittedAttempt is an attempt that the gate has accepted, and the incarnation of the backend server that was current when it
// started.
type admittedAttempt struct {
	number      gate.Number
	started     request.Instant
	incarnation request.InstanceID
	address     netip.AddrPort
}

// admit waits in the queue of the gate until the attempt may run. It returns a nil outcome if it may.
func (b *backend) admit(ctx context.Context, a attempt) (admittedAttempt, outcome) {
	n := b.node
	n.mergeCrashes(a.crashes)
	state, remaining := n.quarantineState(a.content)
	if state == quarantine.Quarantined {
		return admittedAttempt{}, notRun{reason: gate.Quarantined, wait: remaining}
	}
	b.mu.Lock()
	if b.isForOtherService(a) {
		b.mu.Unlock()
		return admittedAttempt{}, notRun{reason: gate.UnknownServer}
	}
	b.lastNumber++
	number := b.lastNumber
	arrival := gate.Attempt{
		Number: number, Route: a.route, Rank: a.rank, IsCall: a.isCall, Deadline: a.deadline,
		// The requests that were in flight at a crash are retried at the same time; they are kept apart from each other.
		IsSuspect: state == quarantine.Suspect || a.isRetry && len(a.crashes) > 0,
	}
	d, actions := b.gate.Arrive(n.now(), arrival)
	var decision chan gate.Action
	if d.Kind == gate.Wait {
		decision = make(chan gate.Action, 1)
		b.waiting[number] = decision // before applyActions, since an action may start this attempt
	}
	b.applyActions(actions)
	adm := admittedAttempt{number: number, started: n.now(), incarnation: b.lastReport.Instance, address: b.address}
	switch d.Kind {
	case gate.Refuse:
		b.mu.Unlock()
		return adm, notRun{reason: d.Reason, wait: d.QueueingDelay}
	case gate.Run:
		b.activity.started++
		b.mu.Unlock()
		return adm, nil
	}
	b.mu.Unlock()
	select {
	case action := <-decision:
		if drop, ok := action.(gate.Drop); ok {
			return adm, notRun{reason: drop.Reason, wait: d.QueueingDelay}
		}
	case <-ctx.Done():
		if !b.cancel(number) {
			// The gate started or dropped the attempt concurrently; release frees its slot if it was started.
			b.release(adm, a, 0, false)
		}
		return adm, notRun{reason: gate.TooLate}
	}
	if state, remaining := n.quarantineState(a.content); state == quarantine.Quarantined {
		b.release(adm, a, 0, false)
		return adm, notRun{reason: gate.Quarantined, wait: remaining}
	}
	b.mu.Lock()
	if b.isForOtherService(a) { // the address has changed hands while the attempt waited
		b.mu.Unlock()
		b.release(adm, a, 0, false)
		return adm, notRun{reason: gate.UnknownServer}
	}
	b.activity.started++
	b.activity.waited += n.now().Sub(adm.started)
	adm.started, adm.incarnation = n.now(), b.lastReport.Instance
	b.mu.Unlock()
	return adm, nil
}

// isForOtherService reports whether the sender knows this address from a backend server of another service that had it before. The caller holds
// b.mu, so that the answer holds for the incarnation that is current.
func (b *backend) isForOtherService(a attempt) bool {
	return a.service != "" && a.service != *b.node.service.Load()
}

// cancel removes a queued attempt and reports whether it was still queued.
func (b *backend) cancel(number gate.Number) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, isWaiting := b.waiting[number]
	delete(b.waiting, number)
	return b.gate.Cancel(number) || isWaiting
}

// release frees the slot of an attempt. held is how long the attempt occupied it, or 0 if it was not dispatched; isComplete is
// set if the backend server responded.
func (b *backend) release(adm admittedAttempt, a attempt, held time.Duration, isComplete bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if held > 0 {
		b.activity.ended++
		b.activity.held += held
	}
	b.applyActions(b.gate.Finish(b.node.now(), adm.number, a.route, held, isComplete))
}

// run passes an attempt through the gate to the backend server.
func (b *backend) run(ctx context.Context, a attempt) outcome {
	n := b.node
	arrived := n.now()
	adm, refused := b.admit(ctx, a)
	if refused != nil {
		n.metrics.countAttempt(refused)
		n.logGate(a, refused, n.now().Sub(arrived))
		return refused
	}
	n.metrics.queueTime.Update(adm.started.Sub(arrived))
	n.executions.Begin(a.id, tree.Execution{Route: a.route, Rank: a.rank, Deadline: a.deadline, IsRetry: a.isRetry})
	out := b.dispatch(ctx, a, adm)
	cost, hasFailedCalls := n.executions.End(a.id)
	held := n.now().Sub(adm.started)
	n.metrics.countAttempt(out)
	switch o := out.(type) {
	case responded:
		service := *n.service.Load()
		n.plannerMu.Lock()
		speed := n.planner.LocalSpeed()
		n.plannerMu.Unlock()
		cost[service] += time.Duration(speed * float64(held))
		o.cost = cost
		o.isOwnFailure = o.status >= http.StatusInternalServerError && !hasFailedCalls
		b.failures.observe(n.now(), o.isOwnFailure)
		// The slot stays occupied until the body has been read.
		o.body = &observedBody{ReadCloser: o.body, end: func(error) { b.release(adm, a, held, true) }}
		return o
	case notRun:
		b.failures.observe(n.now(), true)
		b.release(adm, a, held, false)
	case broken:
		b.failures.observe(n.now(), ctx.Err() == nil)
		b.release(adm, a, held, false)
	}
	n.logGate(a, out, held)
	return out
}

// errBodyClosed is the error with which an observedBody ends that is closed before its end.
var errBodyClosed = Error.New("body was closed before its end")

// observedBody is a response body that calls end once, with the error that ended it.
type observedBody struct {
	io.ReadCloser
	once sync.Once
	end  func(error)
}

func (o *observedBody) Read(p []byte) (int, error) {
	count, err := o.ReadCloser.Read(p)
	if err != nil {
		o.once.Do(func() { o.end(err) })
	}
	return count, err
}

func (o *observedBody) Close() error {
	err := o.ReadCloser.Close()
	o.once.Do(func() { o.end(errBodyClosed) })
	return err
}

// dispatch sends an admitted attempt to the backend server.
func (b *backend) dispatch(ctx context.Context, a attempt, adm admittedAttempt) outcome {
	n := b.node
	remaining := a.deadline.Sub(n.now())
	if remaining <= 0 {
		return notRun{reason: gate.TooLate}
	}
	ctx, cancel := context.WithTimeout(ctx, remaining+deadlineMargin)
	a.header = a.header.Clone()
	n.headers.WriteTimeout(a.header, remaining)
	n.headers.WriteInstance(a.header, adm.incarnation)
	r, err := newOneShotRequest(ctx, a, adm.address.String())
	if err != nil {
		cancel()
		return notRun{reason: gate.UnknownServer}
	}
	if body, ok := a.body.(*attemptBody); ok {
		body.begin()
	}
	b.beginAttempt(adm, a.content)
	response, err := b.transport.Load().RoundTrip(r)
	if err != nil {
		isCrash := b.endAttempt(adm, endOf(ctx, err, n.now() >= a.deadline))
		cancel()
		if request.IsUnsent(err) {
			b.markDown(adm, err)
			return notRun{reason: gate.Down}
		}
		out := broken{err: err, isCrash: isCrash}
		if isCrash {
			out.crashes = n.crashesAbout(a.content)
		}
		return out
	}
	out := b.readResponse(a, adm, response)
	resp, ok := out.(responded)
	if !ok {
		b.endAttempt(adm, quarantine.Abandoned)
		cancel()
		return out
	}
	resp.body = &observedBody{ReadCloser: resp.body, end: func(err error) {
		b.endResponse(adm, a.content, endOfBody(ctx, err))
		cancel()
	}}
	return bufferSmallBody(resp)
}

// deadlineMargin leaves time for the backend server's own response to a missed deadline.
const deadlineMargin = 50 * time.Millisecond

// readResponse verifies that a response belongs to the attempt and converts it to an outcome.
func (b *backend) readResponse(a attempt, adm admittedAttempt, response *http.Response) outcome {
	info := b.node.headers.ReadResponse(response.StatusCode, response.Header)
	if info.RequestID == a.id {
		b.readAnnouncements(adm.incarnation, adm.started, info)
	}
	if info.IdleTimeout > 0 {
		b.setIdleTimeout(min(backendIdleTimeout, time.Duration(idleTimeoutShare*float64(info.IdleTimeout))))
	}
	switch {
	case info.RequestID != a.id && (info.RequestID != "" || info.IsNotRun && !isOtherInstance(adm, info)):
		// A late copy of an earlier response, be it a refusal, says nothing of this attempt. The response to this attempt may follow
		// on the same connection, which is not to be used again.
		_ = response.Body.Close()
		b.transport.Load().CloseIdleConnections()
		return broken{err: errors.New("response does not have the id of its request")}
	case info.IsNotRun:
		drainBody(response)
		if info.IsWrongInstance {
			b.markUnknownIncarnation(adm, info.Instance)
			return notRun{reason: gate.UnknownServer}
		}
		return notRun{reason: gate.BackendRefused, isBackendRefusal: true}
	case !info.IsSigned || info.RequestID != a.id:
		_ = response.Body.Close()
		return broken{err: errors.New("response lacks the signature of the backend server or the request id")}
	case response.Header.Get("Content-Encoding") != "":
		_ = response.Body.Close()
		return broken{err: errors.New("response has a content encoding that was not requested")}
	}
	return responded{
		status: response.StatusCode, header: removeHopByHop(response.Header), body: response.Body, length: response.ContentLength,
	}
}

// isOtherInstance reports whether a response names another incarnation than the expected one, which therefore has not run the attempt,
// whatever request it responds to.
func isOtherInstance(adm admittedAttempt, info ResponseInfo) bool {
	return info.IsWrongInstance && info.Instance != "" && info.Instance != adm.incarnation
}

// inFlight returns the number of running and queued attempts.
func (b *backend) inFlight() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.gate.Running() + b.gate.Queued()
}

// markDown closes the gate after the backend server refused a connection; a health check or a report reopens it.
func (b *backend) markDown(adm admittedAttempt, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.health != fleet.Serving || b.lastReport.Instance != adm.incarnation {
		return
	}
	b.health = fleet.Down
	if errors.Is(err, syscall.ECONNREFUSED) {
		b.hasEnded = true // the clock may be set back before the next incarnation starts, which then does not look later
		b.recordCrash()
	}
	b.applyActions(b.gate.Close(gate.Down))
	b.node.log.Warn().Str("event", "dependency_lost").Str("dependency", "backend_server").Str("instance_id", string(adm.incarnation)).Err(err).
		Msg("backend server refuses connections; refusing attempts until a health check succeeds or a report arrives")
}

// markUnknownIncarnation closes the gate after an unexpected incarnation responded. The report of the new incarnation reopens
// it, or a health check to which the expected one responds.
func (b *backend) markUnknownIncarnation(adm admittedAttempt, found request.InstanceID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lastReport.Instance != adm.incarnation || b.health != fleet.Serving {
		return
	}
	b.health = fleet.Absent
	b.applyActions(b.gate.Close(gate.UnknownServer))
	b.node.log.Warn().Str("event", "lifetime_unknown").Str("instance_id", string(adm.incarnation)).Str("found", string(found)).
		Msg("response is from an unknown incarnation of the backend server; refusing attempts until its report arrives")
}

// setService sets the service and the address of the backend server, as the settings name them. The gate closes if they are of another
// service than the current incarnation.
func (b *backend) setService(s request.ServiceID, a netip.AddrPort) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.address = a
	hasChanged := s != *b.node.service.Load()
	b.node.service.Store(&s)
	if hasChanged && b.health == fleet.Serving {
		b.health = fleet.Absent
		b.applyActions(b.gate.Close(gate.UnknownServer))
	}
}

// fingerprintBodyBytes is the number of bytes by which a body that is not buffered enters the fingerprint of its request.
const fingerprintBodyBytes = 4 << 10

// bufferBody returns the body of a request, and the part of it that enters the fingerprint. A body short enough to be kept for another
// attempt is read into a bytes.Reader.
func bufferBody(r *http.Request) (body io.Reader, fingerprinted []byte, err error) {
	if r.ContentLength == 0 {
		return nil, nil, nil
	}
	if r.ContentLength < 0 || r.ContentLength > maxBufferedRequestBytes {
		beginning := make([]byte, fingerprintBodyBytes)
		n, err := io.ReadFull(r.Body, beginning)
		if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return nil, nil, err
		}
		return io.MultiReader(bytes.NewReader(beginning[:n]), r.Body), beginning[:n], nil
	}
	data := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, data); err != nil {
		return nil, nil, err
	}
	// Read to io.EOF so that the connection registers the end of the body and reads the next request.
	_, _ = r.Body.Read(make([]byte, 1))
	return bytes.NewReader(data), data, nil
}

// gossipEntry returns the gossip entry of the backend server, without the fields that the caller fills in, and its load:
// running and queued attempts relative to the limit.
func (b *backend) gossipEntry(now request.Instant) (fleet.Entry, float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.applyActions(b.gate.Tick(now))
	limit := b.gate.Capacity(now)
	route, serviceTime := b.gate.DominantRoute(now)
	instance := departure.Incarnation(b.lastReport.Instance, b.lastReport.StartTime)
	if b.health != fleet.Departed && !b.isUsable() {
		instance = "" // other nodes confirm the incarnation that is told after the next restart of this node
	}
	return fleet.Entry{
		Service: *b.node.service.Load(), Instance: instance, Health: b.health, Limit: uint16(min(limit, 1<<16-1)),
		DominantRoute: route, ServiceTime: serviceTime, FailurePercent: b.failures.percent(now),
	}, float64(b.gate.Running()+b.gate.Queued()) / float64(max(1, limit))
}
