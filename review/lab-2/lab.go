package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// maxRunTime ends a case that hangs; a script may run for 120 s.
const maxRunTime = 110 * time.Second

// errCannotRun is wrapped by errors after which a case says nothing of the rule.
var errCannotRun = errors.New("the case cannot run")

// lab is one small deployment on loopback addresses: nodes as processes, and stand-ins for the rest.
type lab struct {
	dir      string
	record   *os.File
	begun    time.Time
	trouble  bool
	network  string // first three bytes of the addresses
	port     uint16 // first of the ports, the same on all machines
	template string

	store     *store
	storeHTTP *http.Server
	group     sync.WaitGroup
	machines  []*machine

	mu       sync.Mutex
	runs     []run
	arrivals map[string][]time.Time
	spans    map[string][]span
}

// span is when an upstream would have ended its work on a request, and when it ended it.
type span struct{ due, end time.Time }

// machine is a node with its upstream.
type machine struct {
	lab      *lab
	index    int
	zone     string
	service  string
	upstream *upstream
	process  *exec.Cmd
	done     chan struct{}
}

// The offsets of the ports of a machine.
const (
	portOutbound = iota
	portInbound
	portReady
	portControl
	portGossip
	portMetrics
	portApplication
	portStore
	portCount
)

func (m *machine) ip() netip.Addr {
	return netip.MustParseAddr(fmt.Sprintf("%s.%d", m.lab.network, m.index+1))
}

func (m *machine) at(offset uint16) netip.AddrPort {
	return netip.AddrPortFrom(m.ip(), m.lab.port+offset)
}

func (l *lab) storeAddress() netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr(l.network+".250"), l.port+portStore)
}

// newLab prepares a deployment; recordPath is where the record is written.
func newLab(recordPath string, trouble bool) (*lab, error) {
	template, err := os.ReadFile("deploy/settings.json")
	if err != nil {
		return nil, fmt.Errorf("%w: %v; run it in the repository root", errCannotRun, err)
	}
	dir, err := os.MkdirTemp("", "review-lab-2-")
	if err != nil {
		return nil, fmt.Errorf("%w: %v", errCannotRun, err)
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", errCannotRun, err)
	}
	l := &lab{
		dir: dir, record: record, begun: time.Now(), trouble: trouble, template: string(template), store: newStore(),
		arrivals: map[string][]time.Time{}, spans: map[string][]span{},
	}
	if err := l.findPorts(); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp4", l.storeAddress().String())
	if err != nil {
		return nil, fmt.Errorf("%w: %v", errCannotRun, err)
	}
	l.storeHTTP = &http.Server{Handler: l.store, ReadHeaderTimeout: 5 * time.Second}
	l.group.Go(func() {
		_ = l.storeHTTP.Serve(listener) // ends with the lab
	})
	return l, nil
}

// findPorts chooses a loopback network and ports that nobody uses.
func (l *lab) findPorts() error {
	for range 50 {
		l.network = fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), 1+rand.IntN(250))
		l.port = uint16(20000 + 10*rand.IntN(1000))
		if l.areFree() {
			return nil
		}
	}
	return fmt.Errorf("%w: no free ports", errCannotRun)
}

func (l *lab) areFree() bool {
	for host := range 8 {
		for port := range uint16(portCount) {
			a := fmt.Sprintf("%s.%d:%d", l.network, host+1, l.port+port)
			listener, err := net.Listen("tcp4", a)
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

// note writes a line to the record.
func (l *lab) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%8.3f "+format+"\n", append([]any{time.Since(l.begun).Seconds()}, args...)...)
}

// ran records that an upstream began to work on a request.
func (l *lab) ran(r run) {
	l.note("ran      %s %s %s%s at %s (%s), caller %s", r.id, r.method, r.host, r.path, r.upstream, r.service, r.caller)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
}

// arrived records that a whole request has reached an upstream.
func (l *lab) arrived(id string, u *upstream) {
	l.note("arrived  %s at %s (%s)", id, u.id, u.service)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals[id] = append(l.arrivals[id], time.Now())
}

// broken records that the connection of a running request was closed.
func (l *lab) broken(id string, u *upstream) {
	l.note("dropped  %s at %s: its connection closed while it ran", id, u.id)
}

// ended records the end of the work on a request that was due at the given time.
func (l *lab) ended(id string, due time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.spans[id] = append(l.spans[id], span{due, time.Now()})
}

// copies returns what has run and arrived so far.
func (l *lab) copies() ([]run, map[string][]time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	arrivals := make(map[string][]time.Time, len(l.arrivals))
	for id, times := range l.arrivals {
		arrivals[id] = append([]time.Time(nil), times...)
	}
	return append([]run(nil), l.runs...), arrivals
}

// addMachine adds a machine whose upstream has the given slots and work.
func (l *lab) addMachine(zone, service string, slots int, work func() time.Duration) *machine {
	m := &machine{lab: l, index: len(l.machines), zone: zone, service: service}
	m.upstream = &upstream{
		id: fmt.Sprintf("i-%08x", rand.Uint32()), service: service, zone: zone, address: m.at(portApplication), control: m.at(portControl),
		slots: slots, work: work, lab: l,
	}
	l.machines = append(l.machines, m)
	return m
}

// settings renders deploy/settings.json as the platform does.
func (m *machine) settings(isFirstStart bool) string {
	text := m.lab.template
	for name, shown := range map[string]bool{"#": isFirstStart, "^": !isFirstStart} {
		open := "{{" + name + "bootstrap}}"
		before, rest, _ := strings.Cut(text, open)
		inner, after, _ := strings.Cut(rest, "{{/bootstrap}}")
		if !shown {
			inner = ""
		}
		text = before + inner + after
	}
	return strings.NewReplacer(
		"{{node}}", fmt.Sprintf("sidecar-%s-%d", m.zone, m.index+1), "{{zone}}", m.zone, "{{service}}", m.service, "{{ip}}", m.ip().String(),
		"{{app_addr}}", m.at(portApplication).String(), "{{platform.address}}", m.lab.storeAddress().String(), "{{limits.memory_mb}}", "284",
		"{{listen.outbound}}", m.at(portOutbound).String(), "{{listen.inbound}}", m.at(portInbound).String(),
		"{{listen.ready}}", m.at(portReady).String(), "{{listen.control}}", m.at(portControl).String(),
		"{{port_range.0}}", fmt.Sprint(m.lab.port+portGossip), "{{port_range.1}}", fmt.Sprint(m.lab.port+portMetrics),
		"{{bounds.drain_ms}}", "2000", "{{bounds.grace_s}}", "6", "{{bounds.budget_window_s}}", "10", "{{bounds.budget_slack}}", "48",
	).Replace(text)
}

// startNode starts the node of a machine with the command of deploy/system.toml.
func (m *machine) startNode(isFirstStart bool) error {
	path := filepath.Join(m.lab.dir, fmt.Sprintf("node-%d.json", m.index+1))
	if err := os.WriteFile(path, []byte(m.settings(isFirstStart)), 0o600); err != nil {
		return fmt.Errorf("%w: %v", errCannotRun, err)
	}
	output, err := os.OpenFile(filepath.Join(m.lab.dir, fmt.Sprintf("node-%d.log", m.index+1)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("%w: %v", errCannotRun, err)
	}
	defer output.Close()
	c := exec.Command("target/sapphiretack", "mesh")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SAPPHIRETACK_BOOT=" + path}
	c.Stdout, c.Stderr = output, output
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return fmt.Errorf("%w: %v", errCannotRun, err)
	}
	done := make(chan struct{})
	m.process, m.done = c, done
	m.lab.group.Go(func() {
		_ = c.Wait() // most nodes end by a signal
		close(done)
	})
	m.lab.note("node %d (%s, %s) started, process %d", m.index+1, m.zone, m.service, c.Process.Pid)
	return nil
}

// signal sends a signal to the node.
func (m *machine) signal(s syscall.Signal) {
	m.lab.note("signal %v to node %d", s, m.index+1)
	_ = m.process.Process.Signal(s)
}

// kill ends the node at once and waits for its end.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	<-m.done
}

// isReady asks the node whether it is ready, as the platform does each second.
func (m *machine) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + m.at(portReady).String() + "/-/readiness")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all nodes are ready.
func (l *lab) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, m := range l.machines {
			if m.isReady() {
				ready++
			}
		}
		if ready == len(l.machines) {
			l.note("all nodes are ready")
			return nil
		}
	}
	return fmt.Errorf("%w: the nodes were not ready after %v", errCannotRun, limit)
}

// startAll starts all nodes for the first time, and their upstreams.
func (l *lab) startAll() error {
	for _, m := range l.machines {
		if err := m.startNode(true); err != nil {
			return err
		}
	}
	for _, m := range l.machines {
		if err := m.upstream.start(); err != nil {
			return fmt.Errorf("%w: %v", errCannotRun, err)
		}
	}
	return nil
}

// end stops all processes and stand-ins.
func (l *lab) end() {
	for _, m := range l.machines {
		if m.process != nil {
			_ = m.process.Process.Kill()
		}
		if m.upstream.server != nil {
			m.upstream.stop()
		}
	}
	_ = l.storeHTTP.Close()
	l.group.Wait()
	_ = l.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.dir)
	} else {
		fmt.Println("logs are in", l.dir)
	}
}

// route is a route of the operator's config.
type route struct {
	name, host, prefix, kind, service string
	timeoutMs, targetMs, priority     int
}

// putConfig writes a config as the operator does.
func (l *lab) putConfig(version int, routes []route, services []string) error {
	routeRows, serviceRows := [][]any{}, [][]any{}
	for _, r := range routes {
		routeRows = append(routeRows, []any{r.name, r.host, r.prefix, r.kind, r.timeoutMs, r.targetMs, r.priority, nil, 2, r.service})
	}
	for _, s := range services {
		serviceRows = append(serviceRows, []any{s, healthPath, 748, "h1", false})
	}
	data, err := json.Marshal(map[string]any{
		"version": version,
		"routes": map[string]any{
			"columns": []string{"name", "host", "prefix", "kind", "timeout_ms", "target_latency_ms", "priority", "split", "max_attempts", "service"},
			"rows":    routeRows,
		},
		"services": map[string]any{"columns": []string{"name", "health_path", "max_connections", "protocol", "tls"}, "rows": serviceRows},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err != nil {
		return fmt.Errorf("%w: %v", errCannotRun, err)
	}
	l.store.put("op", "config", data)
	l.note("operator wrote config %d", version)
	return nil
}

// clientRequest is one attempt of a client.
type clientRequest struct {
	id, method, host, path string
	body                   string
	budget                 time.Duration
	leaveAfter             time.Duration // when the client closes its connection, or 0 if it stays
}

// newID returns an id for a request.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// reply is what a client has got: status 0 if its connection ended without a whole response.
type reply struct {
	status int
	seal   string
	id     string
	body   string
	left   time.Time // when the client closed its connection, if it left
}

// send sends a request on a connection of its own and returns what comes back.
func (m *machine) send(c clientRequest) reply {
	l := m.lab
	l.note("sent     %s %s %s%s with %d bytes to node %d", c.id, c.method, c.host, c.path, len(c.body), m.index+1)
	conn, err := net.DialTimeout("tcp4", m.at(portOutbound).String(), time.Second)
	if err != nil {
		l.note("answered %s: no connection: %v", c.id, err)
		return reply{}
	}
	defer conn.Close()
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", c.method, c.path, c.host, c.id, c.budget.Milliseconds())
	if c.body != "" || c.method == http.MethodPost {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(c.body))
	}
	_ = conn.SetDeadline(time.Now().Add(c.budget + time.Second))
	if _, err := io.WriteString(conn, text+"\r\n"+c.body); err != nil {
		l.note("answered %s: cannot send: %v", c.id, err)
		return reply{}
	}
	if c.leaveAfter > 0 {
		_ = conn.SetReadDeadline(time.Now().Add(c.leaveAfter))
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: c.method})
	if err != nil {
		var timeout net.Error
		if c.leaveAfter > 0 && errors.As(err, &timeout) && timeout.Timeout() {
			_ = conn.Close()
			left := time.Now()
			l.note("left     %s: its client closed the connection", c.id)
			return reply{left: left}
		}
		l.note("answered %s: the connection ended: %v", c.id, err)
		return reply{}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		l.note("answered %s: %d, but the body broke off: %v", c.id, response.StatusCode, err)
		return reply{}
	}
	out := reply{status: response.StatusCode, seal: response.Header.Get("X-Response-Seal"), id: response.Header.Get("X-Request-Id"), body: string(body)}
	l.note("answered %s: %d, seal %q", c.id, out.status, out.seal)
	return out
}

// every calls f each interval until the time is over; the calls run at the same time.
func every(ctx context.Context, interval, limit time.Duration, f func(i int)) {
	var group sync.WaitGroup
	begun := time.Now()
	for i := 0; time.Since(begun) < limit && ctx.Err() == nil; i++ {
		group.Go(func() { f(i) })
		time.Sleep(max(0, time.Until(begun.Add(time.Duration(i+1)*interval))))
	}
	group.Wait()
}
