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
	Seeds     []netip.AddrPort // peer addresses that the node contacts first; its own address may be among them
	Limits    Limits
	Log       Log
	Trace     Trace
	Timeouts  Timeouts
	TLS       TLS
	Stop      time.Duration // longest time that a planned stop waits for requests in flight
}

// Instance says which instance the node belongs to.
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
	Loopback       netip.AddrPort // nested calls of the own backend server, HTTP; a loopback address
	Operator       netip.AddrPort // operators, HTTP
	AdvertisedPeer netip.AddrPort // the address under which other nodes reach Peer
}

// Backend describes the backend server beside the node.
type Backend struct {
	URL         string        // http URL of a loopback address, without a path
	Slots       int           // requests that it runs at the same time
	Connections int           // connections that it accepts
	ColdStart   time.Duration // time from its start until it serves at full rate
	HealthPath  string
}

// Platform says where the table service and the object store are.
type Platform struct {
	URL     string
	Timeout time.Duration // longest wait for one reply
}

// Limits bound what one caller can occupy.
type Limits struct {
	HeaderBytes int // headers of one request
	BodyBytes   int // body of one request
	PartBytes   int // parts in flight of one response
	Streams     int // open streams per caller connection
	Tickets     int // open tickets per caller address
}

// Log sets what is logged.
type Log struct {
	Level zerolog.Level
}

// Exporter says where spans go.
type Exporter string

// The exporters.
const (
	ExporterNone   Exporter = "none"
	ExporterStdout Exporter = "stdout" // JSON objects, to the standard output or a file
	ExporterOTLP   Exporter = "otlp"   // OTLP over HTTP
)

// Trace sets where spans go and how many requests are traced.
type Trace struct {
	Exporter    Exporter
	File        string // path, for ExporterStdout; empty for the standard output
	URL         string // for ExporterOTLP
	SampleRatio float64
}

// Timeouts bound how long the node waits.
type Timeouts struct {
	Header time.Duration // for the headers of a request
	Body   time.Duration // for the body of a request
	Idle   time.Duration // for the next request on a connection
}

// The defaults and bounds. The bounds on sizes, streams and tickets are those of docs/design.md, section 4.14.
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

	// The default stop bound is the longest deadline (60 s) plus the 3 s in which sources hear that the instance leaves,
	// and one second of margin, so that a planned stop interrupts no request.
	defaultStop = 64 * time.Second
	// A shorter bound would end while sources still hear of the departure.
	minStop = 4 * time.Second
)
