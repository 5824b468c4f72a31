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

	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/standin"
)

// Settings describe one run.
type Settings struct {
	// Program is the file of the sapphiretack command.
	Program string
	Seed    uint64
	// Length is how long clients send, without the time in which nodes start and recover.
	Length time.Duration
	// Clients is the number of clients that send at once.
	Clients int
	// Directory keeps settings and logs; empty for one that is removed unless a promise is broken.
	Directory string
}

// Result is what a run found.
type Result struct {
	Seed       uint64      `json:"seed"`
	Steps      []string    `json:"steps"`
	Sent       int64       `json:"sent"`
	Served     int64       `json:"served"`
	Refused    int64       `json:"refused"`
	Violations []Violation `json:"violations"`
	// Directory has the logs of the nodes if a promise was broken.
	Directory string `json:"directory,omitempty"`
}

const (
	defaultClients = 8
	// startTime bounds the start of all nodes.
	startTime = 20 * time.Second
	// recoveryTime bounds the return to service after the last fault; the users' deployments allow 15 s.
	recoveryTime = 15 * time.Second
	// soundRequests in a row have to succeed for the deployment to count as recovered.
	soundRequests = 40
	// maxAttempts is that of the routes that may be repeated.
	maxAttempts = 2
)

// run is a run in progress.
type run struct {
	settings     Settings
	directory    string
	history      *History
	machines     []*machine
	platform     *standin.Platform
	storeAddress string
	group        errgroup.Group // ends when everything that was started has ended
	over         atomic.Bool

	sent, served, refused atomic.Int64

	mu         sync.Mutex
	violations []Violation
	version    int
}

// Run plays the faults of a seed and checks the promises; an error means that the run itself could not be carried out.
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
	steps := NewPlan(s.Seed, machineCount, s.Length)
	err := r.play(ctx, steps)
	out := Result{Seed: s.Seed, Sent: r.sent.Load(), Served: r.served.Load(), Refused: r.refused.Load()}
	for _, step := range steps {
		out.Steps = append(out.Steps, step.String())
	}
	out.Violations = append(r.violations, r.history.Check(Rules{MaxAttempts: maxAttempts, DrainTime: drainTime})...)
	switch {
	case len(out.Violations) > 0 || err != nil:
		out.Directory = r.directory
	case s.Directory == "":
		err = Error.Wrap(os.RemoveAll(r.directory))
	}
	return out, err
}

// machineCount is two services in two zones with two instances each.
const machineCount = 8

func (r *run) play(ctx context.Context, steps []Step) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stopStore, err := r.startStore()
	if err != nil {
		return err
	}
	defer stopStore()
	r.configure(ctx)
	var startError error
	for i := range machineCount {
		m, err := newMachine(r, i, []string{"read", "order"}[i%2], []string{"a", "b"}[i/2%2])
		if err != nil {
			startError = err
			break
		}
		r.machines = append(r.machines, m)
		if startError = errors.Join(m.startApplication(), m.start()); startError != nil {
			break
		}
		r.group.Go(func() error { m.reportLoop(ctx); return nil })
	}
	if startError == nil {
		r.awaitService(ctx, "start", startTime)
		r.playFaults(ctx, steps)
		r.awaitService(ctx, "recover", recoveryTime)
	}
	r.over.Store(true)
	cancel()
	for _, m := range r.machines {
		m.close()
	}
	return errors.Join(startError, r.group.Wait())
}

func (r *run) isOver() bool { return r.over.Load() }

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

// configure writes the next version of the configuration, until the store has taken it.
func (r *run) configure(ctx context.Context) {
	r.mu.Lock()
	r.version++
	document := standin.ApplicationConfiguration(r.version, clientHost, []standin.ApplicationRoute{
		{Name: "read", Prefix: "/read/", Service: "read", IsRepeatable: true, Priority: 1, MaxAttempts: maxAttempts},
		{Name: "call", Prefix: "/call/", Service: "order", IsRepeatable: true, Priority: 2, MaxAttempts: maxAttempts},
		{Name: "order", Prefix: "/order/", Service: "order", MaxAttempts: 1},
	})
	r.mu.Unlock()
	for ctx.Err() == nil && r.platform.Set(ctx, "op", "config", document) != nil {
		request.Sleep(ctx, reportInterval)
	}
}

// playFaults lets the clients send while the faults happen.
func (r *run) playFaults(ctx context.Context, steps []Step) {
	clients, stopClients := context.WithCancel(ctx)
	defer stopClients()
	var sending, faults errgroup.Group
	for i := range r.settings.Clients {
		sending.Go(func() error { r.client(clients, i); return nil })
	}
	begin := time.Now()
	for _, s := range steps {
		request.Sleep(ctx, s.At-time.Since(begin))
		faults.Go(func() error { return r.inject(ctx, s.Fault) })
	}
	request.Sleep(ctx, r.settings.Length-time.Since(begin))
	if err := faults.Wait(); err != nil {
		r.violate("soak", err.Error())
	}
	stopClients()
	_ = sending.Wait()
}

// inject carries out a fault and mends it; faults of one kind on one machine overlap, and the first that ends mends them all.
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
		var ends []<-chan struct{}
		for _, m := range r.machines {
			ends = append(ends, m.signal(syscall.SIGKILL))
		}
		request.Sleep(ctx, f.Pause)
		for i, m := range r.machines {
			<-ends[i]
			if err := m.start(); err != nil {
				return err
			}
		}
	case Freeze:
		r.machines[f.Machine].freeze(ctx, f.For)
	case Link:
		r.machines[f.Machine].peers.set(f.How)
		request.Sleep(ctx, f.For)
		r.machines[f.Machine].peers.set(LinkSound)
	case StoreLink:
		r.machines[f.Machine].store.set(f.How)
		request.Sleep(ctx, f.For)
		r.machines[f.Machine].store.set(LinkSound)
	case Store:
		r.platform.SetFaults(f.How)
		request.Sleep(ctx, f.For)
		r.platform.SetFaults(standin.PlatformFaults{})
	case Spoil:
		r.machines[f.Machine].spoil(f.How)
		request.Sleep(ctx, f.For)
		r.machines[f.Machine].spoil(standin.ApplicationHealthy)
	case Replace:
		m := r.machines[f.Machine]
		m.endApplication()
		request.Sleep(ctx, f.Pause)
		return m.startApplication()
	case Leave:
		m := r.machines[f.Machine]
		m.leave()
		request.Sleep(ctx, f.For+drainTime)
		m.endApplication()
		return m.startApplication()
	case Configure:
		r.configure(ctx)
	}
	return nil
}

// awaitService waits until requests succeed again at all machines, and notes if that takes too long.
func (r *run) awaitService(ctx context.Context, rule string, limit time.Duration) {
	transport := &http.Transport{DisableCompression: true, DisableKeepAlives: true}
	sound, last := 0, Got{}
	begin := time.Now()
	for i := 0; sound < soundRequests && ctx.Err() == nil; i++ {
		if time.Since(begin) > limit {
			r.violate(rule, fmt.Sprintf("requests do not succeed %v after the last fault: the last got status %d", limit, last.Status))
			return
		}
		s := Sent{ID: fmt.Sprintf("%d-%s-%d", r.settings.Seed, rule, i), Method: http.MethodGet, Path: "/read/probe"}
		r.history.Send(s)
		last = exchange(transport, r.machines[i%len(r.machines)].at(0, outboundPort), s)
		r.history.Get(last)
		if sound++; last.Status != http.StatusOK {
			sound = 0
			request.Sleep(ctx, clientPause)
		}
	}
}

func (r *run) count(g Got) {
	r.sent.Add(1)
	switch g.Status {
	case http.StatusOK:
		r.served.Add(1)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		r.refused.Add(1)
	}
}

func (r *run) violate(rule, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, Violation{rule, detail})
}
