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
	"time"

	"github.com/sapphiretack/sapphiretack/fleet"
	"github.com/sapphiretack/sapphiretack/gate"
	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/tree"
)

const (
	// backendIdle closes connections before a backend server with the usual idle time of 10 s does.
	backendIdle = 6 * time.Second
	// idleShare is the part of an idle time that a backend server states for which its connections are used again.
	idleShare = 0.6
	// backendDial bounds a new connection on the own machine.
	backendDial = time.Second
	// probeInterval is the time between two health checks of a backend server that is down.
	probeInterval = 200 * time.Millisecond
	// probeTimeout bounds a health check, which waits for a slot like a request.
	probeTimeout = time.Second
	// leaveDelay is how long the gate takes requests of sources that have not heard of the departure.
	leaveDelay = 300 * time.Millisecond
	// defaultSlots is assumed until the backend server has reported its own.
	defaultSlots = 16
)

// backend is the backend server on the machine, behind its gate.
type backend struct {
	node *Node

	mu       sync.Mutex
	gate     *gate.Gate
	next     gate.Number
	waiting  map[gate.Number]chan gate.Action
	lifetime Report // the newest report
	hasSlots bool   // the backend server has reported its slots
	health   fleet.Health
	isLeft   bool // the lifetime has announced that it leaves
	address  netip.AddrPort
	failing  failing
	work     gateWork

	transport atomic.Pointer[http.Transport]
	idle      atomic.Int64 // idle time of the transport
}

func newBackend(n *Node) *backend {
	b := &backend{
		node: n, gate: gate.New(gate.DefaultSettings(), defaultSlots),
		waiting: map[gate.Number]chan gate.Action{}, address: n.settings.Backend,
	}
	b.gate.Close(gate.Unknown)
	b.setIdle(backendIdle)
	return b
}

func (b *backend) setIdle(d time.Duration) {
	if b.idle.Swap(int64(d)) == int64(d) {
		return
	}
	old := b.transport.Swap(&http.Transport{
		DialContext:            (&net.Dialer{Timeout: backendDial, KeepAliveConfig: keepAlive}).DialContext,
		MaxIdleConnsPerHost:    1 << 12, // the gate bounds the connections in use
		IdleConnTimeout:        d,
		DisableCompression:     true,
		MaxResponseHeaderBytes: request.MaxResponseHeader,
	})
	if old != nil {
		old.CloseIdleConnections()
	}
}

// apply carries out the decisions on entries that waited; the caller holds the lock.
func (b *backend) apply(actions []gate.Action) {
	for _, action := range actions {
		var number gate.Number
		switch a := action.(type) {
		case gate.Start:
			number = a.Number
		case gate.Drop:
			number = a.Number
		}
		if decided := b.waiting[number]; decided != nil {
			decided <- action
			delete(b.waiting, number)
		}
	}
}

// admission is the place of one attempt at the gate.
type admission struct {
	number   gate.Number
	began    request.Instant
	instance request.InstanceID
	address  netip.AddrPort
}

// admit waits until the attempt may run; the outcome is nil if it may.
func (b *backend) admit(ctx context.Context, a attempt) (admission, outcome) {
	n := b.node
	b.mu.Lock()
	b.next++
	number := b.next
	arrival := gate.Attempt{Number: number, Route: a.route, Rank: a.rank, IsCall: a.isCall, Deadline: a.deadline}
	d, actions := b.gate.Arrive(n.now(), arrival)
	var decided chan gate.Action
	if d.Kind == gate.Wait {
		decided = make(chan gate.Action, 1)
		b.waiting[number] = decided // the actions may start it at once
	}
	b.apply(actions)
	place := admission{number: number, began: n.now(), instance: b.lifetime.Instance, address: b.address}
	switch d.Kind {
	case gate.Refuse:
		b.mu.Unlock()
		return place, notRun{reason: d.Reason, wait: d.Wait}
	case gate.Run:
		b.work.started++
		b.mu.Unlock()
		return place, nil
	}
	b.mu.Unlock()
	select {
	case action := <-decided:
		if drop, ok := action.(gate.Drop); ok {
			return place, notRun{reason: drop.Reason, wait: d.Wait}
		}
	case <-ctx.Done():
		if !b.cancel(number) {
			// Started in the same moment: the slot is given back.
			b.release(place, a, 0, false)
		}
		return place, notRun{reason: gate.TooLate}
	}
	b.mu.Lock()
	b.work.started++
	b.work.waited += n.now().Sub(place.began)
	place.began, place.instance = n.now(), b.lifetime.Instance
	b.mu.Unlock()
	return place, nil
}

// cancel removes an attempt that waits and reports whether it was waiting.
func (b *backend) cancel(number gate.Number) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, waits := b.waiting[number]
	delete(b.waiting, number)
	return b.gate.Cancel(number) || waits
}

// release frees the slot of an attempt.
func (b *backend) release(p admission, a attempt, held time.Duration, isWhole bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if held > 0 {
		b.work.ended++
		b.work.held += held
	}
	b.apply(b.gate.Finish(b.node.now(), p.number, a.route, held, isWhole))
}

// run admits an attempt and passes it to the backend server.
func (b *backend) run(ctx context.Context, a attempt) outcome {
	n := b.node
	arrived := n.now()
	place, refused := b.admit(ctx, a)
	if refused != nil {
		n.metrics.gate(refused)
		n.logGate(a, refused, n.now().Sub(arrived))
		return refused
	}
	n.metrics.queueTime.Update(place.began.Sub(arrived))
	n.runs.Begin(a.id, tree.Run{Route: a.route, Rank: a.rank, Deadline: a.deadline, IsRepeat: a.isRepeat})
	out := b.dispatch(ctx, a, place)
	calls, hasFailedCalls := n.runs.End(a.id)
	held := n.now().Sub(place.began)
	n.metrics.gate(out)
	switch o := out.(type) {
	case answered:
		service := *n.origin.Load()
		n.planMu.Lock()
		speed := n.planner.Speed()
		n.planMu.Unlock()
		calls[service] += time.Duration(speed * float64(held))
		o.cost = calls
		o.isOwnFailure = o.status >= http.StatusInternalServerError && !hasFailedCalls
		b.failing.observe(n.now(), o.isOwnFailure)
		// The slot is busy until the body has been read.
		o.body = &releasingBody{ReadCloser: o.body, release: func() { b.release(place, a, held, true) }}
		return o
	case notRun:
		b.failing.observe(n.now(), true)
		b.release(place, a, held, false)
	case broken:
		b.failing.observe(n.now(), ctx.Err() == nil)
		b.release(place, a, held, false)
	}
	n.logGate(a, out, held)
	return out
}

// releasingBody frees the slot of an attempt when its response has been read.
type releasingBody struct {
	io.ReadCloser
	once    sync.Once
	release func()
}

func (r *releasingBody) Read(p []byte) (int, error) {
	count, err := r.ReadCloser.Read(p)
	if err != nil {
		r.once.Do(r.release)
	}
	return count, err
}

func (r *releasingBody) Close() error {
	err := r.ReadCloser.Close()
	r.once.Do(r.release)
	return err
}

// dispatch sends an admitted attempt to the backend server.
func (b *backend) dispatch(ctx context.Context, a attempt, p admission) outcome {
	n := b.node
	left := a.deadline.Sub(n.now())
	if left <= 0 {
		return notRun{reason: gate.TooLate}
	}
	ctx, cancel := context.WithTimeout(ctx, left+deadlineMargin)
	a.header = a.header.Clone()
	n.dialect.WriteLeft(a.header, left)
	n.dialect.WriteInstance(a.header, p.instance)
	r, err := sendOnce(ctx, a, p.address.String())
	if err != nil {
		cancel()
		return notRun{reason: gate.Unknown}
	}
	response, err := b.transport.Load().RoundTrip(r)
	if err != nil {
		cancel()
		if request.IsUnsent(err) {
			b.setDown(p, err)
			return notRun{reason: gate.Down}
		}
		return broken{err: err}
	}
	out := b.read(a, p, response)
	if ok, isAnswer := out.(answered); isAnswer {
		ok.body = &cancellingBody{ReadCloser: ok.body, cancel: cancel}
		return ok
	}
	cancel()
	return out
}

// deadlineMargin lets the backend server's own response to a missed deadline arrive.
const deadlineMargin = 50 * time.Millisecond

// cancellingBody ends the context of a response with its body.
type cancellingBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

func (c *cancellingBody) Close() error {
	err := c.ReadCloser.Close()
	c.cancel()
	return err
}

// read checks that a response belongs to the attempt.
func (b *backend) read(a attempt, p admission, response *http.Response) outcome {
	info := b.node.dialect.ReadAnswer(response.StatusCode, response.Header)
	if info.IdleTime > 0 {
		b.setIdle(min(backendIdle, time.Duration(idleShare*float64(info.IdleTime))))
	}
	switch {
	case info.RequestID != "" && info.RequestID != a.id && !info.IsNotRun:
		_ = response.Body.Close()
		return broken{err: errors.New("the response belongs to another request")}
	case info.IsNotRun:
		drainBody(response)
		if info.IsOtherInstance {
			b.setOther(p, info.Instance)
			return notRun{reason: gate.Unknown}
		}
		return notRun{reason: gate.Shedding, hasArrived: true}
	case !info.IsGenuine || info.RequestID != a.id:
		_ = response.Body.Close()
		return broken{err: errors.New("the response does not bear the backend server's signature")}
	case response.Header.Get("Content-Encoding") != "":
		_ = response.Body.Close()
		return broken{err: errors.New("the response has an encoding that was not asked for")}
	}
	return readSmall(answered{
		status: response.StatusCode, header: removeHop(response.Header), body: response.Body, length: response.ContentLength,
	})
}

// active returns the number of attempts that run or wait.
func (b *backend) active() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.gate.Running() + b.gate.Queued()
}

// Report takes what the backend server says of itself and reports whether it is acknowledged.
func (n *Node) Report(r Report) bool { return n.backend.report(r) }

func (b *backend) report(r Report) bool {
	n := b.node
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.State == StateGone {
		if r.Instance == b.lifetime.Instance {
			b.beginLeave("the backend server has ended its registration")
		}
		return true
	}
	if r.Address != b.address {
		n.log.Warn().Str("event", "report_refused").Str("instance_id", string(r.Instance)).Str("address", r.Address.String()).
			Str("expected", b.address.String()).Msg("report names another address than that of the own backend server")
		return false
	}
	if !b.isCurrent(r) {
		n.log.Info().Str("event", "report_old").Str("instance_id", string(r.Instance)).Int64("sequence", r.Sequence).
			Time("born", r.Born).Str("current", string(b.lifetime.Instance)).Msg("report of an older lifetime or with an older sequence number")
		return true
	}
	isNew := r.Instance != b.lifetime.Instance || !r.Born.Equal(b.lifetime.Born)
	if isNew {
		n.log.Info().Str("event", "lifetime").Str("instance_id", string(r.Instance)).Str("service", string(r.Service)).
			Str("before", string(b.lifetime.Instance)).Int("slots", r.Slots).Dur("cold", r.ColdFor).Msg("the backend server has a new lifetime")
		b.isLeft = false
		b.failing.reset()
	}
	isFirst := isNew || !b.hasSlots
	b.lifetime, b.hasSlots = r, r.Slots > 0
	n.origin.Store(&r.Service)
	if r.State == StateLeaving {
		b.beginLeave("the backend server leaves")
		return true
	}
	if isFirst {
		b.gate.Warm(n.now(), r.ColdFor)
	}
	if !b.isLeft {
		b.open(r.Slots)
	}
	return true
}

// isCurrent orders reports by lifetime and sequence, since a report may arrive after one that was sent later.
func (b *backend) isCurrent(r Report) bool {
	c := b.lifetime
	switch {
	case r.Born.Before(c.Born):
		return false
	case r.Born.After(c.Born), r.Instance != c.Instance:
		return true
	}
	return r.Sequence > c.Sequence
}

// open lets the gate take attempts; the caller holds the lock.
func (b *backend) open(slots int) {
	if b.node.isStop.Load() {
		return
	}
	b.health = fleet.Serving
	b.gate.Open()
	if slots > 0 {
		b.apply(b.gate.SetSlots(b.node.now(), slots))
	}
}

// beginLeave tells the other nodes and closes the gate a moment later; the caller holds the lock.
func (b *backend) beginLeave(why string) {
	if b.isLeft {
		return
	}
	b.isLeft = true
	b.health = fleet.Leaving
	instance := b.lifetime.Instance
	b.node.log.Info().Str("event", "leaving").Str("instance_id", string(instance)).Str("why", why).Msg("the backend server takes no new work")
	time.AfterFunc(min(leaveDelay, b.node.settings.DrainTime/4), func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.isLeft && b.lifetime.Instance == instance {
			b.apply(b.gate.Close(gate.Leaving))
		}
	})
}

// leave closes the gate because the node itself stops.
func (b *backend) leave(why string) {
	b.mu.Lock()
	isNew := !b.isLeft
	b.beginLeave(why)
	b.mu.Unlock()
	if isNew {
		b.node.tick()
	}
}

// setDown closes the gate after a refused connection.
func (b *backend) setDown(p admission, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.health != fleet.Serving || b.lifetime.Instance != p.instance {
		return
	}
	b.health = fleet.Down
	b.apply(b.gate.Close(gate.Down))
	b.node.log.Warn().Str("event", "dependency_lost").Str("dependency", "backend_server").Str("instance_id", string(p.instance)).Err(err).
		Msg("the backend server refuses connections")
}

// setOther closes the gate after another lifetime has answered; its report or a health check opens it again.
func (b *backend) setOther(p admission, found request.InstanceID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lifetime.Instance != p.instance || b.health != fleet.Serving {
		return
	}
	b.health = fleet.Absent
	b.apply(b.gate.Close(gate.Unknown))
	b.node.log.Warn().Str("event", "lifetime_unknown").Str("instance_id", string(p.instance)).Str("found", string(found)).
		Msg("another lifetime of the backend server answered")
}

// move changes the address of the backend server.
func (b *backend) move(a netip.AddrPort) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.address = a
}

// probeLoop checks a backend server that is down or unknown, so that it need not wait for the next report.
func (b *backend) probeLoop(ctx context.Context) error {
	return every(ctx, probeInterval, func() {
		b.mu.Lock()
		wanted := b.health == fleet.Down || b.health == fleet.Absent
		b.mu.Unlock()
		if wanted && !b.node.isStop.Load() {
			b.probe(ctx)
		}
	})
}

func (b *backend) probe(ctx context.Context) {
	n := b.node
	c := n.configuration.Load()
	if c == nil {
		return
	}
	service, ok := c.Services[*n.origin.Load()]
	if !ok || service.HealthPath == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	b.mu.Lock()
	address := b.address
	b.mu.Unlock()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+service.HealthPath, nil)
	if err != nil {
		n.log.Warn().Str("event", "probe_failed").Err(err).Msg("the health check cannot be sent")
		return
	}
	n.metrics.probes.Inc(1)
	response, err := b.transport.Load().RoundTrip(r)
	if err != nil {
		return // the state stays as it was logged
	}
	drainBody(response)
	info := n.dialect.ReadAnswer(response.StatusCode, response.Header)
	b.mu.Lock()
	defer b.mu.Unlock()
	known := info.Instance != "" && info.Instance == b.lifetime.Instance
	if response.StatusCode != http.StatusOK || b.isLeft && known {
		return
	}
	if !known {
		if b.lifetime.Instance != "" || info.Instance == "" {
			return // the report of the new lifetime says more
		}
		b.lifetime.Instance = info.Instance
	}
	n.log.Info().Str("event", "dependency_regained").Str("dependency", "backend_server").Str("instance_id", string(info.Instance)).
		Int("slots", info.Slots).Msg("the backend server passes its health check")
	b.open(info.Slots)
}

// failing measures the share of recent attempts that failed at the backend server.
type failing struct {
	mu     sync.Mutex
	since  request.Instant
	total  int
	failed int
	share  float64
}

const (
	// failingWindow is the time over which failures are counted.
	failingWindow = 500 * time.Millisecond
	// failingSamples is the number of attempts without which a window says nothing.
	failingSamples = 8
)

// reset forgets the attempts of an earlier lifetime.
func (f *failing) reset() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.since, f.total, f.failed, f.share = 0, 0, 0, 0
}

func (f *failing) observe(now request.Instant, isFailure bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.roll(now)
	f.total++
	if isFailure {
		f.failed++
	}
}

func (f *failing) roll(now request.Instant) {
	if now.Sub(f.since) < failingWindow {
		return
	}
	if f.total >= failingSamples {
		f.share = float64(f.failed) / float64(f.total)
	} else {
		f.share /= 2
	}
	f.since, f.total, f.failed = now, 0, 0
}

func (f *failing) percent(now request.Instant) uint8 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.roll(now)
	return uint8(100 * f.share)
}

// keepBody reads the body of a request that is short enough to be sent again, which is a bytes.Reader then.
func keepBody(r *http.Request) (io.Reader, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	if r.ContentLength < 0 || r.ContentLength > replayableBody {
		return r.Body, nil
	}
	data := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, data); err != nil {
		return nil, err
	}
	// The end of the body is read too, so that the connection notices it.
	_, _ = r.Body.Read(make([]byte, 1))
	return bytes.NewReader(data), nil
}

// entry describes the backend server for other nodes; the caller fills in the rest.
func (b *backend) entry(now request.Instant) (fleet.Entry, float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.apply(b.gate.Tick(now))
	limit := b.gate.Limit(now)
	route, usual := b.gate.Usual(now)
	return fleet.Entry{
		Service: *b.node.origin.Load(), Instance: b.lifetime.Instance, Health: b.health, Limit: uint16(min(limit, 1<<16-1)),
		UsualRoute: route, UsualTime: usual, Failing: b.failing.percent(now),
	}, float64(b.gate.Running()+b.gate.Queued()) / float64(limit)
}

// RefuseReport records a report that cannot be read.
func (n *Node) RefuseReport(instance request.InstanceID, err error) {
	n.log.Warn().Str("event", "report_unreadable").Str("instance_id", string(instance)).Err(err).Msg("a report of a backend server cannot be read")
}
