package mesh

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/sapphiretack/sapphiretack/departure"
	"github.com/sapphiretack/sapphiretack/fleet"
	"github.com/sapphiretack/sapphiretack/quarantine"
	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/routing"
	"github.com/sapphiretack/sapphiretack/store"
	"github.com/sapphiretack/sapphiretack/tree"
)

// Settings configure a Node.
type Settings struct {
	Name    string
	Zone    request.ZoneID
	Service request.ServiceID
	// Address is the address of the machine.
	Address netip.Addr
	// Backend is the address of the backend server on the machine.
	Backend netip.AddrPort

	// Outbound accepts requests of clients and of the backend server, Inbound attempts of other nodes, Gossip UDP datagrams.
	Outbound, Inbound, Gossip netip.AddrPort
	// Readiness and Control serve the readiness checks and control calls of the deployment; an invalid address disables them.
	Readiness, Control netip.AddrPort
	// Metrics serves the metrics of the node; an invalid address disables it.
	Metrics netip.AddrPort

	// IsFirstStart is set if all nodes of the deployment start for the first time, so that none is registered in the store.
	IsFirstStart bool
	// DrainTime is how long a backend server may receive requests after the node acknowledged that it is leaving.
	DrainTime time.Duration
	// StopTime is the maximum run time of the process after SIGTERM.
	StopTime time.Duration
	// RetryWindow and RetrySlack limit the retries to a service without successful requests: the nodes together may send a
	// third of RetrySlack at once, but at least one each, and every node regains one per RetryWindow.
	RetryWindow time.Duration
	RetrySlack  int
	// MemoryBytes is the memory that the process may use, in bytes; 0 means no limit.
	MemoryBytes int64
}

// RequestInfo is the information in the headers of a request.
type RequestInfo struct {
	ID string
	// Timeout is the client's remaining timeout, or 0 if the request does not specify one.
	Timeout time.Duration
}

// ResponseInfo is the information in the headers of a backend server's response.
type ResponseInfo struct {
	RequestID string
	// IsSigned is set if the response has the signature of the backend server.
	IsSigned bool
	// IsNotRun is set if the backend server declares that it did not run the request.
	IsNotRun bool
	// IsWrongInstance is set if an incarnation other than the expected one responded.
	IsWrongInstance bool
	// Instance is the incarnation of the backend server that responded, or empty if the response does not name it.
	Instance request.InstanceID
	// Slots is the declared number of concurrent requests, or 0 if unknown.
	Slots int
	// IdleTimeout is the advertised idle timeout of connections, or 0 if unknown.
	IdleTimeout time.Duration
	// RateLimit is the number of requests per second that the backend server takes from all nodes together. It is valid if HasRateLimit
	// is set.
	RateLimit    float64
	HasRateLimit bool
	// HasBadRateLimit is set if the backend server named a rate limit that is not a number of at least 0.
	HasBadRateLimit bool
	// IsLeaving is set if the backend server announces that it leaves.
	IsLeaving bool
}

// HeaderCodec encodes and decodes the HTTP headers of a deployment.
type HeaderCodec interface {
	// ReadRequest decodes the headers of a request.
	ReadRequest(h http.Header) RequestInfo
	// ReadResponse decodes the status and headers of a response.
	ReadResponse(status int, h http.Header) ResponseInfo
	// WriteCaller sets the service of the node that received the request from its client.
	WriteCaller(h http.Header, caller request.ServiceID)
	// WriteTimeout sets the remaining timeout.
	WriteTimeout(h http.Header, remaining time.Duration)
	// WriteInstance sets the only incarnation of the backend server that may run the request.
	WriteInstance(h http.Header, instance request.InstanceID)
	// WriteRetryAfter sets the delay after which a refused client should resend.
	WriteRetryAfter(h http.Header, delay time.Duration)
}

// ConfigurationUpdate is the result of reading or watching the routing configuration.
type ConfigurationUpdate struct {
	// Configuration is nil if the watch ended without a change.
	Configuration *routing.Configuration
	// Encoded is the configuration in the encoding of the store, to be served to nodes that cannot reach the store.
	Encoded []byte
	// Cursor is the position from which to continue the watch.
	Cursor Cursor
}

// Cursor is a position in the history of the store. Version is of its era only, since a store that came back from a copy gives out versions
// again.
type Cursor struct {
	Era     store.Era
	Version uint64
}

// Store is the store of a deployment, with the routing configuration, the addresses of the nodes, the costs of requests, the
// requests in quarantine and the departures of backend servers.
type Store interface {
	// Configuration reads the latest configuration.
	Configuration(ctx context.Context) (ConfigurationUpdate, error)
	// Watch waits for a change after the cursor, and returns no configuration if there is none within the given time. After a HistoryLost
	// error the caller has to read Configuration again.
	Watch(ctx context.Context, cursor Cursor, wait time.Duration) (ConfigurationUpdate, error)
	// AwaitEra returns the era of the store as soon as a response to any call shows one later than the given one. The error is that of the
	// context.
	AwaitEra(ctx context.Context, after store.Era) (store.Era, error)
	// Decode decodes a configuration from the encoding of the store.
	Decode(encoded []byte) (*routing.Configuration, error)
	// Register stores the addresses of nodes.
	Register(ctx context.Context, endpoints ...fleet.Endpoint) error
	// Addresses returns the addresses of all registered nodes.
	Addresses(ctx context.Context) ([]fleet.Endpoint, error)
	// Costs returns the measured cost of requests by route.
	Costs(ctx context.Context) (map[routing.RouteID]tree.Cost, error)
	// WriteCosts overwrites the costs of the given routes.
	WriteCosts(ctx context.Context, costs map[routing.RouteID]tree.Cost) error
	// Crashes returns the crashes that were written for requests in quarantine.
	Crashes(ctx context.Context) ([]quarantine.Report, error)
	// AddCrashes adds crashes to those that are written for a request, and returns all of them.
	AddCrashes(ctx context.Context, content request.Fingerprint, crashes []quarantine.Report) ([]quarantine.Report, error)
	// RemoveCrashes removes the crashes that are written for a request.
	RemoveCrashes(ctx context.Context, content request.Fingerprint) error
	// Departures returns the departures that are written for the backend servers beside the node at an address.
	Departures(ctx context.Context, node netip.Addr) ([]departure.Departure, error)
	// WriteDepartures adds and removes departures of backend servers beside the node at an address. Either may be repeated.
	WriteDepartures(ctx context.Context, node netip.Addr, added, removed []departure.Departure) error
	// RemoveExpiredDepartures removes departures of all nodes that have expired, at most as many as one call can.
	RemoveExpiredDepartures(ctx context.Context) error
}

// State is the state that a backend server reports.
type State uint8

// The states of a backend server.
const (
	StateReady   State = iota
	StateLeaving       // accepts no new requests
	StateGone          // has ended its registration
)

var stateNames = [...]string{"ready", "leaving", "gone"}

// String returns the name of the state.
func (s State) String() string { return stateNames[s] }

// Report is a status report of the backend server on the machine.
type Report struct {
	Instance request.InstanceID // incarnation of the backend server
	Service  request.ServiceID
	Address  netip.AddrPort
	State    State
	Slots    int
	// WarmUp is the remaining warm-up time, in which the backend server is slow.
	WarmUp time.Duration
	// Sequence orders the reports of one incarnation.
	Sequence int64
	// StartTime is the start time of the incarnation and orders incarnations.
	StartTime time.Time
}
