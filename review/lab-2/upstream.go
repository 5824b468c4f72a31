package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// heartbeat is the time between liveness reports of an upstream.
	heartbeat = 1500 * time.Millisecond
	// reportTimeout is how long an upstream waits for the answer to a report.
	reportTimeout = time.Second
	// healthPath is the path of the liveness check of all services.
	healthPath = "/health"
)

// run is a request that an upstream began to work on.
type run struct {
	id, method, host, path, caller string
	upstream, service              string
	at                             time.Time
}

// upstream is a stand-in of an application server beside a node.
type upstream struct {
	id, service, zone string
	address           netip.AddrPort
	control           netip.AddrPort
	slots             int
	born              time.Time
	work              func() time.Duration
	lab               *lab

	seq     atomic.Int64
	running atomic.Int64
	waiting atomic.Int64
	free    chan struct{}
	server  *http.Server
	isGone  atomic.Bool // whether it has ended its registration; it still serves
	stopped chan struct{}
	once    sync.Once
}

// start begins to serve and to report.
func (u *upstream) start() error {
	l, err := net.Listen("tcp4", u.address.String())
	if err != nil {
		return err
	}
	u.born = time.Now()
	u.free, u.stopped = make(chan struct{}, u.slots), make(chan struct{})
	u.server = &http.Server{Handler: u, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 10 * time.Second}
	u.lab.group.Go(func() {
		_ = u.server.Serve(l) // ends with the upstream
	})
	u.lab.group.Go(func() {
		for {
			if !u.isGone.Load() {
				u.beat("ready")
			}
			select {
			case <-u.stopped:
				return
			case <-time.After(heartbeat):
			}
		}
	})
	return nil
}

// stop ends the upstream without notice.
func (u *upstream) stop() {
	u.once.Do(func() {
		close(u.stopped)
		_ = u.server.Close()
	})
}

// report is the body of a liveness report with all fields of the protocol.
func (u *upstream) report(state string) map[string]any {
	return map[string]any{
		"service": u.service, "address": u.address.String(), "zone": u.zone, "version": "v1", "slots": u.slots, "state": state,
		"cold_ms": 0, "seq": u.seq.Add(1), "born": u.born.UnixMilli(),
	}
}

func (u *upstream) beat(state string) {
	status := putReport(u.control, u.id, u.report(state))
	if status != http.StatusOK {
		u.lab.note("report of %s (%s) answered %d", u.id, u.service, status)
	}
}

// putReport sends a liveness report and returns the status of the answer, or 0 if there is none within reportTimeout.
func putReport(control netip.AddrPort, id string, body map[string]any) int {
	data, err := json.Marshal(body)
	if err != nil {
		return 0
	}
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+control.String()+"/-/instances/"+id, bytes.NewReader(data))
	if err != nil {
		return 0
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// leave ends the registration of the upstream, which goes on serving, and returns the status of the answer, or 0 if there is none in time.
func (u *upstream) leave() int {
	u.isGone.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+u.control.String()+"/-/instances/"+u.id, nil)
	if err != nil {
		return 0
	}
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// notRun answers that the request has not run.
func (u *upstream) notRun(w http.ResponseWriter, status int) {
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(status)
}

// ServeHTTP implements http.Handler.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("X-Instance-Id", u.id)
	h.Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", u.running.Load(), u.waiting.Load(), u.slots))
	if r.URL.Path == healthPath {
		if u.isGone.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("X-Request-Id")
	if id != "" {
		h.Set("X-Request-Id", id)
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != u.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		u.notRun(w, http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the connection broke before the request was whole
	}
	u.lab.arrived(id, u)
	if u.waiting.Add(1) > int64(2*u.slots) {
		u.waiting.Add(-1)
		u.notRun(w, http.StatusServiceUnavailable)
		return
	}
	select {
	case u.free <- struct{}{}:
		u.waiting.Add(-1)
	case <-r.Context().Done():
		u.waiting.Add(-1)
		return
	}
	u.running.Add(1)
	defer func() {
		u.running.Add(-1)
		<-u.free
	}()
	u.lab.ran(run{
		id: id, method: r.Method, host: r.Host, path: r.URL.RequestURI(), caller: r.Header.Get("X-Caller-Service"),
		upstream: u.id, service: u.service, at: time.Now(),
	})
	begun, work := time.Now(), u.work()
	defer func() { u.lab.ended(id, begun.Add(work)) }()
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		u.lab.broken(id, u)
		return
	case <-u.stopped:
		return
	}
	h.Set("X-Response-Seal", "seal."+id+"."+u.id)
	_, _ = fmt.Fprintf(w, "%s ran %s with %d bytes\n", u.id, id, len(body))
}
