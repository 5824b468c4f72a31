package soak

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/standin"
)

// The ports of each machine; machines differ in their loopback addresses.
const (
	outboundPort = 23000 + iota
	inboundPort
	readyPort
	controlPort
	gossipPort
	metricsPort
	applicationPort
	storePort
)

const (
	// drainTimeout and stopTimeout are the limits in the settings of the nodes.
	drainTimeout = 2 * time.Second
	stopTimeout  = 4 * time.Second
	// stopMargin is added to stopTimeout before a node counts as stuck, since SIGSTOP and a busy machine delay its exit.
	stopMargin = 4 * time.Second
	// reportInterval is the interval of the reports of a backend server, and of attempts to write the configuration.
	reportInterval = 300 * time.Millisecond
	// applicationServiceTime is the service time of a request at a backend server.
	applicationServiceTime = 15 * time.Millisecond
	// applicationSlots is the number of concurrent requests that a backend server reports as its capacity.
	applicationSlots = 16
)

// machine is a node that runs as a separate process, its backend server, and the proxies for the links of the node.
type machine struct {
	run        *run
	index      int
	service    string
	zone       string
	peerProxy  *proxy // connections from other nodes to this one
	storeProxy *proxy // connections from this node to the store

	mu           sync.Mutex
	process      *exec.Cmd
	exited       chan struct{}
	exitExpected bool // the process was sent SIGTERM or SIGKILL
	freezeCount  int

	applicationMu sync.Mutex
	application   *standin.Application
	server        *http.Server
	incarnation   int
	startTime     time.Time
	sequence      int
	isDraining    bool
	isStopped     bool
	limit         *RateLimit // the rate limit that the backend server names, or nil
}

// address returns a host and port. Kind 0 is the advertised address, 1 is where the node listens for attempts, 2 is the backend
// server, 3 is the proxy in front of the store, and 4 is the store.
func (r *run) address(kind, machine, port int) string {
	return fmt.Sprintf("%s:%d", r.host(kind, machine), port)
}

func (r *run) host(kind, machine int) string {
	return fmt.Sprintf("127.%d.%d.%d", 64+r.settings.Seed%128, kind, 1+machine)
}

func (m *machine) address(kind, port int) string { return m.run.address(kind, m.index, port) }

func newMachine(r *run, index int, service, zone string) (*machine, error) {
	m := &machine{run: r, index: index, service: service, zone: zone}
	var err error
	if m.peerProxy, err = newProxy(m.address(0, inboundPort), m.address(1, inboundPort)); err != nil {
		return nil, err
	}
	if m.storeProxy, err = newProxy(m.address(3, storePort), r.storeAddress); err != nil {
		m.peerProxy.close()
		return nil, err
	}
	return m, nil
}

func (m *machine) instance() string {
	return fmt.Sprintf("%s-%d-%d", m.service, m.index, m.incarnation)
}

// startApplication starts a new incarnation of the backend server.
func (m *machine) startApplication() error {
	m.applicationMu.Lock()
	defer m.applicationMu.Unlock()
	if m.server != nil {
		_ = m.server.Close() // stops the previous incarnation if no overlapping fault has done so
	}
	var l net.Listener
	err := retry(func() (err error) {
		l, err = net.Listen("tcp4", m.address(2, applicationPort))
		return err
	})
	if err != nil {
		return Error.Wrap(err)
	}
	m.incarnation++
	m.startTime, m.sequence, m.isDraining, m.isStopped = time.Now(), 0, false, false
	m.application = standin.NewApplication(standin.ApplicationSettings{
		Instance: m.instance(), Service: m.service, Slots: applicationSlots, ServiceTime: applicationServiceTime, Observe: m.observe(m.instance()),
		Crash: func(a standin.ApplicationRun) bool {
			return !strings.HasPrefix(a.Target, crashWithinPrefix) && m.crash(a)
		},
		CrashWithin: m.crash,
	})
	m.application.SetOutbound(m.address(0, outboundPort))
	server := &http.Server{Handler: m.application, ReadHeaderTimeout: time.Second}
	m.server = server
	m.run.group.Go(func() error {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return Error.Wrap(err)
		}
		return nil
	})
	return nil
}

// observe returns a function that adds the executions of an incarnation of the backend server to the history.
func (m *machine) observe(instance string) func(standin.ApplicationRun) {
	return func(a standin.ApplicationRun) {
		m.run.history.AddExecution(Execution{ID: a.ID, Instance: instance, Method: a.Method, Path: a.Target, Body: a.Body, At: time.Now()})
	}
}

func (m *machine) stopApplication() {
	m.applicationMu.Lock()
	defer m.applicationMu.Unlock()
	m.isStopped = true
	if m.server != nil {
		_ = m.server.Close()
	}
}

func (m *machine) setApplicationFault(f standin.ApplicationFault) {
	m.applicationMu.Lock()
	defer m.applicationMu.Unlock()
	m.application.SetFault(f)
}

// crashPause is the time for which a backend server is down after a crash.
const crashPause = 300 * time.Millisecond

// crash ends the backend server if the request crashes it, and starts the next incarnation after a pause.
func (m *machine) crash(a standin.ApplicationRun) bool {
	if !isCrashPath(a.Target) {
		return false
	}
	m.applicationMu.Lock()
	crashed := m.incarnation
	m.applicationMu.Unlock()
	m.stopApplication()
	m.run.group.Go(func() error {
		time.Sleep(crashPause)
		m.applicationMu.Lock()
		isCurrent := m.incarnation == crashed
		m.applicationMu.Unlock()
		if m.run.isStopping() || !isCurrent {
			return nil
		}
		return m.startApplication()
	})
	return true
}

// limitApplication makes the backend server name a rate limit for a time, or until it is to name another one.
func (m *machine) limitApplication(ctx context.Context, f Limit) {
	m.applicationMu.Lock()
	m.endLimit()
	l := &RateLimit{Instance: m.instance(), PerSecond: f.PerSecond, Begin: time.Now()}
	m.limit = l
	m.application.Announce(http.Header{standin.ApplicationLimitHeader: {fmt.Sprintf("%.1f", f.PerSecond)}})
	m.applicationMu.Unlock()
	request.Sleep(ctx, f.For)
	m.applicationMu.Lock()
	defer m.applicationMu.Unlock()
	if m.limit == l {
		m.application.Announce(nil)
		m.endLimit()
	}
}

// endLimit records the end of the rate limit that the backend server names, if there is one. The caller holds m.applicationMu.
func (m *machine) endLimit() {
	if m.limit != nil {
		m.limit.End = time.Now()
		m.run.history.AddRateLimit(*m.limit)
		m.limit = nil
	}
}

// drainApplication makes the reports and health checks of the backend server say that it drains.
func (m *machine) drainApplication() {
	m.applicationMu.Lock()
	defer m.applicationMu.Unlock()
	m.isDraining = true
	m.application.Drain()
}

// reportLoop sends the reports of the backend server to its node.
func (m *machine) reportLoop(ctx context.Context) {
	for ctx.Err() == nil {
		m.applicationMu.Lock()
		m.sequence++
		report := standin.ApplicationReport{
			Instance: m.instance(), Service: m.service, Address: m.address(2, applicationPort), IsDraining: m.isDraining,
			Slots: applicationSlots, Sequence: m.sequence, StartTime: m.startTime,
		}
		isStopped := m.isStopped
		m.applicationMu.Unlock()
		if !isStopped && report.Send(ctx, m.address(0, controlPort)) && report.IsDraining {
			m.run.history.AddDeparture(Departure{report.Instance, time.Now()})
		}
		request.Sleep(ctx, reportInterval)
	}
}

// settingsFile returns the contents of the settings file of the node.
func (m *machine) settingsFile() string {
	return fmt.Sprintf(`{
  "instance": "machine-%d", "availability_zone": %q, "service": %q, "address": %q, "backend_server": %q, "store": %q,
  "memory_mb": 256, "log_level": "info",
  "listeners": {"outbound": %q, "inbound": %q, "readiness": %q, "control": %q, "gossip_port": %d, "metrics_port": %d},
  "bounds": {"drain_ms": %d, "stop_s": %g, "retry_window_s": 10, "retry_slack": 50}
}
`, m.index, m.zone, m.service, m.run.host(0, m.index), m.address(2, applicationPort), m.address(3, storePort),
		m.address(0, outboundPort), m.address(1, inboundPort), m.address(0, readyPort), m.address(0, controlPort), gossipPort, metricsPort,
		drainTimeout.Milliseconds(), stopTimeout.Seconds())
}

// start starts the node and records a violation if it exits without a signal from the soak test.
func (m *machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process != nil || m.run.isStopping() {
		return nil
	}
	path := filepath.Join(m.run.directory, fmt.Sprintf("machine-%d.json", m.index))
	if err := os.WriteFile(path, []byte(m.settingsFile()), 0o600); err != nil {
		return Error.Wrap(err)
	}
	log, err := os.OpenFile(filepath.Join(m.run.directory, fmt.Sprintf("machine-%d.log", m.index)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return Error.Wrap(err)
	}
	process := exec.Command(m.run.settings.Program, "mesh", "--settings", path)
	process.Stdout, process.Stderr = log, log
	if err := process.Start(); err != nil {
		return Error.Wrap(errors.Join(err, log.Close()))
	}
	exited := make(chan struct{})
	m.process, m.exited, m.exitExpected, m.freezeCount = process, exited, false, 0
	m.run.group.Go(func() error {
		err := process.Wait()
		m.mu.Lock()
		if !m.exitExpected {
			m.run.addViolation("exit", fmt.Sprintf("the node of machine %d exited unexpectedly: %v", m.index, err))
		}
		m.process = nil
		m.mu.Unlock()
		close(exited)
		return Error.Wrap(log.Close())
	})
	return nil
}

// signal sends a signal to the node if it runs, and returns a channel that is closed when the process has exited.
func (m *machine) signal(s syscall.Signal) <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process == nil {
		exited := make(chan struct{})
		close(exited)
		return exited
	}
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		m.exitExpected = true
	}
	_ = m.process.Process.Signal(s) // fails if the process has just exited
	return m.exited
}

// stop shuts the node down gracefully and kills it if it does not exit in time, which is a violation unless it was frozen.
func (m *machine) stop() {
	exited := m.signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(stopTimeout + stopMargin):
		if !m.wasFrozen() {
			m.run.addViolation("stop", fmt.Sprintf("the node of machine %d did not exit within %v of SIGTERM", m.index, stopTimeout+stopMargin))
		}
		m.signal(syscall.SIGCONT)
		<-m.signal(syscall.SIGKILL)
	}
}

func (m *machine) wasFrozen() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.freezeCount > 0
}

// freeze suspends the process for the given time.
func (m *machine) freeze(ctx context.Context, d time.Duration) {
	m.mu.Lock()
	m.freezeCount++
	m.mu.Unlock()
	m.signal(syscall.SIGSTOP)
	request.Sleep(ctx, d)
	m.signal(syscall.SIGCONT)
}

func (m *machine) close() {
	m.signal(syscall.SIGCONT)
	<-m.signal(syscall.SIGKILL)
	m.stopApplication()
	m.peerProxy.close()
	m.storeProxy.close()
}

// retry calls f until it succeeds, for up to 2 s, since the port may still be held by the previous listener.
func retry(f func() error) error {
	var err error
	for range 100 {
		if err = f(); err == nil {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return err
}
