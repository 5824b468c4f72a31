package node_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/sapphiretack/sapphiretack/node"
	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/settings"
	"github.com/sapphiretack/sapphiretack/store"
	"github.com/sapphiretack/sapphiretack/trace"
)

// waitLimit only limits the duration of a failing test; no check depends on how long a step takes.
const waitLimit = 30 * time.Second

// fleet is a set of nodes in one process with loopback listeners, each with a fake backend server.
type fleet struct {
	t            testing.TB
	platform     *store.Fake
	instances    map[string]*instance
	group        errgroup.Group
	tickets      map[string]string
	executionLog executionLog
	// inputTimeout is the timeout of the nodes for headers, bodies and idle connections of callers.
	inputTimeout time.Duration
	// certificates makes all listeners use TLS; nil means plain TCP.
	certificates *certificates
	client       *http.Client
	log          zerolog.Logger // the zero value discards messages
}

// instance is one node with its backend server.
type instance struct {
	node        *node.Node
	settings    settings.Settings
	listeners   map[string]net.Listener
	backend     *backendServer
	stop        context.CancelFunc
	done        chan struct{}
	heldOutcome chan string // receives the outcome of the held call
}

// executionLog counts the executions on all backend servers, by operation and body.
type executionLog struct {
	mu     sync.Mutex
	counts map[string]int
	// connectionsReset is set when "lose-then-crash" has reset the peer connections of its node.
	connectionsReset atomic.Bool
}

// resettableListener can close all connections that it has accepted, as a node that crashes does.
type resettableListener struct {
	net.Listener
	mu       sync.Mutex
	accepted []net.Conn
}

func (l *resettableListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.accepted = append(l.accepted, c)
	}
	return c, err
}

func (l *resettableListener) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.accepted {
		_ = c.Close()
	}
	l.accepted = nil
}

func (l *executionLog) add(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[name]++
}

// TestFleet guards against failures of routing, nested calls, streaming, tickets, forwarding, claims, crashes, configuration
// and the graceful stop that occur only when they work together over real connections.
func TestFleet(t *testing.T) {
	t.Parallel()
	runFleetScripts(t, func(*testing.T) *certificates { return nil })
}

func newFleet(t testing.TB, c *certificates) *fleet {
	f := &fleet{
		t:            t,
		platform:     store.NewFake(),
		instances:    map[string]*instance{},
		tickets:      map[string]string{},
		executionLog: executionLog{counts: map[string]int{}},

		inputTimeout: waitLimit,
		certificates: c,
		client:       http.DefaultClient,
	}
	if c != nil {
		f.client = &http.Client{Transport: c.transport()}
	}
	return f
}

func runFleetScripts(t *testing.T, newCertificates func(t *testing.T) *certificates) {
	datadriven.Walk(t, "testdata/fleet", func(t *testing.T, path string) {
		f := newFleet(t, newCertificates(t))
		defer f.close()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "start":
				if v := argument(d, "input-timeout"); v != "" {
					f.inputTimeout, _ = time.ParseDuration(v)
				}
				return f.start(d)
			case "configure":
				return f.configure(d)
			case "session":
				return f.session(d)
			case "call":
				return f.call(d)
			case "executions":
				return f.executions()
			case "restart":
				return f.restart()
			case "raw":
				return f.sendRaw(d)
			case "explain":
				body := f.get(argument(d, "at"), "/v1/explain?service="+argument(d, "service")+"&fingerprint="+argument(d, "fingerprint"))
				return remainingPattern.ReplaceAllString(body, `"remaining_ms":N`)
			case "leave":
				return f.leave(d)
			case "release":
				return f.release(d)
			case "stop":
				return f.stop(d)
			}
			return "unknown command " + d.Cmd
		})
	})
}

// remainingPattern matches the part of an explanation that depends on the time.
var remainingPattern = regexp.MustCompile(`"remaining_ms":\d+`)

func argument(d *datadriven.TestData, key string) string {
	for _, a := range d.CmdArgs {
		if a.Key == key && len(a.Vals) > 0 {
			return a.Vals[0]
		}
	}
	return ""
}

// start reads lines "instance service zone" and starts these instances.
func (f *fleet) start(d *datadriven.TestData) string {
	var names []string
	for line := range strings.Lines(d.Input) {
		fields := strings.Fields(line)
		f.addInstance(fields[0], fields[1], fields[2])
		names = append(names, fields[0])
	}
	f.startInstances(names)
	return "ready"
}

func (f *fleet) startInstances(names []string) {
	for _, name := range names {
		f.startNode(f.instances[name])
	}
	for _, name := range names {
		f.waitUntil(name+" knows all members", func() bool {
			metrics := f.get(name, "/metrics")
			return strings.Contains(metrics, fmt.Sprintf("sapphiretack_members %d\n", len(f.instances)))
		})
		f.waitUntil(name+" is ready", func() bool { return strings.Contains(f.get(name, "/ready"), `"ready"`) })
	}
}

func (f *fleet) addInstance(name, service, zone string) {
	in := &instance{listeners: map[string]net.Listener{}, done: make(chan struct{})}
	address := map[string]netip.AddrPort{}
	for _, field := range []string{"caller", "peer", "loopback", "operator"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			f.t.Fatal(err)
		}
		address[field] = l.Addr().(*net.TCPAddr).AddrPort()
		in.listeners[address[field].String()] = l
	}
	peerListener := &resettableListener{Listener: in.listeners[address["peer"].String()]}
	in.listeners[address["peer"].String()] = peerListener
	in.backend = &backendServer{resetPeers: peerListener.reset, executions: &f.executionLog, loopback: "http://" + address["loopback"].String(), service: service, address: "127.0.0.1:0", release: make(chan struct{})}
	in.backend.start(f.t)
	var seeds []netip.AddrPort
	for _, other := range f.instances {
		seeds = append(seeds, other.settings.Listeners.Peer)
	}
	slices.SortFunc(seeds, netip.AddrPort.Compare)
	in.settings = settings.Settings{
		Instance: settings.Instance{Name: request.InstanceID(name), Service: request.ServiceID(service), Zone: request.ZoneID(zone), Region: "region"},
		Listeners: settings.Listeners{
			Caller: address["caller"], Peer: address["peer"], Loopback: address["loopback"], Operator: address["operator"],
			AdvertisedPeer: address["peer"],
		},
		Backend:  settings.Backend{URL: "http://" + in.backend.address, Slots: 8, Connections: 64, HealthPath: "/health"},
		Platform: settings.Platform{Timeout: waitLimit},
		Seeds:    seeds,
		Limits:   settings.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 16, PartBytes: 1 << 20, Streams: 100, Tickets: 64},
		Timeouts: settings.Timeouts{Header: f.inputTimeout, Body: f.inputTimeout, Idle: f.inputTimeout},
		StopTime: waitLimit,
	}
	if f.certificates != nil {
		in.settings.TLS = f.certificates.files(name)
	}
	f.instances[name] = in
}

// url returns the URL of a caller or operator listener.
func (f *fleet) url(address netip.AddrPort) string {
	if f.certificates != nil {
		return "https://" + address.String()
	}
	return "http://" + address.String()
}

func (f *fleet) startNode(in *instance) {
	spans, err := trace.New(context.Background(), trace.Settings{Exporter: trace.None}, "", "", "")
	if err != nil {
		f.t.Fatal(err)
	}
	n, err := node.New(node.Dependencies{
		Settings:      in.settings,
		Log:           f.log,
		Table:         f.platform,
		TraceProvider: spans,
		Listen: func(_, address string) (net.Listener, error) {
			return in.listeners[address], nil
		},
	})
	if err != nil {
		f.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	in.node, in.stop = n, cancel
	f.group.Go(func() error {
		defer close(in.done)
		return n.Run(ctx)
	})
}

func (f *fleet) waitUntil(what string, holds func() bool) {
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return
		}
	}
	f.t.Fatalf("%s: not within %v", what, waitLimit)
}

func (f *fleet) get(name, path string) string {
	response, err := f.client.Get(f.url(f.instances[name].settings.Listeners.Operator) + path)
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	return string(body)
}

func (f *fleet) configure(d *datadriven.TestData) string {
	return f.commit(argument(d, "at"), argument(d, "kind"), argument(d, "name"), argument(d, "version"), d.Input)
}

// commit commits a new object through one node and waits until all nodes have applied it.
func (f *fleet) commit(at, kind, name, version, document string) string {
	url := fmt.Sprintf("%s/v1/%s/%s?revision=0&change=%032s", f.url(f.instances[at].settings.Listeners.Operator), kind, name, version)
	r, _ := http.NewRequest(http.MethodPut, url, strings.NewReader(document))
	response, err := f.client.Do(r)
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(response.Body)
		return string(body)
	}
	for name := range f.instances {
		f.waitUntil(name+" has the version", func() bool {
			return strings.Contains(f.get(name, "/metrics"), "sapphiretack_configuration_version "+version+"\n")
		})
	}
	return "in force at version " + version
}

func (f *fleet) session(d *datadriven.TestData) string {
	r, _ := http.NewRequest(http.MethodPost, f.callerURL(d)+"/session", nil)
	response, err := f.client.Do(r)
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	_, rest, _ := strings.Cut(string(body), `"ticket":"`)
	ticket, _, _ := strings.Cut(rest, `"`)
	f.tickets[argument(d, "as")] = ticket
	return response.Status
}

func (f *fleet) callerURL(d *datadriven.TestData) string {
	return f.url(f.instances[argument(d, "at")].settings.Listeners.Caller)
}

// call sends one call; the arguments set its headers and the input is its body.
func (f *fleet) call(d *datadriven.TestData) string {
	r, _ := http.NewRequest(http.MethodPost, f.callerURL(d)+"/call/"+argument(d, "to"), bytes.NewBufferString(d.Input))
	r.Header.Set("Sapphiretack-Customer", argument(d, "customer"))
	for header, key := range map[string]string{
		"Sapphiretack-Sequence": "sequence", "Sapphiretack-Attempt": "attempt", "Sapphiretack-Request-Id": "id",
		"Sapphiretack-Idempotency-Key": "key", "Sapphiretack-Timeout-Ms": "timeout",
	} {
		if v := argument(d, key); v != "" {
			r.Header.Set(header, v)
		}
	}
	if t := argument(d, "ticket"); t != "" {
		r.Header.Set("Sapphiretack-Ticket", f.tickets[t])
	}
	response, err := f.client.Do(r)
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return "cut"
	}
	if o := response.Trailer.Get("Sapphiretack-Outcome"); o != "" {
		return fmt.Sprintf("%d %s: %s", response.StatusCode, o, body)
	}
	return fmt.Sprintf("%d %s: %s", response.StatusCode, response.Header.Get("Sapphiretack-Outcome"), jsonField(string(body), "reason"))
}

func jsonField(body, name string) string {
	_, rest, _ := strings.Cut(body, `"`+name+`":"`)
	value, _, _ := strings.Cut(rest, `"`)
	return value
}

func (f *fleet) executions() string {
	f.executionLog.mu.Lock()
	defer f.executionLog.mu.Unlock()
	var lines []string
	for name, n := range f.executionLog.counts {
		lines = append(lines, fmt.Sprintf("%s %d", name, n))
	}
	slices.Sort(lines)
	return strings.Join(lines, "\n")
}

// sendRaw sends the input with \r\n line ends, followed by a blank line and "body" unless the input ends in END. REPEAT stands
// for as many bytes as "repeat" says. It closes the sending side if "half-close" is given, and returns the status line of the
// response.
func (f *fleet) sendRaw(d *datadriven.TestData) string {
	c, err := f.dial(f.instances[argument(d, "at")].settings.Listeners.Caller.String())
	if err != nil {
		return err.Error()
	}
	defer c.Close()
	input := strings.ReplaceAll(d.Input, "\n", "\r\n")
	if n := argument(d, "repeat"); n != "" {
		count, _ := strconv.Atoi(n)
		input = strings.ReplaceAll(input, "REPEAT", strings.Repeat("x", count))
	}
	if whole, cut := strings.CutSuffix(input, "END"); cut {
		input = whole
	} else {
		input += "\r\n\r\n" + argument(d, "body")
	}
	if _, err := io.WriteString(c, input); err != nil {
		return err.Error()
	}
	if d.HasArg("half-close") {
		_ = c.(interface{ CloseWrite() error }).CloseWrite()
	}
	_ = c.SetReadDeadline(time.Now().Add(waitLimit))
	data, err := io.ReadAll(c)
	line, _, _ := strings.Cut(string(data), "\r\n")
	if err != nil || line == "" {
		return fmt.Sprintf("closed, error %v", err)
	}
	return line + " " + jsonField(string(data), "reason")
}

func (f *fleet) dial(address string) (net.Conn, error) {
	if f.certificates != nil {
		return tls.Dial("tcp", address, f.certificates.client())
	}
	return net.Dial("tcp", address)
}

// restart restarts the backend servers that crashed, and waits until their nodes are ready.
func (f *fleet) restart() string {
	var lines []string
	for name, in := range f.instances {
		if !in.backend.crashed.Swap(false) {
			continue
		}
		in.backend.start(f.t)
		f.waitUntil(name+" is ready again", func() bool { return strings.Contains(f.get(name, "/ready"), `"ready"`) })
		lines = append(lines, name)
	}
	return fmt.Sprintf("%d restarted", len(lines))
}

// leave starts the graceful stop of a node while its backend server holds a call, so that the drain cannot complete.
func (f *fleet) leave(d *datadriven.TestData) string {
	in := f.instances[argument(d, "instance")]
	in.heldOutcome = make(chan string, 1)
	f.group.Go(func() error {
		in.heldOutcome <- f.call(d)
		return nil
	})
	f.waitUntil("the held call runs", func() bool {
		f.executionLog.mu.Lock()
		defer f.executionLog.mu.Unlock()
		return f.executionLog.counts["registry/hold"] > 0
	})
	in.stop()
	f.waitUntil("the node is leaving", func() bool { return strings.Contains(f.get(argument(d, "instance"), "/ready"), "leaving") })
	return "leaving"
}

// release lets the held call complete and waits until the node has stopped.
func (f *fleet) release(d *datadriven.TestData) string {
	in := f.instances[argument(d, "instance")]
	close(in.backend.release)
	outcome := <-in.heldOutcome
	<-in.done
	delete(f.instances, argument(d, "instance"))
	return outcome
}

// stop stops one node gracefully, while a call is in flight if the arguments name one.
func (f *fleet) stop(d *datadriven.TestData) string {
	in := f.instances[argument(d, "instance")]
	result := make(chan string, 1)
	if argument(d, "to") != "" {
		f.group.Go(func() error {
			result <- f.call(d)
			return nil
		})
		f.waitUntil("the call runs", func() bool {
			f.executionLog.mu.Lock()
			defer f.executionLog.mu.Unlock()
			return f.executionLog.counts[argument(d, "until")] > 0
		})
	} else {
		result <- "stopped"
	}
	in.stop()
	<-in.done
	delete(f.instances, argument(d, "instance"))
	return <-result
}

func (f *fleet) close() {
	for _, in := range f.instances {
		in.stop()
	}
	if err := f.group.Wait(); err != nil {
		f.t.Error(err)
	}
	for _, in := range f.instances {
		in.backend.server.Close()
	}
}
