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
	"sync"
	"syscall"
	"time"

	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/standin"
)

// The ports of all machines; each machine has loopback addresses of its own.
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
	// drainTime and stopTime are the bounds that the nodes are told.
	drainTime = 2 * time.Second
	stopTime  = 4 * time.Second
	// stopSlack is added to stopTime before a node counts as stuck; SIGSTOP and a busy machine delay it.
	stopSlack = 4 * time.Second
	// reportInterval is the time between two reports of a backend server.
	reportInterval = 300 * time.Millisecond
	// applicationWork is how long a request works at a backend server.
	applicationWork = 15 * time.Millisecond
	// applicationSlots is the number of requests that a backend server takes at once.
	applicationSlots = 16
)

// machine is a node as a process of its own, the backend server beside it, and the proxies in front of them.
type machine struct {
	run     *run
	index   int
	service string
	zone    string
	peers   *proxy // connections of other nodes to this one
	store   *proxy // connections of this node to the store

	mu       sync.Mutex
	process  *exec.Cmd
	ended    chan struct{}
	expected bool // the process was told to end
	frozen   int

	applicationMu sync.Mutex
	application   *standin.Application
	server        *http.Server
	lifetime      int
	born          time.Time
	sequence      int
	isLeaving     bool
	isGone        bool
}

// Addresses: kind 0 is advertised, 1 is where the node takes attempts, 2 is the backend server, 3 the proxy of the store.
func (r *run) address(kind, machine, port int) string {
	return fmt.Sprintf("%s:%d", r.host(kind, machine), port)
}

func (r *run) host(kind, machine int) string {
	return fmt.Sprintf("127.%d.%d.%d", 64+r.settings.Seed%128, kind, 1+machine)
}

func (m *machine) at(kind, port int) string { return m.run.address(kind, m.index, port) }

func newMachine(r *run, index int, service, zone string) (*machine, error) {
	m := &machine{run: r, index: index, service: service, zone: zone}
	var err error
	if m.peers, err = newProxy(m.at(0, inboundPort), m.at(1, inboundPort)); err != nil {
		return nil, err
	}
	if m.store, err = newProxy(m.at(3, storePort), r.storeAddress); err != nil {
		m.peers.close()
		return nil, err
	}
	return m, nil
}

func (m *machine) instance() string { return fmt.Sprintf("%s-%d-%d", m.service, m.index, m.lifetime) }

// startApplication starts a lifetime of the backend server.
func (m *machine) startApplication() error {
	m.applicationMu.Lock()
	defer m.applicationMu.Unlock()
	if m.server != nil {
		_ = m.server.Close() // ends the lifetime before, if another fault has not
	}
	var l net.Listener
	err := retry(func() (err error) {
		l, err = net.Listen("tcp4", m.at(2, applicationPort))
		return err
	})
	if err != nil {
		return Error.Wrap(err)
	}
	m.lifetime++
	m.born, m.sequence, m.isLeaving, m.isGone = time.Now(), 0, false, false
	m.application = standin.NewApplication(standin.ApplicationSettings{
		Instance: m.instance(), Service: m.service, Slots: applicationSlots, Work: applicationWork, Observe: m.observe(m.instance()),
	})
	m.application.SetOutbound(m.at(0, outboundPort))
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

// observe records what the backend server runs.
func (m *machine) observe(instance string) func(standin.ApplicationRun) {
	return func(a standin.ApplicationRun) {
		m.run.history.Run(Ran{ID: a.ID, Instance: instance, Method: a.Method, Path: a.Target, Body: a.Body, At: time.Now()})
	}
}

func (m *machine) endApplication() {
	m.applicationMu.Lock()
	defer m.applicationMu.Unlock()
	m.isGone = true
	if m.server != nil {
		_ = m.server.Close()
	}
}

func (m *machine) spoil(f standin.ApplicationFault) {
	m.applicationMu.Lock()
	defer m.applicationMu.Unlock()
	m.application.SetFault(f)
}

// leave makes the backend server say that it leaves, until that is acknowledged.
func (m *machine) leave() {
	m.applicationMu.Lock()
	defer m.applicationMu.Unlock()
	m.isLeaving = true
	m.application.Leave()
}

// reportLoop reports the backend server to its node.
func (m *machine) reportLoop(ctx context.Context) {
	for ctx.Err() == nil {
		m.applicationMu.Lock()
		m.sequence++
		report := standin.ApplicationReport{
			Instance: m.instance(), Service: m.service, Address: m.at(2, applicationPort), IsLeaving: m.isLeaving,
			Slots: applicationSlots, Sequence: m.sequence, Born: m.born,
		}
		isGone := m.isGone
		m.applicationMu.Unlock()
		if !isGone && report.Send(ctx, m.at(0, controlPort)) && report.IsLeaving {
			m.run.history.Leave(Left{report.Instance, time.Now()})
		}
		request.Sleep(ctx, reportInterval)
	}
}

// settings returns the settings file of the node.
func (m *machine) settings() string {
	return fmt.Sprintf(`{
  "instance": "machine-%d", "availability_zone": %q, "service": %q, "address": %q, "backend_server": %q, "store": %q,
  "memory_mb": 256, "log_level": "info",
  "listeners": {"outbound": %q, "inbound": %q, "readiness": %q, "control": %q, "gossip_port": %d, "metrics_port": %d},
  "bounds": {"drain_ms": %d, "stop_s": %g, "retry_window_s": 10, "retry_slack": 50}
}
`, m.index, m.zone, m.service, m.run.host(0, m.index), m.at(2, applicationPort), m.at(3, storePort),
		m.at(0, outboundPort), m.at(1, inboundPort), m.at(0, readyPort), m.at(0, controlPort), gossipPort, metricsPort,
		drainTime.Milliseconds(), stopTime.Seconds())
}

// start starts the node, and notes if it ends by itself.
func (m *machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process != nil || m.run.isOver() {
		return nil
	}
	path := filepath.Join(m.run.directory, fmt.Sprintf("machine-%d.json", m.index))
	if err := os.WriteFile(path, []byte(m.settings()), 0o600); err != nil {
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
	ended := make(chan struct{})
	m.process, m.ended, m.expected, m.frozen = process, ended, false, 0
	m.run.group.Go(func() error {
		err := process.Wait()
		m.mu.Lock()
		if !m.expected {
			m.run.violate("exit", fmt.Sprintf("the node of machine %d ended by itself: %v", m.index, err))
		}
		m.process = nil
		m.mu.Unlock()
		close(ended)
		return Error.Wrap(log.Close())
	})
	return nil
}

// signal sends a signal to the node, if it runs, and returns what tells its end.
func (m *machine) signal(s syscall.Signal) <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process == nil {
		ended := make(chan struct{})
		close(ended)
		return ended
	}
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		m.expected = true
	}
	_ = m.process.Process.Signal(s) // it may have ended in this moment
	return m.ended
}

// stop ends the node in a planned way, and notes if it does not end in time.
func (m *machine) stop() {
	ended := m.signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(stopTime + stopSlack):
		if !m.wasFrozen() {
			m.run.violate("stop", fmt.Sprintf("the node of machine %d did not end within %v of SIGTERM", m.index, stopTime+stopSlack))
		}
		m.signal(syscall.SIGCONT)
		<-m.signal(syscall.SIGKILL)
	}
}

func (m *machine) wasFrozen() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.frozen > 0
}

// freeze stops the process for a time.
func (m *machine) freeze(ctx context.Context, d time.Duration) {
	m.mu.Lock()
	m.frozen++
	m.mu.Unlock()
	m.signal(syscall.SIGSTOP)
	request.Sleep(ctx, d)
	m.signal(syscall.SIGCONT)
}

func (m *machine) close() {
	m.signal(syscall.SIGCONT)
	<-m.signal(syscall.SIGKILL)
	m.endApplication()
	m.peers.close()
	m.store.close()
}

// retry tries something until it succeeds, for as long as a port of an earlier process may be taken.
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
