package mesh

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/sapphiretack/sapphiretack/fleet"
	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/routing"
	"github.com/sapphiretack/sapphiretack/tree"
)

// Settings are what a node is told at its start.
type Settings struct {
	Name    string
	Zone    request.ZoneID
	Service request.ServiceID
	// Address is the address of the machine.
	Address netip.Addr
	// Backend is where the backend server on the machine listens.
	Backend netip.AddrPort

	// Outbound takes requests of clients and of the backend server, Inbound attempts of other nodes, Gossip datagrams.
	Outbound, Inbound, Gossip netip.AddrPort
	// Readiness and Control serve the deployment's own calls.
	Readiness, Control netip.AddrPort
	Metrics            netip.AddrPort

	// DrainTime is how long a backend server may get requests after its departure was acknowledged.
	DrainTime time.Duration
	// StopTime is how long the process may run after SIGTERM.
	StopTime time.Duration
	// RetryWindow and RetrySlack are the allowance of retries of a service on all nodes together.
	RetryWindow time.Duration
	RetrySlack  int
	MemoryBytes int64
}

// RequestInfo is what the headers of a request say.
type RequestInfo struct {
	ID string
	// Left is how long the client waits; 0 means that it does not say.
	Left time.Duration
}

// AnswerInfo is what the headers of a backend server's response say.
type AnswerInfo struct {
	RequestID string
	// IsGenuine is set if the response bears the backend server's signature.
	IsGenuine bool
	// IsNotRun is set if the backend server states that it did not run the request.
	IsNotRun bool
	// IsOtherInstance is set if another lifetime than the expected one answered.
	IsOtherInstance bool
	// Instance is the lifetime that answered, if it says so.
	Instance request.InstanceID
	// Slots is the number of slots that the backend server declares, or 0.
	Slots int
	// IdleTime is how long the backend server keeps an idle connection, or 0.
	IdleTime time.Duration
}

// Dialect reads and writes the headers of a deployment.
type Dialect interface {
	ReadRequest(h http.Header) RequestInfo
	ReadAnswer(status int, h http.Header) AnswerInfo
	// WriteOrigin sets the service on whose machine the request began.
	WriteOrigin(h http.Header, origin request.ServiceID)
	// WriteLeft sets how long the client still waits.
	WriteLeft(h http.Header, left time.Duration)
	// WriteInstance names the only lifetime that may run the request.
	WriteInstance(h http.Header, instance request.InstanceID)
	// WriteReturn tells a refused client when to come back.
	WriteReturn(h http.Header, after time.Duration)
}

// Update is a change of the routing configuration.
type Update struct {
	// Configuration is nil if the wait ended without a change.
	Configuration *routing.Configuration
	// Encoded is the configuration as the store keeps it, for nodes that cannot reach the store.
	Encoded []byte
	// Cursor continues the watch.
	Cursor uint64
}

// Directory is what a deployment's store keeps: the routing configuration, the addresses of the nodes, and what requests cost.
type Directory interface {
	// Configuration reads the newest configuration.
	Configuration(ctx context.Context) (Update, error)
	// Watch waits for a change after the cursor; HistoryLost means that Configuration has to be read anew.
	Watch(ctx context.Context, cursor uint64) (Update, error)
	// Decode reads a configuration as the store keeps it.
	Decode(encoded []byte) (*routing.Configuration, error)
	// Register makes the own address known.
	Register(ctx context.Context, a fleet.Address) error
	// Addresses returns the nodes that have registered.
	Addresses(ctx context.Context) ([]fleet.Address, error)
	// Costs returns what the requests of each route have cost.
	Costs(ctx context.Context) (map[routing.RouteID]tree.Cost, error)
	// KeepCosts replaces the costs of the given routes.
	KeepCosts(ctx context.Context, costs map[routing.RouteID]tree.Cost) error
}

// State is what a backend server says of itself.
type State uint8

// The states of a backend server.
const (
	StateReady State = iota
	StateLeaving
	StateGone
)

var stateNames = [...]string{"ready", "leaving", "gone"}

// String returns the name of the state.
func (s State) String() string { return stateNames[s] }

// Report is what the backend server on the machine says of itself.
type Report struct {
	Instance request.InstanceID
	Service  request.ServiceID
	Address  netip.AddrPort
	State    State
	Slots    int
	// ColdFor is how much longer the backend server stays slow after its start.
	ColdFor time.Duration
	// Sequence orders the reports of one lifetime.
	Sequence int64
	// Born orders the lifetimes.
	Born time.Time
}
