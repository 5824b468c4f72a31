package fleet

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/routing"
)

// Health tells whether a backend server accepts requests.
type Health uint8

// The health states of a backend server.
const (
	Absent   Health = iota // no backend server has reported to the node
	Serving                // the backend server accepts requests
	Leaving                // no new requests for now: the node is shutting down, or it is not certain which incarnation leaves
	Down                   // the backend server does not accept connections
	Departed               // the backend server has announced that it leaves, which holds for the rest of its incarnation
)

var healthNames = [...]string{"absent", "serving", "leaving", "down", "departed"}

// String returns the name of the state, or "invalid".
func (h Health) String() string {
	if int(h) < len(healthNames) {
		return healthNames[h]
	}
	return "invalid"
}

// Rate is the request rate of a route that a node receives from clients, per second.
type Rate struct {
	_         struct{} `cbor:",toarray"`
	Route     routing.RouteID
	PerSecond float32
}

// Entry is the state of a node as it describes itself. It is encoded as an array to save traffic between availability zones.
type Entry struct {
	_ struct{} `cbor:",toarray"`
	// Address is the address at which the node accepts attempts.
	Address     netip.Addr
	Zone        request.ZoneID
	Service     request.ServiceID
	Instance    request.InstanceID // identifies one incarnation of the backend server, with its start time if that is known
	Incarnation request.Incarnation
	Sequence    uint32
	Age         time.Duration // since the node renewed the entry
	Health      Health
	Limit       uint16 // maximum number of concurrent attempts
	// LoadPermille is the mean number of running and queued attempts relative to the limit, in thousandths.
	LoadPermille uint16
	// DominantRoute is the most frequent route at the backend server, and ServiceTime its mean service time. Comparing the
	// service times of instances yields the relative speed of their backend servers.
	DominantRoute routing.RouteID
	ServiceTime   time.Duration
	// FailurePercent is the percentage of recent attempts that the backend server failed or refused.
	FailurePercent uint8
	// ConfigurationVersion is the version of the configuration that the node uses.
	ConfigurationVersion routing.Version
	Rates                []Rate
}

// IsNodeAddress reports whether a node can have the address.
func IsNodeAddress(a netip.Addr) bool {
	return a.Is4() && !a.IsUnspecified() && !a.IsMulticast() && a != netip.AddrFrom4([4]byte{255, 255, 255, 255})
}

// isValid reports whether a node can mean the entry.
func (e *Entry) isValid() bool {
	return IsNodeAddress(e.Address) && e.Age >= 0 && e.ServiceTime >= 0 && areValid(e.Rates)
}

// areValid reports whether all rates are numbers of at least 0.
func areValid(rates []Rate) bool {
	return !slices.ContainsFunc(rates, func(r Rate) bool { return !isRate(r.PerSecond) })
}

func isRate(perSecond float32) bool { return perSecond >= 0 && perSecond <= math.MaxFloat32 }

// isNewer reports whether e supersedes old.
func (e *Entry) isNewer(old *Entry) bool {
	if e.Incarnation != old.Incarnation {
		return e.Incarnation > old.Incarnation
	}
	return e.Sequence > old.Sequence
}
