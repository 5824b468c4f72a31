package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// workOf returns a time of work that varies by half of its mean.
func workOf(mean time.Duration) func() time.Duration {
	return func() time.Duration { return mean/2 + time.Duration(rand.Int64N(int64(mean))) }
}

// The two routes of most cases: each leads to a service of its own.
const (
	hostA, prefixA, serviceA = "hulo84.example", "/leny950/", "huvo11a"
	hostB, prefixB, serviceB = "jepu9.example", "/puka111/", "wuno96b"
)

// twoRoutes returns a safe route to serviceA and an unsafe one to serviceB.
func twoRoutes() []route {
	return []route{
		{name: "r-n2ctnfz", host: hostA, prefix: prefixA, kind: "safe", service: serviceA, timeoutMs: 3000, targetMs: 1500, priority: 2},
		{name: "r-s989anu", host: hostB, prefix: prefixB, kind: "unsafe", service: serviceB, timeoutMs: 1500, targetMs: 2000, priority: 0},
	}
}

// start starts the machines with twoRoutes in force, and waits until all are ready and their upstreams have reported.
func (l *lab) start() error {
	if err := l.putConfig(7, twoRoutes(), []string{serviceA, serviceB}); err != nil {
		return err
	}
	if err := l.startAll(); err != nil {
		return err
	}
	if err := l.awaitReady(10 * time.Second); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	return nil
}

// origins has the machine at which each request began, by the id of the request.
type origins struct {
	mu      sync.Mutex
	machine map[string]*machine
}

func (o *origins) add(id string, m *machine) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.machine == nil {
		o.machine = map[string]*machine{}
	}
	o.machine[id] = m
}

// traffic sends requests of both routes at all machines in turn, and returns where each one began and how many were served.
func (l *lab) traffic(ctx context.Context, interval, limit time.Duration) (*origins, int) {
	var o origins
	var mu sync.Mutex
	served := 0
	every(ctx, interval, limit, func(i int) {
		m := l.machines[i%len(l.machines)]
		c := clientRequest{id: newID(), method: http.MethodGet, host: hostA, path: prefixA + "2f", budget: 5 * time.Second}
		if i/len(l.machines)%2 == 1 {
			c.method, c.host, c.path, c.body = http.MethodPost, hostB, prefixB+"2f", strings.Repeat("x", 4000)
		}
		o.add(c.id, m)
		if r := m.send(c); r.status == http.StatusOK && r.id == c.id {
			mu.Lock()
			served++
			mu.Unlock()
		}
	})
	return &o, served
}

// checkRoute returns the requests that ran at a service to which no config sends them.
func checkRoute(runs []run) verdict {
	var out verdict
	for _, r := range runs {
		if r.host == hostA && r.service != serviceA || r.host == hostB && r.service != serviceB {
			out = append(out, fmt.Sprintf("ROUTE: request %s for %s%s ran at %s, an upstream of %s", r.id, r.host, r.path, r.upstream, r.service))
		}
	}
	return out
}

// checkCaller returns the requests that ran with another caller than the service of the machine where they began.
func checkCaller(runs []run, o *origins) verdict {
	var out verdict
	for _, r := range runs {
		if m := o.machine[r.id]; m != nil && r.caller != m.service {
			out = append(out, fmt.Sprintf("UNASKED: request %s began at a machine of %s and ran with X-Caller-Service %q", r.id, m.service, r.caller))
		}
	}
	return out
}

// fourMachines adds two machines of each service.
func (l *lab) fourMachines() {
	for _, service := range []string{serviceA, serviceB} {
		for range 2 {
			l.addMachine("plovdiv-a", service, 108, workOf(100*time.Millisecond))
		}
	}
}

// foreignReport sends one report that lacks a field and names another service than that of the upstream.
func foreignReport(ctx context.Context, l *lab) (verdict, error) {
	l.fourMachines()
	if err := l.start(); err != nil {
		return nil, err
	}
	timer := time.AfterFunc(3*time.Second, func() {
		if !l.trouble {
			return
		}
		u := l.machines[0].upstream
		body := u.report("ready")
		body["service"] = serviceB
		delete(body, "zone")
		status := putReport(u.control, u.id, body)
		l.note("another writer reported %v without a zone to node 1; answered %d", body, status)
	})
	defer timer.Stop()
	o, served := l.traffic(ctx, 20*time.Millisecond, 10*time.Second)
	if served == 0 {
		return nil, fmt.Errorf("%w: nothing was served", errCannotRun)
	}
	runs, _ := l.copies()
	return append(checkRoute(runs), checkCaller(runs, o)...), nil
}

// reportBeforeConfig sends one report of a service that is in no config, before the operator has written the first config.
func reportBeforeConfig(ctx context.Context, l *lab) (verdict, error) {
	l.fourMachines()
	if err := l.startAll(); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	if l.trouble {
		u := l.machines[0].upstream
		body := u.report("ready")
		body["service"], body["born"], body["seq"] = "zz-unknown", time.Now().UnixMilli(), 1
		status := putReport(u.control, fmt.Sprintf("i-%08x", rand.Uint32()), body)
		l.note("another writer reported %v to node 1; answered %d", body, status)
	}
	time.Sleep(2 * time.Second)
	if err := l.putConfig(7, twoRoutes(), []string{serviceA, serviceB}); err != nil {
		return nil, err
	}
	if err := l.awaitReady(10 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second) // clients come 8 s after the machines
	o, served := l.traffic(ctx, 20*time.Millisecond, 10*time.Second)
	if served == 0 {
		return nil, fmt.Errorf("%w: nothing was served", errCannotRun)
	}
	runs, _ := l.copies()
	return checkCaller(runs, o), nil
}

const (
	// slowFactor, slowTime and leaveShare are figures that the site file gives for upstreams that turn slow and for clients that leave;
	// clients may leave up to half of the objective after they have sent their request.
	slowFactor = 5
	slowTime   = 6500 * time.Millisecond
	leaveShare = 0.3
	// leaveTime is when the clients that leave have done so.
	leaveTime = 150 * time.Millisecond
	// slowdowns is the number of times that an upstream turns slow.
	slowdowns = 3
)

// leftInQueue has clients leave while their requests, which have bodies, wait in the queue of an upstream that has turned slow.
func leftInQueue(ctx context.Context, l *lab) (verdict, error) {
	l.addMachine("plovdiv-a", serviceA, 108, workOf(100*time.Millisecond))
	var slow atomic.Int64 // the upstream that is slow, from 1, or 0
	usualWork := workOf(290 * time.Millisecond)
	for i := range int64(3) {
		l.addMachine("plovdiv-a", serviceB, 108, func() time.Duration {
			if slow.Load() == i+1 {
				return slowFactor * usualWork()
			}
			return usualWork()
		})
	}
	if err := l.start(); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	left := map[string]time.Time{}
	send := func(leaves bool) {
		c := clientRequest{id: newID(), method: http.MethodPost, host: hostB, path: prefixB + "2f", body: strings.Repeat("x", 4000), budget: 5 * time.Second}
		if leaves {
			c.leaveAfter = time.Duration(rand.Int64N(int64(leaveTime)))
		}
		if r := l.machines[0].send(c); !r.left.IsZero() {
			mu.Lock()
			left[c.id] = r.left
			mu.Unlock()
		}
	}
	const interval = 1200 * time.Microsecond // 833 a second, where 1,117 a second fit
	every(ctx, interval, 4*time.Second, func(int) { send(false) })
	for i := range int64(slowdowns) {
		if l.trouble {
			slow.Store(1 + i%3)
			l.note("upstream %s turns slow, and clients leave", l.machines[slow.Load()].upstream.id)
		}
		every(ctx, interval, slowTime, func(int) { send(l.trouble && rand.Float64() < leaveShare) })
		slow.Store(0)
		l.note("no trouble")
		every(ctx, interval, 5*time.Second, func(int) { send(false) })
	}
	time.Sleep(2 * time.Second)
	_, arrivals := l.copies()
	var out verdict
	for id, at := range left {
		for _, a := range arrivals[id] {
			if late := a.Sub(at); late > 500*time.Millisecond {
				out = append(out, fmt.Sprintf("GONE: request %s reached an upstream %v after its client had closed its connection", id, late))
			}
		}
	}
	l.note("%d clients left, the requests of %d reached an upstream over half a second later", len(left), len(out))
	if len(out) <= aFew {
		return nil, nil
	}
	return out, nil
}

// aFew is what the rule GONE calls a few requests.
const aFew = 5

// lateReport kills a node once, and lets a report of an upstream that crashed earlier at the same address arrive after the node has started
// again.
func lateReport(ctx context.Context, l *lab) (verdict, error) {
	l.fourMachines()
	last := l.machines[len(l.machines)-1]
	if err := l.start(); err != nil {
		return nil, err
	}
	var group sync.WaitGroup
	var failed error
	restart := func() error {
		time.Sleep(3 * time.Second)
		for seq := last.upstream.seq.Load(); last.upstream.seq.Load() == seq; {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(100 * time.Millisecond) // the report has been answered
		last.kill()
		if err := last.startNode(false); err != nil {
			return err
		}
		body := last.upstream.report("ready")
		last.upstream.seq.Add(-1) // the other upstream counts its reports itself
		body["service"], body["seq"], body["born"] = serviceA, 40, l.begun.Add(-time.Minute).UnixMilli()
		id := fmt.Sprintf("i-%08x", rand.Uint32())
		for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			if status := putReport(last.upstream.control, id, body); status != 0 {
				l.note("late report %v of %s to node %d; answered %d", body, id, last.index+1, status)
				return nil
			}
		}
		return fmt.Errorf("%w: node %d did not answer", errCannotRun, last.index+1)
	}
	if l.trouble {
		group.Go(func() { failed = restart() })
	}
	o, served := l.traffic(ctx, 10*time.Millisecond, 8*time.Second)
	group.Wait()
	if failed != nil {
		return nil, failed
	}
	if served == 0 {
		return nil, fmt.Errorf("%w: nothing was served", errCannotRun)
	}
	runs, _ := l.copies()
	return append(checkRoute(runs), checkCaller(runs, o)...), nil
}

// pipelineDepth is the number of requests that a client has sent before it leaves.
const pipelineDepth = 20

// leftPipeline has clients leave that have sent several safe requests before the first one was answered.
func leftPipeline(ctx context.Context, l *lab) (verdict, error) {
	for range 4 {
		l.addMachine("plovdiv-a", serviceA, 108, workOf(1500*time.Millisecond))
	}
	if err := l.putConfig(7, twoRoutes(), []string{serviceA, serviceB}); err != nil {
		return nil, err
	}
	if err := l.startAll(); err != nil {
		return nil, err
	}
	if err := l.awaitReady(10 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	left := map[string]time.Time{}
	every(ctx, 125*time.Millisecond, 10*time.Second, func(i int) {
		ids, at := l.machines[i%len(l.machines)].pipeline(ctx, pipelineDepth, l.trouble && i%3 == 0)
		mu.Lock()
		defer mu.Unlock()
		for _, id := range ids {
			if !at.IsZero() {
				left[id] = at
			}
		}
	})
	time.Sleep(2 * time.Second)
	_, arrivals := l.copies()
	l.mu.Lock()
	late, long, atWork := 0, 0, 0
	for id, at := range left {
		for _, a := range arrivals[id] {
			if a.Sub(at) > 500*time.Millisecond {
				late++
			}
		}
		for _, s := range l.spans[id] {
			if s.due.Sub(at) > 500*time.Millisecond {
				long++
				if s.end.Sub(at) > 500*time.Millisecond {
					atWork++
				}
			}
		}
	}
	l.mu.Unlock()
	l.note("%d requests of clients that left; %d reached an upstream over half a second later; %d would have lasted half a second longer, upstreams were still at work on %d",
		len(left), late, long, atWork)
	var out verdict
	if late > aFew {
		out = append(out, fmt.Sprintf("GONE: %d requests reached an upstream over half a second after their clients had left", late))
	}
	if 4*atWork > long {
		out = append(out, fmt.Sprintf("GONE: upstreams were still at work half a second after the clients had left on %d of %d requests that would have lasted so long", atWork, long))
	}
	return out, nil
}

// pipeline sends safe requests on one connection at once, and reads the answers. A client that leaves closes its connection after 300 ms;
// pipeline then returns when it did.
func (m *machine) pipeline(ctx context.Context, depth int, leaves bool) (ids []string, left time.Time) {
	l := m.lab
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp4", m.at(portOutbound).String())
	if err != nil {
		l.note("no connection: %v", err)
		return nil, time.Time{}
	}
	defer conn.Close()
	var text strings.Builder
	for range depth {
		id := newID()
		ids = append(ids, id)
		fmt.Fprintf(&text, "GET %s2f HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 5000\r\n\r\n", prefixA, hostA, id)
		l.note("sent     %s on a connection of %d requests to node %d", id, depth, m.index+1)
	}
	_ = conn.SetDeadline(time.Now().Add(6 * time.Second))
	if _, err := io.WriteString(conn, text.String()); err != nil {
		return ids, time.Time{}
	}
	if leaves {
		time.Sleep(300 * time.Millisecond)
		_ = conn.Close()
		l.note("left     %s and the others of its connection", ids[0])
		return ids, time.Now()
	}
	reader := bufio.NewReader(conn)
	for _, id := range ids {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			l.note("answered %s: the connection ended: %v", id, err)
			return ids, time.Time{}
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		l.note("answered %s: %d", id, response.StatusCode)
	}
	return ids, time.Time{}
}

const (
	// outage is how long the store is down, and down is how long the nodes are after they have been killed.
	outage, down = 4500 * time.Millisecond, 500 * time.Millisecond
	// servesOn is how long an upstream serves after it has ended its registration.
	servesOn = 15 * time.Second
	// drainTime and stableTime are the bounds drain_ms and stable_window_ms.
	drainTime, stableTime = 2 * time.Second, 3 * time.Second
)

// forgottenDeparture has an upstream leave while the store is down, kills all nodes after the acknowledgement, and lets a report from before
// the departure arrive after their restart.
func forgottenDeparture(ctx context.Context, l *lab) (verdict, error) {
	for _, service := range []string{serviceB, serviceB, serviceB, serviceA} {
		l.addMachine("plovdiv-a", service, 108, workOf(290*time.Millisecond))
	}
	if err := l.start(); err != nil {
		return nil, err
	}
	leaving := l.machines[0]
	var group sync.WaitGroup
	var failed error
	var acknowledged, stable time.Time
	group.Go(func() {
		time.Sleep(2 * time.Second)
		if l.trouble {
			l.store.setDown(true)
			l.note("the store is down")
		}
		group.Go(func() {
			time.Sleep(outage)
			l.store.setDown(false)
			stable = time.Now().Add(stableTime)
			l.note("the store serves")
		})
		time.Sleep(300 * time.Millisecond)
		report := leaving.upstream.report("ready") // sent before the departure
		status := leaving.upstream.leave()
		acknowledged = time.Now()
		l.note("upstream %s sent DELETE, answered %d, and serves on", leaving.upstream.id, status)
		if status != http.StatusOK {
			failed = fmt.Errorf("%w: the departure was not acknowledged", errCannotRun)
			return
		}
		group.Go(func() {
			time.Sleep(servesOn)
			leaving.upstream.stop()
			l.note("upstream %s has ended", leaving.upstream.id)
		})
		if !l.trouble {
			return
		}
		time.Sleep(200 * time.Millisecond)
		for _, m := range l.machines {
			m.kill()
		}
		time.Sleep(down)
		for _, m := range l.machines {
			if failed = m.startNode(false); failed != nil {
				return
			}
		}
		time.Sleep(time.Until(acknowledged.Add(2500 * time.Millisecond)))
		l.note("late report %v of %s, answered %d", report, leaving.upstream.id, putReport(leaving.upstream.control, leaving.upstream.id, report))
	})
	served := 0
	var mu sync.Mutex
	every(ctx, 25*time.Millisecond, 22*time.Second, func(i int) {
		c := clientRequest{id: newID(), method: http.MethodPost, host: hostB, path: prefixB + "2f", body: strings.Repeat("x", 4000), budget: 5 * time.Second}
		if r := l.machines[i%len(l.machines)].send(c); r.status == http.StatusOK {
			mu.Lock()
			served++
			mu.Unlock()
		}
	})
	group.Wait()
	if failed != nil {
		return nil, failed
	}
	if served == 0 {
		return nil, fmt.Errorf("%w: nothing was served", errCannotRun)
	}
	runs, _ := l.copies()
	var out verdict
	for _, r := range runs {
		if late := r.at.Sub(acknowledged); r.upstream == leaving.upstream.id && late > drainTime && r.at.After(stable) {
			out = append(out, fmt.Sprintf("DRAIN: request %s ran at %s %v after the acknowledgement that it had left", r.id, r.upstream, late))
		}
	}
	return out, nil
}
