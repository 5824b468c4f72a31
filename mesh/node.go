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
	"github.com/sapphiretack/sapphiretack/exchange"
	"github.com/sapphiretack/sapphiretack/fleet"
	"github.com/sapphiretack/sapphiretack/ingress"
	"github.com/sapphiretack/sapphiretack/metric"
	"github.com/sapphiretack/sapphiretack/placement"
	"github.com/sapphiretack/sapphiretack/quarantine"
	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/routing"
	"github.com/sapphiretack/sapphiretack/tree"
)

// Error is the class of errors that this package returns.
var Error = errs.Class("mesh")

// HistoryLost is the class of errors for a watch cursor whose later changes the store has already discarded, or that is of an earlier era.
var HistoryLost = errs.Class("history lost")

const (
	// successesPerRetry is the number of successful requests that earn one retry. A deployment allows one retry per five
	// requests at each service; up to two windows of earned retries can meet in one window.
	successesPerRetry = 25
	// headerTimeout bounds reading the request headers of other nodes, and whole control, readiness and metrics calls.
	headerTimeout = 2 * time.Second
	// maxCallHeaderBytes is the maximum size in bytes of the request headers of control, readiness and metrics calls, and
	// maxAttemptHeaderBytes that of attempts, which have the headers of clients and those of nodes.
	maxCallHeaderBytes, maxAttemptHeaderBytes = 16 << 10, 128 << 10
	// idleTimeout closes unused connections between nodes.
	idleTimeout = 60 * time.Second
)

// Dependencies are the settings and collaborators of a Node.
type Dependencies struct {
	Settings    Settings
	HeaderCodec HeaderCodec
	Store       Store
	Log         zerolog.Logger
	// ControlHandler and ReadinessHandler return the handlers of the control and readiness listeners.
	ControlHandler   func(*Node) http.Handler
	ReadinessHandler func(*Node) http.Handler
	// Reload delivers changed settings.
	Reload <-chan Settings
	// ReadSettings reads the current settings, which may have changed before Reload delivers them.
	ReadSettings func() (Settings, error)
}

// Node routes the requests of one machine and runs attempts on its backend server.
type Node struct {
	settings    Settings
	headers     HeaderCodec
	store       Store
	log         zerolog.Logger
	control     func(*Node) http.Handler
	ready       func(*Node) http.Handler
	reload      <-chan Settings
	read        func() (Settings, error)
	start       time.Time
	incarnation request.Incarnation

	configuration        routing.Holder
	encodedConfiguration atomic.Pointer[[]byte] // the current configuration in the encoding of the store
	splitter             *routing.Splitter
	executions           *tree.Executions
	rates                *rateMeter
	metrics              *metrics
	service              atomic.Pointer[request.ServiceID]

	plannerMu sync.Mutex
	planner   *placement.Planner
	costs     *tree.Costs
	// hasLostCosts is set when the store may have lost costs that were written to it.
	hasLostCosts atomic.Bool
	rng          *rand.Rand

	fleetMu    sync.Mutex
	fleet      *fleet.Table
	gossipConn *net.UDPConn
	isFetching atomic.Bool
	readiness  readiness

	backend              *backend
	ticks                tickState
	configurationFetches errgroup.Group

	retryBudgetMu sync.Mutex
	retryBudget   *budget.Limiter

	crashMu sync.Mutex
	crashes *quarantine.CrashLog
	// peerLosses has the attempts of this node that other nodes did not survive.
	peerLosses quarantine.PeerLosses
	// unstored are the requests whose crashes are to be written to the store.
	unstored map[request.Fingerprint]struct{}
	// crashObserved wakes crashLoop, and crashUnstored wakes crashStoreLoop.
	crashObserved, crashUnstored chan struct{}
	// departureUnstored wakes departureLoop.
	departureUnstored chan struct{}

	peerTransport *exchange.Transport
	ingress       *ingress.Server
	isStopping    atomic.Bool
	// aborted ends when the requests in flight are abandoned, because the stop time is nearly over.
	aborted context.Context
	abort   context.CancelFunc
}

// New returns a node; Run starts it.
func New(d Dependencies) *Node {
	start := time.Now()
	rng := request.NewRandom()
	s := d.Settings
	n := &Node{
		settings: s, headers: d.HeaderCodec, log: d.Log, control: d.ControlHandler, ready: d.ReadinessHandler, reload: d.Reload, read: d.ReadSettings,
		start:       start,
		incarnation: request.NewIncarnation(start, rng),
		splitter:    routing.NewSplitter(),
		executions:  tree.NewExecutions(),
		rates:       newRateMeter(),
		metrics:     newMetrics(),
		planner:     placement.New(placement.DefaultSettings(), s.Zone, rng),
		costs:       tree.NewCosts(),
		rng:         rng,
		fleet:       fleet.New(fleet.DefaultSettings(), fleet.Endpoint{Address: s.Address, Zone: s.Zone}, request.NewRandom()),
		retryBudget: budget.NewLimiter(budget.LimiterSettings{
			SuccessesPerRetry: successesPerRetry, MinRetries: 1, RefillInterval: s.RetryWindow, SuccessWindow: s.RetryWindow,
		}),
		crashes:           quarantine.NewCrashLog(quarantine.DefaultCrashLogSettings()),
		unstored:          map[request.Fingerprint]struct{}{},
		crashObserved:     make(chan struct{}, 1),
		crashUnstored:     make(chan struct{}, 1),
		departureUnstored: make(chan struct{}, 1),
		peerTransport:     newPeerTransport(),
	}
	n.store = instrumentedStore{d.Store, n.metrics}
	n.service.Store(&s.Service)
	n.aborted, n.abort = context.WithCancel(context.Background())
	n.backend = newBackend(n)
	n.ingress = ingress.New(ingress.Settings{Handler: n, Limits: n.clientLimits, Log: d.Log})
	return n
}

func (n *Node) now() request.Instant { return request.Instant(time.Since(n.start)) }

// defaultLimits apply until the first configuration is known.
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

// IsReady reports whether the node accepts client requests.
func (n *Node) IsReady() bool {
	return !n.isStopping.Load() && n.readiness.check(time.Since(n.start), n.configuration.Version())
}

// Run serves until the context is cancelled, then drains requests in flight; it returns an error if a listener cannot be
// opened or fails.
func (n *Node) Run(ctx context.Context) error {
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	var group run.Group
	if err := n.addListeners(&group); err != nil {
		return err
	}
	for _, loop := range []func(context.Context) error{
		n.tickLoop, n.receiveLoop, n.watchLoop, n.registerLoop, n.costLoop, n.backend.healthCheckLoop, n.reloadLoop, n.crashLoop, n.crashStoreLoop,
		n.restoreLoop, n.departureLoop,
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
	n.peerTransport.CloseIdleConnections()
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
		address        netip.AddrPort
		handler        http.Handler
		maxHeaderBytes int
		readTimeout    time.Duration // 0 if bodies may take as long as their requests
	}{
		{n.settings.Inbound, http.HandlerFunc(n.serveAttempt), maxAttemptHeaderBytes, 0},
		{n.settings.Readiness, n.ready(n), maxCallHeaderBytes, headerTimeout},
		{n.settings.Control, n.control(n), maxCallHeaderBytes, headerTimeout},
		{n.settings.Metrics, metric.Handler(n.metrics.registry), maxCallHeaderBytes, headerTimeout},
	} {
		if !s.address.IsValid() {
			continue
		}
		l, err := listen(s.address)
		if err != nil {
			return err
		}
		server := &http.Server{
			Handler: s.handler, ReadHeaderTimeout: headerTimeout, ReadTimeout: s.readTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: s.maxHeaderBytes,
		}
		group.Add(func() error {
			if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				return Error.Wrap(err)
			}
			return nil
		}, func(error) { _ = server.Close() })
	}
	gossip, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(n.settings.Gossip))
	if err != nil {
		return Error.New("listen on gossip address %v: %v; choose an address that is not in use", n.settings.Gossip, err)
	}
	n.gossipConn = gossip
	return nil
}

func listen(a netip.AddrPort) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive}
	l, err := config.Listen(context.Background(), "tcp4", a.String())
	if err != nil {
		return nil, Error.New("listen on address %v: %v; choose an address that is not in use", a, err)
	}
	return l, nil
}

// reloadLoop applies changed settings. Only the service and the address of the backend server can change without a restart.
func (n *Node) reloadLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case s := <-n.reload:
			n.applySettings(s)
		}
	}
}

// applySettings applies the service and the address of the backend server.
func (n *Node) applySettings(s Settings) {
	n.backend.setService(s.Service, s.Backend)
	n.log.Info().Str("event", "reload").Str("service", string(s.Service)).Str("backend", s.Backend.String()).Msg("settings reloaded")
}

// rereadSettings applies settings that have changed but were not delivered yet.
func (n *Node) rereadSettings() {
	s, err := n.read()
	if err != nil {
		n.log.Error().Str("event", "reload_failed").Err(err).Msg("cannot read the settings for a report of another service; keeping the previous settings")
		return
	}
	if s.Service != *n.service.Load() {
		n.applySettings(s)
	}
}
