package fleet

import (
	"net/netip"
	"time"

	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/routing"
)

// Health says whether a backend server takes requests.
type Health uint8

// The states of health.
const (
	Absent  Health = iota // no backend server has reported
	Serving               // the backend server takes requests
	Leaving               // the backend server has announced that it leaves, or its node stops
	Down                  // the backend server does not accept connections
)

var healthNames = [...]string{"absent", "serving", "leaving", "down"}

// String returns the name of the state.
func (h Health) String() string {
	if int(h) < len(healthNames) {
		return healthNames[h]
	}
	return "invalid"
}

// Rate is the number of requests a second that clients send to a node on a route.
type Rate struct {
	_         struct{} `cbor:",toarray"`
	Route     routing.RouteID
	PerSecond float32
}

// Entry is what a node says of itself. Arrays keep its encoding short, since entries cross availability zones.
type Entry struct {
	_ struct{} `cbor:",toarray"`
	// Address is where the node takes attempts.
	Address     netip.Addr
	Zone        request.ZoneID
	Service     request.ServiceID
	Instance    request.InstanceID // lifetime of the backend server
	Incarnation request.Incarnation
	Sequence    uint32
	Age         time.Duration // since the node renewed the entry
	Health      Health
	Limit       uint16 // attempts that may run at once
	// Load is the mean of running and waiting attempts over the limit, in thousandths.
	Load uint16
	// UsualRoute is the route of most attempts here, and UsualTime the mean time for which one of them holds a slot; the
	// times of several instances tell how fast their backend servers are.
	UsualRoute routing.RouteID
	UsualTime  time.Duration
	// Failing is the share of recent attempts that the backend server failed or refused, in percent.
	Failing uint8
	// Configuration is the version in force at the node.
	Configuration routing.Version
	Rates         []Rate
}

// isNewer reports whether e replaces old.
func (e *Entry) isNewer(old *Entry) bool {
	if e.Incarnation != old.Incarnation {
		return e.Incarnation > old.Incarnation
	}
	return e.Sequence > old.Sequence
}
