package soak

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/sapphiretack/sapphiretack/exchange"
	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/standin"
)

// Settings describe one run.
type Settings struct {
	// Program is the path of the sapphiretack executable.
	Program string
	// Seed determines the faults and the requests.
	Seed uint64
	// Duration is how long clients send; nodes need additional time to start and to recover.
	Duration time.Duration
	// Clients is the number of concurrent clients; 0 selects a default.
	Clients int
	// Directory receives settings files and logs; if empty, a temporary directory is used and removed unless a check fails.
	Directory string
}

// Result is the outcome of a run. Sent counts the requests of the clients, Served those with status 200, and Refused those with
// status 429 or 503.
type Result struct {
	Seed       uint64      `json:"seed"`
	Steps      []string    `json:"steps"`
	Sent       int64       `json:"sent"`
	Served     int64       `json:"served"`
	Refused    int64       `json:"refused"`
	Violations []Violation `json:"violations"`
	// Directory contains the logs of the nodes if a check failed.
	Directory string `json:"directory,omitempty"`
}

const (
	defaultClients = 8
	// startTimeout is the limit on the time until all nodes serve requests.
	startTimeout = 20 * time.Second
	// recoveryTimeout is the limit on the time until all nodes serve again after the last fault; users' deployments allow 15 s.
	recoveryTimeout = 15 * time.Second
	// configurationTimeout is the limit on the time until all nodes have the latest configuration after they serve again.
	configurationTimeout = 2 * time.Second
	// requiredSuccesses is the number of consecutive successes after which the deployment counts as recovered.
	requiredSuccesses = 40
	// maxAttempts is the attempt limit of the routes whose requests may be retried.
	maxAttempts = 2
)

// run is the state of one run.
type run struct {
	settings     Settings
	directory    string
	history      *History
	machines     []*machine
	platform     *standin.Platform
	storeAddress string
	group        errgroup.Group // waits for nodes, backend servers and report loops
	stopping     atomic.Bool

	sent, served, refused atomic.Int64

	mu         sync.Mutex
	violations []Violation

	operatorMu sync.Mutex // held while the operator writes
	version    int
	document   []byte // the latest configuration that the store has acknowledged
}

// Run injects the faults of a seed and reports the violated guarantees; an error means that the run itself failed.
func Run(ctx context.Context, s Settings) (Result, error) {
	if s.Clients == 0 {
		s.Clients = defaultClients
	}
	r := &run{settings: s, directory: s.Directory, history: NewHistory(), platform: standin.NewPlatform()}
	if r.directory == "" {
		var err error
		if r.directory, err = os.MkdirTemp("", "sapphiretack-soak-"); err != nil {
			return Result{}, Error.Wrap(err)
		}
	}
	steps := NewPlan(s.Seed, machineCount, s.Duration)
	err := r.execute(ctx, steps)
	out := Result{Seed: s.Seed, Sent: r.sent.Load(), Served: r.served.Load(), Refused: r.refused.Load()}
	for _, step := range steps {
		out.Steps = append(out.Steps, step.String())
	}
	out.Violations = append(r.violations, r.history.Check(Guarantees{MaxAttempts: maxAttempts, DrainTime: drainTimeout})...)
	switch {
	case len(out.Violations) > 0 || err != nil:
		out.Directory = r.directory
	case s.Directory == "":
		err = Error.Wrap(os.RemoveAll(r.directory))
	}
	return out, err
}

// machineCount allows for two services in two availability zones with two instances each.
const machineCount = 8

func (r *run) execute(ctx context.Context, steps []Step) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stopStore, err := r.startStore()
	if err != nil {
		return err
	}
	defer stopStore()
	r.configure(ctx)
	var startErr error
	for i := range machineCount {
		m, err := newMachine(r, i, []string{"read", "order"}[i%2], []string{"a", "b"}[i/2%2])
		if err != nil {
			startErr = err
			break
		}
		r.machines = append(r.machines, m)
		if startErr = errors.Join(m.startApplication(), m.start()); startErr != nil {
			break
		}
		r.group.Go(func() error { m.reportLoop(ctx); return nil })
	}
	if startErr == nil {
		r.awaitService(ctx, "start", startTimeout)
		r.injectFaults(ctx, steps)
		r.awaitService(ctx, "recover", recoveryTimeout)
		r.awaitConfiguration(ctx)
	}
	r.stopping.Store(true)
	cancel()
	for _, m := range r.machines {
		m.close()
	}
	return errors.Join(startErr, r.group.Wait())
}

func (r *run) isStopping() bool { return r.stopping.Load() }

func (r *run) startStore() (stop func(), err error) {
	r.storeAddress = r.address(4, 0, storePort)
	l, err := net.Listen("tcp4", r.storeAddress)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	server := &http.Server{Handler: r.platform.Handler(), ReadHeaderTimeout: time.Second}
	var group errgroup.Group
	group.Go(func() error { return server.Serve(l) })
	return func() { _ = server.Close(); _ = group.Wait() }, nil
}

// configure writes the next version of the configuration to the store, and tries again until that succeeds. Each version has a route of its
// own.
func (r *run) configure(ctx context.Context) {
	r.operatorMu.Lock()
	defer r.operatorMu.Unlock()
	r.version++
	r.document = standin.ApplicationConfiguration(r.version, clientHost, []standin.ApplicationRoute{
		{Name: "read", Prefix: "/read/", Service: "read", IsIdempotent: true, Priority: 1, MaxAttempts: maxAttempts},
		{Name: "call", Prefix: "/call/", Service: "order", IsIdempotent: true, Priority: 2, MaxAttempts: maxAttempts},
		{Name: "order", Prefix: "/order/", Service: "order", MaxAttempts: 1},
		{Name: fmt.Sprint("version", r.version), Prefix: versionPrefix(r.version), Service: "read", IsIdempotent: true, MaxAttempts: maxAttempts},
	})
	r.writeConfiguration(ctx)
}

func versionPrefix(version int) string { return fmt.Sprintf("/version%d/", version) }

// writeConfiguration writes the latest configuration. The caller holds r.operatorMu.
func (r *run) writeConfiguration(ctx context.Context) {
	for ctx.Err() == nil && r.platform.WriteRow(ctx, "op", "config", r.document) != nil {
		request.Sleep(ctx, reportInterval)
	}
}

// restoreStore lets the store come back from a copy of its present state.
func (r *run) restoreStore(ctx context.Context, f Restore) {
	r.platform.SaveCopy()
	request.Sleep(ctx, f.Age)
	r.platform.SetFaults(standin.PlatformFaults{Down: true})
	request.Sleep(ctx, f.Away)
	r.platform.Restore()
	r.platform.SetFaults(standin.PlatformFaults{})
	r.operatorMu.Lock()
	defer r.operatorMu.Unlock()
	r.writeConfiguration(ctx)
}

// injectFaults runs the clients and injects the faults meanwhile.
func (r *run) injectFaults(ctx context.Context, steps []Step) {
	clientCtx, stopClients := context.WithCancel(ctx)
	defer stopClients()
	var clientGroup, faultGroup errgroup.Group
	for i := range r.settings.Clients {
		clientGroup.Go(func() error { r.client(clientCtx, i); return nil })
	}
	start := time.Now()
	for _, s := range steps {
		request.Sleep(ctx, s.At-time.Since(start))
		faultGroup.Go(func() error { return r.inject(ctx, s.Fault) })
	}
	request.Sleep(ctx, r.settings.Duration-time.Since(start))
	if err := faultGroup.Wait(); err != nil {
		r.addViolation("soak", err.Error())
	}
	stopClients()
	_ = clientGroup.Wait()
}

// inject applies a fault and later reverts it. Faults of one kind on one machine may overlap; the first to end reverts them all.
func (r *run) inject(ctx context.Context, f Fault) error {
	switch f := f.(type) {
	case Stop:
		m := r.machines[f.Machine]
		m.stop()
		return m.start()
	case Kill:
		m := r.machines[f.Machine]
		<-m.signal(syscall.SIGKILL)
		request.Sleep(ctx, f.Pause)
		return m.start()
	case KillAll:
		var exits []<-chan struct{}
		for _, m := range r.machines {
			exits = append(exits, m.signal(syscall.SIGKILL))
		}
		request.Sleep(ctx, f.Pause)
		for i, m := range r.machines {
			<-exits[i]
			if err := m.start(); err != nil {
				return err
			}
		}
	case Freeze:
		r.machines[f.Machine].freeze(ctx, f.For)
	case Link:
		r.machines[f.Machine].peerProxy.setFault(f.How)
		request.Sleep(ctx, f.For)
		r.machines[f.Machine].peerProxy.setFault(LinkHealthy)
	case StoreLink:
		r.machines[f.Machine].storeProxy.setFault(f.How)
		request.Sleep(ctx, f.For)
		r.machines[f.Machine].storeProxy.setFault(LinkHealthy)
	case Store:
		r.platform.SetFaults(f.How)
		request.Sleep(ctx, f.For)
		r.platform.SetFaults(standin.PlatformFaults{})
	case Spoil:
		r.machines[f.Machine].setApplicationFault(f.How)
		request.Sleep(ctx, f.For)
		r.machines[f.Machine].setApplicationFault(standin.ApplicationHealthy)
	case Replace:
		m := r.machines[f.Machine]
		m.stopApplication()
		request.Sleep(ctx, f.Pause)
		return m.startApplication()
	case Leave:
		m := r.machines[f.Machine]
		m.drainApplication()
		request.Sleep(ctx, f.For+drainTimeout)
		m.stopApplication()
		return m.startApplication()
	case Configure:
		r.configure(ctx)
	case Restore:
		r.restoreStore(ctx, f)
	case Limit:
		r.machines[f.Machine].limitApplication(ctx, f)
	case CrashRequest:
		r.sendCrashRequests(ctx, f)
	}
	return nil
}

// awaitService waits until requiredSuccesses consecutive requests, sent to the machines in turn, succeed; it records a violation
// of the rule if that takes longer than limit.
func (r *run) awaitService(ctx context.Context, rule string, limit time.Duration) {
	transport := exchange.New(&http.Transport{DisableCompression: true, DisableKeepAlives: true})
	successes, last := 0, Outcome{}
	start := time.Now()
	for i := 0; successes < requiredSuccesses && ctx.Err() == nil; i++ {
		if time.Since(start) > limit {
			r.addViolation(rule, fmt.Sprintf("requests still fail after %v; the last one got status %d", limit, last.Status))
			return
		}
		sent := Request{ID: fmt.Sprintf("%d-%s-%d", r.settings.Seed, rule, i), Method: http.MethodGet, Path: "/read/probe"}
		r.history.AddRequest(sent)
		last = sendRequest(transport, r.machines[i%len(r.machines)].address(0, outboundPort), sent)
		r.history.AddOutcome(last)
		if successes++; last.Status != http.StatusOK {
			successes = 0
			request.Sleep(ctx, clientPause)
		}
	}
}

// awaitConfiguration waits until the route of the latest version is served by each machine; it records a violation if that takes longer than
// configurationTimeout.
func (r *run) awaitConfiguration(ctx context.Context) {
	transport := exchange.New(&http.Transport{DisableCompression: true, DisableKeepAlives: true})
	start := time.Now()
	for i := 0; i < len(r.machines) && ctx.Err() == nil; request.Sleep(ctx, clientPause) {
		sent := Request{ID: fmt.Sprintf("%d-version-%d-%v", r.settings.Seed, i, time.Since(start)), Method: http.MethodGet, Path: versionPrefix(r.version) + "probe"}
		r.history.AddRequest(sent)
		got := sendRequest(transport, r.machines[i].address(0, outboundPort), sent)
		r.history.AddOutcome(got)
		switch {
		case got.Status == http.StatusOK:
			i++
		case time.Since(start) > configurationTimeout:
			r.addViolation("config", fmt.Sprintf("machine %d does not serve version %d after %v; status %d", i, r.version, configurationTimeout, got.Status))
			i++
		}
	}
}

func (r *run) countOutcome(o Outcome) {
	r.sent.Add(1)
	switch o.Status {
	case http.StatusOK:
		r.served.Add(1)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		r.refused.Add(1)
	}
}

func (r *run) addViolation(rule, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, Violation{rule, detail})
}
