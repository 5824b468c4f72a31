package mesh

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"github.com/rs/zerolog"
	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"github.com/sapphiretack/sapphiretack/budget"
	"github.com/sapphiretack/sapphiretack/fleet"
	"github.com/sapphiretack/sapphiretack/ingress"
	"github.com/sapphiretack/sapphiretack/metric"
	"github.com/sapphiretack/sapphiretack/placement"
	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/routing"
	"github.com/sapphiretack/sapphiretack/tree"
)

// Error is the class of errors of the node.
var Error = errs.Class("mesh")

// HistoryLost means that the store no longer has the changes after the cursor.
var HistoryLost = errs.Class("history lost")

const (
	// retryShare is the number of successes that earn a retry. The allowance of a deployment is one retry for five requests
	// at each service; a tree of depth five adds up the retries of its levels.
	retryShare = 25
	// headerTimeout bounds the headers of other nodes and of the deployment's own calls.
	headerTimeout = 2 * time.Second
	// idleTimeout closes connections between nodes that nobody uses.
	idleTimeout = 60 * time.Second
	// startWait is how long a start waits for the addresses of other nodes before it reports readiness.
	startWait = time.Second
)

// Dependencies are what a node needs from outside.
type Dependencies struct {
	Settings  Settings
	Dialect   Dialect
	Directory Directory
	Log       zerolog.Logger
	// Control and Ready make the handlers of the deployment's own calls.
	Control func(*Node) http.Handler
	Ready   func(*Node) http.Handler
	// Reload tells of changed settings.
	Reload <-chan Settings
}

// Node is the process beside one backend server.
type Node struct {
	settings    Settings
	dialect     Dialect
	directory   Directory
	log         zerolog.Logger
	control     func(*Node) http.Handler
	ready       func(*Node) http.Handler
	reload      <-chan Settings
	start       time.Time
	incarnation request.Incarnation

	configuration routing.Holder
	encoded       atomic.Pointer[[]byte] // the configuration in force, as the store keeps it
	shares        *routing.Shares
	runs          *tree.Runs
	rates         *rates
	metrics       *metrics
	origin        atomic.Pointer[request.ServiceID]

	planMu  sync.Mutex
	planner *placement.Planner
	costs   *tree.Costs
	random  *rand.Rand

	fleetMu   sync.Mutex
	fleet     *fleet.Table
	gossip    *net.UDPConn
	fetching  atomic.Bool
	introduce atomic.Bool // the addresses of other nodes were read

	backend *backend
	round   tickState
	fetches errgroup.Group

	ratioMu sync.Mutex
	ratio   *budget.Ratio

	peers   *http.Transport
	ingress *ingress.Server
	isStop  atomic.Bool
}

// New returns a node that has not started.
func New(d Dependencies) *Node {
	start := time.Now()
	random := request.NewRandom()
	s := d.Settings
	n := &Node{
		settings: s, dialect: d.Dialect, log: d.Log, control: d.Control, ready: d.Ready, reload: d.Reload,
		start:       start,
		incarnation: request.NewIncarnation(start, random),
		shares:      routing.NewShares(),
		runs:        tree.NewRuns(),
		rates:       newRates(),
		metrics:     newMetrics(),
		planner:     placement.New(placement.DefaultSettings(), s.Zone, random),
		costs:       tree.NewCosts(),
		random:      random,
		fleet:       fleet.New(fleet.DefaultSettings(), fleet.Address{Address: s.Address, Zone: s.Zone}, request.NewRandom()),
		ratio:       budget.NewRatio(budget.RatioSettings{SuccessesPerRetry: retryShare, Floor: 1, FloorInterval: s.RetryWindow}),
		peers:       newPeerTransport(),
	}
	n.directory = countedDirectory{d.Directory, n.metrics}
	n.origin.Store(&s.Service)
	n.backend = newBackend(n)
	n.ingress = ingress.New(ingress.Settings{Handler: n, Limits: n.clientLimits, Log: d.Log})
	return n
}

func (n *Node) now() request.Instant { return request.Instant(time.Since(n.start)) }

// defaultLimits hold until the first configuration is known.
var defaultLimits = ingress.Limits{
	HeaderBytes: 16 << 10, BodyBytes: 64 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second,
}

func (n *Node) clientLimits() ingress.Limits {
	c := n.configuration.Load()
	if c == nil {
		return defaultLimits
	}
	return ingress.Limits(c.Limits)
}

// IsReady reports whether clients may send their requests here.
func (n *Node) IsReady() bool {
	return !n.isStop.Load() && n.configuration.Load() != nil && (n.introduce.Load() || time.Since(n.start) > startWait)
}

// Run serves until the context ends, then finishes what is in flight; an error means that a listener could not be opened.
func (n *Node) Run(ctx context.Context) error {
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	var group run.Group
	if err := n.addListeners(&group); err != nil {
		return err
	}
	for _, loop := range []func(context.Context) error{
		n.tickLoop, n.receiveLoop, n.watchLoop, n.registerLoop, n.costLoop, n.backend.probeLoop, n.reloadLoop,
	} {
		group.Add(func() error { return loop(work) }, func(error) { stopWork() })
	}
	stopped, cancel := context.WithCancel(ctx)
	group.Add(func() error {
		<-stopped.Done()
		n.drain()
		return nil
	}, func(error) { cancel() })
	n.log.Info().Str("event", "start").Str("zone", string(n.settings.Zone)).Str("service", string(n.settings.Service)).
		Uint64("incarnation", uint64(n.incarnation)).Msg("node started")
	err := group.Run()
	n.peers.CloseIdleConnections()
	n.log.Info().Str("event", "stop").Err(err).Msg("node stopped")
	return err
}

func (n *Node) addListeners(group *run.Group) error {
	outbound, err := listen(n.settings.Outbound)
	if err != nil {
		return err
	}
	group.Add(func() error { return n.ingress.Serve(outbound) }, func(error) { n.ingress.Close() })
	for _, s := range []struct {
		address netip.AddrPort
		handler http.Handler
	}{
		{n.settings.Inbound, http.HandlerFunc(n.serveAttempt)},
		{n.settings.Readiness, n.ready(n)},
		{n.settings.Control, n.control(n)},
		{n.settings.Metrics, metric.Handler(n.metrics.registry)},
	} {
		if !s.address.IsValid() {
			continue
		}
		l, err := listen(s.address)
		if err != nil {
			return err
		}
		server := &http.Server{Handler: s.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
		group.Add(func() error {
			if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				return Error.Wrap(err)
			}
			return nil
		}, func(error) { _ = server.Close() })
	}
	gossip, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(n.settings.Gossip))
	if err != nil {
		return Error.New("gossip address %v: %v; choose a free port", n.settings.Gossip, err)
	}
	n.gossip = gossip
	return nil
}

func listen(a netip.AddrPort) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive}
	l, err := config.Listen(context.Background(), "tcp4", a.String())
	if err != nil {
		return nil, Error.New("address %v: %v; choose a free port", a, err)
	}
	return l, nil
}

// reloadLoop applies changed settings; only the service and the backend server may change while the node runs.
func (n *Node) reloadLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case s := <-n.reload:
			n.origin.Store(&s.Service)
			n.backend.move(s.Backend)
			n.log.Info().Str("event", "reload").Str("service", string(s.Service)).Str("backend", s.Backend.String()).Msg("settings reloaded")
		}
	}
}
