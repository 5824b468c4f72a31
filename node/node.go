package node

import (
	"context"
	"math/rand/v2"
	"net"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/zeebo/errs"
	oteltrace "go.opentelemetry.io/otel/trace"
	"golang.org/x/sync/errgroup"

	"github.com/sapphiretack/sapphiretack/budget"
	"github.com/sapphiretack/sapphiretack/configuration"
	"github.com/sapphiretack/sapphiretack/member"
	"github.com/sapphiretack/sapphiretack/quarantine"
	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/route"
	"github.com/sapphiretack/sapphiretack/session"
	"github.com/sapphiretack/sapphiretack/settings"
	"github.com/sapphiretack/sapphiretack/store"
	"github.com/sapphiretack/sapphiretack/template"
	"github.com/sapphiretack/sapphiretack/trace"
)

// Error is the class of errors of the node.
var Error = errs.Class("node")

// maxOpenRequests bounds the requests of callers that one node holds; at 8 KiB each they take half of the 256 MB.
const maxOpenRequests = 16 << 10

// Dependencies are what a node needs from outside.
type Dependencies struct {
	Settings settings.Settings
	Log      zerolog.Logger
	Table    store.Table
	Spans    *trace.Provider
	// Listen opens a listener; nil means net.Listen.
	Listen func(network, address string) (net.Listener, error)
}

// Node is the process beside one backend server.
type Node struct {
	settings    settings.Settings
	log         zerolog.Logger
	tracer      oteltrace.Tracer
	clock       clock
	incarnation request.Incarnation
	backendURL  *url.URL
	address     string // advertised peer address
	listenOn    func(network, address string) (net.Listener, error)

	table       store.Table
	store       *configuration.Store
	replica     *configuration.Replica
	metrics     *nodeMetrics
	peers       *peers
	security    *security
	workers     *workers
	executions  *executions
	sources     *sources
	rates       *rates
	routes      *routes
	ratio       *ratio
	sessions    *sessions
	claims      *claims
	crashes     *crashes
	members     *members
	poller      *poller
	destination *destination

	requestsMu sync.Mutex
	requests   *budget.Requests

	randomMu sync.Mutex
	random   *rand.Rand

	attempts atomic.Uint64
	open     atomic.Int64 // requests of callers
	isLeft   atomic.Bool  // set when the departure begins
	joined   atomic.Bool  // set when the configuration is known
	// introduced is set when the first exchange with the seeds had time to end; the start rule counts the peers from then on.
	introduced atomic.Bool
	inFlight   errgroup.Group
}

// New returns a node that has not started; the error names the setting to correct.
func New(d Dependencies) (*Node, error) {
	backendURL, err := url.Parse(d.Settings.Backend.URL)
	if err != nil {
		return nil, Error.New("backend URL %q: %v; correct backend.url", d.Settings.Backend.URL, err)
	}
	security, err := newSecurity(d.Settings.TLS)
	if err != nil {
		return nil, err
	}
	start := time.Now()
	random := request.NewRandom()
	i := d.Settings.Instance
	n := &Node{
		settings:    d.Settings,
		log:         d.Log.With().Str("instance", string(i.Name)).Str("service", string(i.Service)).Str("zone", string(i.Zone)).Logger(),
		tracer:      d.Spans.Tracer(),
		clock:       clock{start: start},
		incarnation: request.NewIncarnation(start, random),
		backendURL:  backendURL,
		address:     d.Settings.Listeners.AdvertisedPeer.String(),
		listenOn:    d.Listen,
		table:       d.Table,
		store:       configuration.New(d.Table),
		replica:     configuration.NewReplica(),
		metrics:     newNodeMetrics(),
		peers:       newPeers(),
		security:    security,
		workers:     newWorkers(),
		executions:  newExecutions(),
		sources:     newSources(),
		rates:       newRates(),
		requests:    budget.NewRequests(budget.DefaultSettings),
		random:      random,
		ratio:       &ratio{},
	}
	if n.listenOn == nil {
		n.listenOn = net.Listen
	}
	routing := route.DefaultSettings(i.Name, i.Zone, i.Region)
	routing.Connections = d.Settings.Backend.Connections
	n.routes = &routes{table: route.New(routing, request.NewRandom()), limiting: map[operationKey]request.ServiceID{}}
	n.sessions = &sessions{
		table: session.New(session.Settings{
			Instance:         i.Name,
			Incarnation:      n.incarnation,
			TicketsPerCaller: d.Settings.Limits.Tickets,
		}, request.NewRandom()),
		answers: map[session.Effect]*answer{},
	}
	n.claims = &claims{
		node:    n,
		table:   d.Table,
		machine: session.NewClaims(session.ClaimSettings{Instance: i.Name, Incarnation: n.incarnation}, request.NewRandom()),
		waiting: map[session.Waiter]chan session.ResolveClaim{},
	}
	n.crashes = &crashes{table: quarantine.New(quarantine.DefaultSettings())}
	n.members = &members{
		node:     n,
		replaced: make(chan struct{}),
		machine:  member.New(n.self(), member.DefaultSettings(), request.NewRandom()),
		waiting:  map[member.Exchange]chan member.Message{},
	}
	n.poller = &poller{
		node:    n,
		wake:    make(chan struct{}, 1),
		machine: configuration.NewPoller(configuration.PollSettings{Instance: i.Name, Zone: i.Zone}, n.clock.now(), request.NewRandom()),
	}
	if security.peer != nil {
		n.peers.credentials = n.peerCredentials
	}
	n.destination = newDestination(n)
	return n, nil
}

func (n *Node) self() member.Member {
	i := n.settings.Instance
	return member.Member{
		Instance:    i.Name,
		Service:     i.Service,
		Zone:        i.Zone,
		Region:      i.Region,
		Address:     n.address,
		Incarnation: n.incarnation,
		Slots:       uint32(n.settings.Backend.Slots),
	}
}

// nextAttempt returns an attempt ID that no other node and no other incarnation uses.
func (n *Node) nextAttempt() request.AttemptID {
	return request.AttemptID{Source: n.incarnation, Number: n.attempts.Add(1)}
}

func (n *Node) newRequestID() request.ID {
	n.randomMu.Lock()
	defer n.randomMu.Unlock()
	return request.NewID(n.random)
}

// retryDelay spreads the resends of callers that were refused at the same time over one to two control intervals.
func (n *Node) retryDelay() time.Duration {
	n.randomMu.Lock()
	defer n.randomMu.Unlock()
	return retryBase + time.Duration(n.random.Int64N(int64(retryBase)))
}

// retryBase is the control interval of the destinations, after which a level may differ.
const retryBase = 250 * time.Millisecond

// policy returns what the customer's template says of an operation.
func (n *Node) policy(c request.CustomerID, s request.ServiceID, op request.Operation) (template.Policy, request.Reason) {
	p, err := n.replica.Policy(c, s, op)
	switch err {
	case nil:
		return p, request.NoReason
	case configuration.NoOperation:
		return p, request.Malformed
	}
	return p, request.CustomerUnknown
}

func (n *Node) leaving() bool { return n.isLeft.Load() }

// enter counts a request of a caller, unless the bound is reached.
func (n *Node) enter() bool {
	if n.open.Add(1) > maxOpenRequests {
		n.open.Add(-1)
		return false
	}
	return true
}

func (n *Node) exit() { n.open.Add(-1) }

// SetLogLevel implements operator.Logger.
func (n *Node) SetLogLevel(level zerolog.Level) { zerolog.SetGlobalLevel(level) }

// withTimeout runs work against the platform within its timeout.
func (n *Node) withTimeout(ctx context.Context, work func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, n.settings.Platform.Timeout)
	defer cancel()
	return work(ctx)
}
