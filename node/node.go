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

// maxOpenRequests is the maximum number of caller requests in flight at one node; at 8 KiB each they use half of the 256 MB
// that a node may use.
const maxOpenRequests = 16 << 10

// Dependencies are the settings of a node and the services that it uses.
type Dependencies struct {
	Settings      settings.Settings
	Log           zerolog.Logger
	Table         store.Table
	TraceProvider *trace.Provider
	// Listen opens a listener; nil means net.Listen.
	Listen func(network, address string) (net.Listener, error)
}

// Node is the process that runs beside one backend server.
type Node struct {
	settings    settings.Settings
	log         zerolog.Logger
	tracer      oteltrace.Tracer
	clock       clock
	incarnation request.Incarnation
	backendURL  *url.URL
	address     string // advertised peer address
	listenFunc  func(network, address string) (net.Listener, error)

	table          store.Table
	store          *configuration.Store
	replica        *configuration.Replica
	metrics        *metricSet
	peers          *peers
	tlsCredentials *tlsCredentials
	workers        *workerPool
	executions     *executions
	sources        *sources
	rates          *customerRates
	routes         *routes
	retryLimiter   *retryLimiter
	sessions       *sessions
	claims         *claims
	quarantines    *quarantines
	membership     *membership
	poller         *poller
	destination    *destination

	retryBudgetsMu sync.Mutex
	retryBudgets   *budget.Requests

	randomMu sync.Mutex
	random   *rand.Rand

	lastAttempt      atomic.Uint64
	openRequests     atomic.Int64 // requests of callers in flight
	isLeaving        atomic.Bool  // set when the drain begins
	hasConfiguration atomic.Bool  // set when the first configuration has been received
	// seedsContacted is set joinDelay after the first messages to the seeds. Only from then on the poller gets the members:
	// with an earlier list it could become ready without asking zone peers that had not responded yet.
	seedsContacted atomic.Bool
	inFlight       errgroup.Group
}

// New returns a node that has not been started; an error names the setting to correct.
func New(d Dependencies) (*Node, error) {
	backendURL, err := url.Parse(d.Settings.Backend.URL)
	if err != nil {
		return nil, Error.New("backend URL %q: %v; correct backend.url", d.Settings.Backend.URL, err)
	}
	credentials, err := newTLSCredentials(d.Settings.TLS)
	if err != nil {
		return nil, err
	}
	start := time.Now()
	random := request.NewRandom()
	i := d.Settings.Instance
	n := &Node{
		settings:       d.Settings,
		log:            d.Log.With().Str("instance", string(i.Name)).Str("service", string(i.Service)).Str("zone", string(i.Zone)).Logger(),
		tracer:         d.TraceProvider.Tracer(),
		clock:          clock{start: start},
		incarnation:    request.NewIncarnation(start, random),
		backendURL:     backendURL,
		address:        d.Settings.Listeners.AdvertisedPeer.String(),
		listenFunc:     d.Listen,
		table:          d.Table,
		store:          configuration.New(d.Table),
		replica:        configuration.NewReplica(),
		metrics:        newMetricSet(),
		peers:          newPeers(),
		tlsCredentials: credentials,
		workers:        newWorkerPool(),
		executions:     newExecutions(),
		sources:        newSources(),
		rates:          newCustomerRates(),
		retryBudgets:   budget.NewRequests(budget.DefaultSettings),
		random:         random,
		retryLimiter:   &retryLimiter{},
	}
	if n.listenFunc == nil {
		n.listenFunc = net.Listen
	}
	routeSettings := route.DefaultSettings(i.Name, i.Zone, i.Region)
	routeSettings.MaxConnections = d.Settings.Backend.Connections
	n.routes = &routes{table: route.New(routeSettings, request.NewRandom()), limitingServices: map[operationKey]request.ServiceID{}}
	n.sessions = &sessions{
		table: session.New(session.Settings{
			Instance:            i.Name,
			Incarnation:         n.incarnation,
			MaxTicketsPerCaller: d.Settings.Limits.Tickets,
		}, request.NewRandom()),
		responses: map[session.Effect]*responseBuffer{},
	}
	n.claims = &claims{
		node:         n,
		table:        d.Table,
		stateMachine: session.NewClaims(session.ClaimSettings{Instance: i.Name, Incarnation: n.incarnation}, request.NewRandom()),
		waiters:      map[session.Waiter]chan session.ResolveClaim{},
	}
	n.quarantines = &quarantines{table: quarantine.New(quarantine.DefaultSettings())}
	n.membership = &membership{
		node:           n,
		replaced:       make(chan struct{}),
		stateMachine:   member.New(n.self(), member.DefaultSettings(), request.NewRandom()),
		pendingReplies: map[member.ExchangeID]chan member.Message{},
	}
	n.poller = &poller{
		node:         n,
		wake:         make(chan struct{}, 1),
		stateMachine: configuration.NewPoller(configuration.PollSettings{Instance: i.Name, Zone: i.Zone}, n.clock.now(), request.NewRandom()),
	}
	if credentials.peer != nil {
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

// nextAttempt returns an attempt ID that is unique across nodes and incarnations.
func (n *Node) nextAttempt() request.AttemptID {
	return request.AttemptID{Source: n.incarnation, Number: n.lastAttempt.Add(1)}
}

func (n *Node) newRequestID() request.ID {
	n.randomMu.Lock()
	defer n.randomMu.Unlock()
	return request.NewID(n.random)
}

// retryDelay returns a random delay of one to two control intervals, which spreads the resends of callers that were refused
// at the same time.
func (n *Node) retryDelay() time.Duration {
	n.randomMu.Lock()
	defer n.randomMu.Unlock()
	return retryBaseDelay + time.Duration(n.random.Int64N(int64(retryBaseDelay)))
}

// retryBaseDelay is the control interval of the destinations; an admission level can change after it.
const retryBaseDelay = 250 * time.Millisecond

// policy returns the policy of an operation in the customer's template.
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

func (n *Node) leaving() bool { return n.isLeaving.Load() }

// beginRequest counts a request of a caller in flight; it reports false if maxOpenRequests is reached.
func (n *Node) beginRequest() bool {
	if n.openRequests.Add(1) > maxOpenRequests {
		n.openRequests.Add(-1)
		return false
	}
	return true
}

func (n *Node) endRequest() { n.openRequests.Add(-1) }

// SetLogLevel implements operator.LevelSetter.
func (n *Node) SetLogLevel(level zerolog.Level) { zerolog.SetGlobalLevel(level) }

// withPlatformTimeout runs work that accesses the platform within the platform's timeout.
func (n *Node) withPlatformTimeout(ctx context.Context, work func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, n.settings.Platform.Timeout)
	defer cancel()
	return work(ctx)
}
