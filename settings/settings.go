package settings

import (
	"net/netip"
	"time"

	"github.com/rs/zerolog"

	"github.com/sapphiretack/sapphiretack/request"
)

// Settings are the settings of one node.
type Settings struct {
	Instance  Instance
	Listeners Listeners
	Backend   Backend
	Platform  Platform
	Seeds     []netip.AddrPort // peer addresses that the node contacts first; may contain its own
	Limits    Limits
	Log       Log
	Trace     Trace
	Timeouts  Timeouts
	TLS       TLS
	StopTime  time.Duration // maximum time that a planned stop waits for requests in flight
}

// Instance identifies the instance that the node belongs to.
type Instance struct {
	Name    request.InstanceID
	Service request.ServiceID
	Zone    request.ZoneID
	Region  request.RegionID
}

// Listeners are the addresses that the node listens on.
type Listeners struct {
	Caller         netip.AddrPort // callers, HTTP
	Peer           netip.AddrPort // other nodes, gRPC
	Loopback       netip.AddrPort // nested calls from the node's own backend server, HTTP; a loopback address
	Operator       netip.AddrPort // operators, HTTP
	AdvertisedPeer netip.AddrPort // the address at which other nodes reach Peer
}

// Backend describes the backend server of the node's instance.
type Backend struct {
	URL         string        // http URL of a loopback address, without a path
	Slots       int           // maximum number of requests that it runs concurrently
	Connections int           // maximum number of connections that it accepts
	ColdStart   time.Duration // warm-up: time from its start until it serves at its full rate
	HealthPath  string
}

// Platform locates the platform's table service and object store.
type Platform struct {
	URL     string
	Timeout time.Duration // timeout of one call
}

// Limits are the maximum resources that one caller can use.
type Limits struct {
	HeaderBytes int // headers of one request
	BodyBytes   int // body of one request
	PartBytes   int // parts of one response that are in flight
	Streams     int // open streams per caller connection
	Tickets     int // open tickets per caller address
}

// Log sets the log level.
type Log struct {
	Level zerolog.Level
}

// Exporter is the destination of spans.
type Exporter string

// The exporters.
const (
	ExporterNone   Exporter = "none"
	ExporterStdout Exporter = "stdout" // JSON objects, to standard output or a file
	ExporterOTLP   Exporter = "otlp"   // OTLP over HTTP
)

// Trace sets the exporter of spans and the share of requests that are traced.
type Trace struct {
	Exporter    Exporter
	File        string  // path for ExporterStdout; empty for standard output
	URL         string  // collector, for ExporterOTLP
	SampleRatio float64 // from 0 to 1
}

// Timeouts are the maximum times that the node waits for a caller.
type Timeouts struct {
	Header time.Duration // for the headers of a request
	Body   time.Duration // for the body of a request
	Idle   time.Duration // for the next request on a connection
}

// The defaults and limits. The limits on sizes, streams and tickets are from docs/design.md, section 4.14.
const (
	defaultHeaderBytes = 16 << 10
	defaultBodyBytes   = 1 << 20
	defaultPartBytes   = 16 << 20
	defaultStreams     = 1000
	defaultTickets     = 64

	defaultSampleRatio = 0.01

	defaultPlatformTimeout = 2 * time.Second
	defaultHeaderTimeout   = 5 * time.Second
	defaultBodyTimeout     = 10 * time.Second
	defaultIdleTimeout     = 2 * time.Minute

	// defaultStopTime is the longest deadline (60 s), plus the 3 s in which sources learn that the instance is leaving, plus 1 s
	// of margin, so that a planned stop interrupts no request.
	defaultStopTime = 64 * time.Second
	// minStopTime is longer than the 3 s in which sources learn that the instance is leaving. A shorter stop would end
	// before all of them have learned it.
	minStopTime = 4 * time.Second
)
