package settings

import (
	"fmt"
	"math"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/rs/zerolog"
	"github.com/tailscale/hujson"

	"github.com/sapphiretack/sapphiretack/request"
)

// ReadFile reads the settings of one node from a file; the error is a ValidationError or a file system error.
func ReadFile(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, err
	}
	return Read(path, data)
}

// Read parses the settings of one node; the file name is used only in messages, and the error is a ValidationError.
func Read(file string, data []byte) (Settings, error) {
	r := &reader{file: file, data: data}
	var s Settings
	if o := r.parse(); o != nil {
		s = readSettings(o)
		o.checkUnknown()
	}
	if err := r.result(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

func readSettings(o *object) Settings {
	var s Settings
	s.Instance = readSection(o, "instance", readInstance)
	s.Listeners = readSection(o, "listeners", readListeners)
	s.Backend = readSection(o, "backend", func(b *object) Backend { return readBackend(b, s.Listeners) })
	s.Platform = readSection(o, "platform", readPlatform)
	s.Seeds = readSeeds(o)
	readCommon(o, &s)
	return s
}

// readCommon reads the sections that all instances of a deployment share.
func readCommon(o *object, s *Settings) {
	s.Limits = readSection(o, "limits", readLimits)
	s.Log = readSection(o, "log", readLog)
	s.Trace = readSection(o, "trace", readTrace)
	s.Timeouts = readSection(o, "timeouts", readTimeouts)
	s.TLS = readTLS(o)
	s.StopTime = o.duration("stop_ms", defaultStopTime, minStopTime, 10*time.Minute)
}

func readInstance(o *object) Instance {
	return Instance{
		Name:    request.InstanceID(o.name("name")),
		Service: request.ServiceID(o.name("service")),
		Zone:    request.ZoneID(o.name("zone")),
		Region:  request.RegionID(o.name("region")),
	}
}

func readListeners(o *object) Listeners {
	var l Listeners
	used := map[netip.AddrPort]string{}
	for _, listener := range []struct {
		name    string
		address *netip.AddrPort
	}{
		{"caller", &l.Caller},
		{"peer", &l.Peer},
		{"loopback", &l.Loopback},
		{"operator", &l.Operator},
	} {
		if !o.required(listener.name, addressRemedy) {
			continue
		}
		address := o.address(listener.name)
		*listener.address = address
		if !address.IsValid() {
			continue
		}
		if other, ok := used[address]; ok {
			o.add(listener.name, fmt.Sprintf("%v is also the address of the %s listener", address, other), "use another port")
		}
		used[address] = listener.name
	}
	if l.Loopback.IsValid() && !l.Loopback.Addr().IsLoopback() {
		o.add("loopback", fmt.Sprintf("%v is not a loopback address", l.Loopback), `write an address such as "127.0.0.1:7403"; only the instance's own backend server may connect to this listener`)
	}
	l.AdvertisedPeer = readAdvertised(o, l.Peer)
	return l
}

func readAdvertised(o *object, peer netip.AddrPort) netip.AddrPort {
	const remedy = "write the address at which other nodes reach the peer listener"
	if advertised := o.address("advertised_peer"); o.has("advertised_peer") {
		if advertised.IsValid() && advertised.Addr().IsUnspecified() {
			o.add("advertised_peer", fmt.Sprintf("%v is not a reachable address", advertised), remedy)
		}
		return advertised
	}
	if peer.IsValid() && peer.Addr().IsUnspecified() {
		o.add("advertised_peer", fmt.Sprintf("the field is missing and the peer listener has the address %v", peer), remedy)
	}
	return peer
}

func readBackend(o *object, l Listeners) Backend {
	b := readCapacity(o)
	if o.required("url", `write an http URL of a loopback address, such as "http://127.0.0.1:7404"`) {
		b.URL = readBackendURL(o, l)
	}
	return b
}

// readCapacity reads the fields of a backend server that are the same for all instances of a service.
func readCapacity(o *object) Backend {
	var b Backend
	const slotsRemedy = "write the number of requests that the backend server runs at the same time"
	o.required("slots", slotsRemedy)
	b.Slots = o.integer("slots", 1, 1, 1_000_000)
	o.required("connections", "write the number of connections that the backend server accepts")
	b.Connections = o.integer("connections", b.Slots, 1, 1_000_000)
	if b.Connections < b.Slots {
		o.add("connections", fmt.Sprintf("found %d, which is below slots (%d)", b.Connections, b.Slots), "write at least as many connections as slots; each running request holds one")
	}
	b.ColdStart = o.duration("cold_start_ms", 0, 0, 10*time.Minute)
	b.HealthPath = readPath(o, "health_path", "/health")
	return b
}

func readBackendURL(o *object, l Listeners) string {
	u := o.httpURL("url")
	if u == nil {
		return ""
	}
	// httpURL has already parsed the host.
	address := netip.MustParseAddrPort(u.Host)
	if u.Scheme != "http" || !address.Addr().IsLoopback() || strings.Trim(u.Path, "/") != "" {
		o.add("url", fmt.Sprintf("found %q", u), `write an http URL of a loopback address without a path, such as "http://127.0.0.1:7404"`)
	}
	for _, listener := range []netip.AddrPort{l.Caller, l.Peer, l.Loopback, l.Operator} {
		if address == listener {
			o.add("url", fmt.Sprintf("%v is also a listener of the node", address), "write the address of the backend server")
		}
	}
	return strings.TrimSuffix(u.String(), "/")
}

func readPath(o *object, name, fallback string) string {
	path := o.text(name, fallback)
	if !strings.HasPrefix(path, "/") {
		o.add(name, fmt.Sprintf("found %q", path), `write a path that begins with "/"`)
	}
	return path
}

func readPlatform(o *object) Platform {
	var p Platform
	if o.required("url", `write the URL of the table service, such as "http://10.20.0.5:7300"`) {
		if u := o.httpURL("url"); u != nil {
			if strings.Trim(u.Path, "/") != "" {
				o.add("url", fmt.Sprintf("found %q", u), "remove the path; the platform's protocol defines the paths")
			}
			p.URL = strings.TrimSuffix(u.String(), "/")
		}
	}
	p.Timeout = o.duration("timeout_ms", defaultPlatformTimeout, 10*time.Millisecond, time.Minute)
	return p
}

func readSeeds(o *object) []netip.AddrPort {
	var seeds []netip.AddrPort
	for i, v := range o.elements("seeds") {
		field := fmt.Sprintf("seeds[%d]", i)
		element := o.r.object("", v.StartOffset, &hujson.Object{})
		element.members[field] = v
		if address := element.address(field); address.IsValid() {
			if address.Addr().IsUnspecified() {
				element.add(field, fmt.Sprintf("%v is not a reachable address", address), "write the advertised peer address of another node")
			}
			seeds = append(seeds, address)
		}
	}
	return seeds
}

func readLimits(o *object) Limits {
	l := Limits{
		HeaderBytes: o.integer("header_bytes", defaultHeaderBytes, 1<<10, 1<<20),
		BodyBytes:   o.integer("body_bytes", defaultBodyBytes, 1<<10, 64<<20),
		PartBytes:   o.integer("part_bytes", defaultPartBytes, 1<<10, 256<<20),
		Streams:     o.integer("streams", defaultStreams, 1, math.MaxInt32),
		Tickets:     o.integer("tickets", defaultTickets, 1, 1_000_000),
	}
	return l
}

func readLog(o *object) Log {
	s := o.text("level", "info")
	for _, level := range []zerolog.Level{zerolog.DebugLevel, zerolog.InfoLevel, zerolog.WarnLevel, zerolog.ErrorLevel} {
		if s == level.String() {
			return Log{Level: level}
		}
	}
	o.add("level", fmt.Sprintf("found %q", s), "write debug, info, warn or error")
	return Log{Level: zerolog.InfoLevel}
}

func readTrace(o *object) Trace {
	t := Trace{
		Exporter:    Exporter(o.text("exporter", string(ExporterNone))),
		File:        o.text("file", ""),
		SampleRatio: o.number("sample_ratio", defaultSampleRatio, 0, 1),
	}
	if u := o.httpURL("url"); u != nil {
		t.URL = u.String()
	}
	permitted, known := map[Exporter]string{ExporterNone: "", ExporterStdout: "file", ExporterOTLP: "url"}[t.Exporter]
	if !known {
		o.add("exporter", fmt.Sprintf("found %q", t.Exporter), "write none, stdout or otlp")
		return t
	}
	for _, name := range []string{"file", "url"} {
		if name != permitted && o.has(name) {
			o.add(name, fmt.Sprintf("the field is present, but the exporter is %s", t.Exporter), "remove it or change trace.exporter")
		}
	}
	if t.Exporter == ExporterOTLP && !o.has("url") {
		o.add("url", "the field is missing, and the exporter is otlp", "write the URL of the collector")
	}
	return t
}

func readTimeouts(o *object) Timeouts {
	return Timeouts{
		Header: o.duration("header_ms", defaultHeaderTimeout, 10*time.Millisecond, time.Minute),
		Body:   o.duration("body_ms", defaultBodyTimeout, 10*time.Millisecond, time.Minute),
		Idle:   o.duration("idle_ms", defaultIdleTimeout, 100*time.Millisecond, time.Hour),
	}
}
