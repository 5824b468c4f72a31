package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"sync"
	"time"
)

// upstream is one lifetime of a backend server.
type upstream struct {
	lab                  *lab
	id, service, address string // address is the one that it reports
	control              string
	born                 int64
	work                 time.Duration
	slots, queue         int
	version              string

	server *http.Server

	mu      sync.Mutex
	running chan struct{}
	waiting int
	state   string // "ready", "draining" or "gone"
	seq     int
	runs    []runRecord
	acked   time.Time // when the first report that it leaves was acknowledged
	stop    context.CancelFunc
}

// runRecord is a request that an upstream ran.
type runRecord struct {
	at                                                        time.Time
	id, method, target, host, caller, service, upstream, body string
}

func (l *lab) newUpstream(id, service string, n *node, slots, queue int, work time.Duration) *upstream {
	return &upstream{
		lab: l, id: id, service: service, address: n.app(), control: n.control(), born: time.Now().UnixMilli(), work: work,
		slots: slots, queue: queue, running: make(chan struct{}, slots), state: "ready", version: "v1",
	}
}

// listen serves requests at an address, which may be behind a proxy.
func (u *upstream) listen(address string) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	u.server = &http.Server{Handler: u, IdleTimeout: 10 * time.Second, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = u.server.Serve(listener) }()
	u.lab.note("upstream %s of %s starts at %s, born %d", u.id, u.service, address, u.born)
	return nil
}

// end ends the process of the upstream: all of its connections and its reports.
func (u *upstream) end() {
	u.lab.note("upstream %s of %s ends", u.id, u.service)
	u.stopReports()
	_ = u.server.Close()
}

func (u *upstream) stopReports() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.stop != nil {
		u.stop()
	}
}

// ServeHTTP implements http.Handler.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	id := r.Header.Get("X-Request-Id")
	h.Set("X-Request-Id", id)
	h.Set("X-Instance-Id", u.id)
	h.Set("Keep-Alive", "timeout=10")
	if r.URL.Path == "/health" && id == "" {
		u.mu.Lock()
		isReady := u.state == "ready"
		u.mu.Unlock()
		h.Set("X-Server-Load", fmt.Sprintf("%d,0,%d", len(u.running), u.slots))
		if !isReady {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	refuse := func(status int) {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(status)
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != u.id {
		u.lab.note("upstream %s: 421 for %s, which expects %s", u.id, id, expected)
		refuse(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		refuse(http.StatusBadRequest)
		return
	}
	body, _ := io.ReadAll(r.Body)
	budget, _ := strconv.Atoi(r.Header.Get("X-Deadline-Ms"))
	deadline := time.Now().Add(time.Duration(budget) * time.Millisecond)
	u.mu.Lock()
	if u.waiting >= u.queue {
		u.mu.Unlock()
		refuse(http.StatusServiceUnavailable)
		return
	}
	u.waiting++
	u.mu.Unlock()
	leave := func() {
		u.mu.Lock()
		u.waiting--
		u.mu.Unlock()
	}
	select {
	case u.running <- struct{}{}:
		leave()
	case <-r.Context().Done():
		leave()
		return
	case <-time.After(time.Until(deadline)):
		leave()
		refuse(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-u.running }()
	record := runRecord{time.Now(), id, r.Method, r.RequestURI, r.Host, r.Header.Get("X-Caller-Service"), u.service, u.id, string(body)}
	u.mu.Lock()
	u.runs = append(u.runs, record)
	u.mu.Unlock()
	u.lab.note("RUN %s %s %s host %s body of %d bytes at %s of %s, expects %q, caller %s", id, r.Method, r.RequestURI, r.Host, len(body), u.id, u.service,
		r.Header.Get("X-Expect-Instance"), record.caller)
	select {
	case <-time.After(min(u.workOf(r.URL.Path), time.Until(deadline))):
	case <-r.Context().Done():
		return
	}
	h.Set("X-Response-Seal", "seal."+u.id+"."+id)
	h.Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", len(u.running), u.waiting, u.slots))
	if time.Now().After(deadline) {
		w.WriteHeader(http.StatusGatewayTimeout)
	}
	_, _ = io.WriteString(w, "answer to "+id+"\n")
}

var workInPath = regexp.MustCompile(`/w(\d+)/`)

// workOf returns the time that a request takes, which its path may name in milliseconds.
func (u *upstream) workOf(path string) time.Duration {
	if m := workInPath.FindStringSubmatch(path); m != nil {
		ms, _ := strconv.Atoi(m[1])
		return time.Duration(ms) * time.Millisecond
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.work
}

// setWork changes the time that requests take.
func (u *upstream) setWork(d time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.work = d
}

// ran returns the requests that the upstream ran.
func (u *upstream) ran() []runRecord {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]runRecord(nil), u.runs...)
}

// report is the body of a liveness report.
func (u *upstream) report(state string) []byte {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.seq++
	cold := 0
	data, _ := json.Marshal(map[string]any{
		"service": u.service, "address": u.address, "zone": "palermo", "version": u.version, "slots": u.slots, "state": state,
		"cold_ms": cold, "seq": u.seq, "born": u.born,
	})
	return data
}

// send delivers a liveness report, or a DELETE without a body, and returns whether it was acknowledged.
func (u *upstream) send(method string, body []byte) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+u.control+"/-/instances/"+u.id, bytes.NewReader(body))
	if err != nil {
		return false
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		u.lab.note("%s %s %s -> %v", method, u.id, body, err)
		return false
	}
	_ = response.Body.Close()
	u.lab.note("%s %s %s -> %d", method, u.id, body, response.StatusCode)
	return response.StatusCode/100 == 2
}

// reportEvery sends liveness reports until stopReports.
func (u *upstream) reportEvery(interval time.Duration) {
	ctx, cancel := context.WithCancel(context.Background())
	u.mu.Lock()
	u.stop = cancel
	u.mu.Unlock()
	go func() {
		for ctx.Err() == nil {
			u.mu.Lock()
			state := u.state
			u.mu.Unlock()
			if u.send(http.MethodPut, u.report(state)) && state != "ready" {
				u.noteAck()
			}
			select {
			case <-time.After(interval):
			case <-ctx.Done():
			}
		}
	}()
}

func (u *upstream) noteAck() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.acked.IsZero() {
		u.acked = time.Now()
	}
}

func (u *upstream) setState(s string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.state = s
}
