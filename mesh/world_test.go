package mesh_test

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/sapphiretack/sapphiretack/fleet"
	"github.com/sapphiretack/sapphiretack/mesh"
	"github.com/sapphiretack/sapphiretack/platform"
	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/routing"
	"github.com/sapphiretack/sapphiretack/standin"
	"github.com/sapphiretack/sapphiretack/tree"
)

// directory is a store in memory.
type directory struct {
	mu        sync.Mutex
	current   *routing.Configuration
	changed   chan struct{}
	addresses []fleet.Address
	costs     map[routing.RouteID]tree.Cost
	isDown    bool
}

func newDirectory() *directory {
	return &directory{changed: make(chan struct{}), costs: map[routing.RouteID]tree.Cost{}}
}

func (d *directory) set(c *routing.Configuration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.current = c
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *directory) Configuration(context.Context) (mesh.Update, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isDown {
		return mesh.Update{}, mesh.Error.New("the store is down")
	}
	return mesh.Update{Configuration: d.current, Encoded: []byte(strconv.Itoa(int(d.current.Version)))}, nil
}

func (d *directory) Watch(ctx context.Context, _ uint64) (mesh.Update, error) {
	d.mu.Lock()
	changed := d.changed
	d.mu.Unlock()
	select {
	case <-changed:
		return d.Configuration(ctx)
	case <-ctx.Done():
		return mesh.Update{}, ctx.Err()
	}
}

func (d *directory) Decode(encoded []byte) (*routing.Configuration, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if string(encoded) != strconv.Itoa(int(d.current.Version)) {
		return nil, mesh.Error.New("unknown configuration %q", encoded)
	}
	return d.current, nil
}

func (d *directory) Register(_ context.Context, a fleet.Address) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.addresses = append(d.addresses, a)
	return nil
}

func (d *directory) Addresses(context.Context) ([]fleet.Address, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]fleet.Address(nil), d.addresses...), nil
}

func (d *directory) Costs(context.Context) (map[routing.RouteID]tree.Cost, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.costs), nil
}

func (d *directory) KeepCosts(_ context.Context, costs map[routing.RouteID]tree.Cost) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	maps.Copy(d.costs, costs)
	return nil
}

// machine is a node and its application server.
type machine struct {
	application *standin.Application
	node        *mesh.Node
	instance    string
	address     netip.Addr
	report      mesh.Report
	stop        context.CancelFunc
	done        chan struct{}
}

// world is a deployment on loopback addresses, all in one process.
type world struct {
	c         *qt.C
	directory *directory
	ports     map[string]uint16
	network   byte
	log       zerolog.Logger
	machines  []*machine
	group     errgroup.Group
}

// worlds counts the worlds, which have a loopback network each, so that their ports do not meet.
var worlds atomic.Uint32

// basePort is below the ports that the kernel gives to outgoing connections.
const basePort = 21000

func newWorld(t *testing.T, c *routing.Configuration) *world {
	t.Parallel()
	return newBenchWorld(t, c)
}

// newBenchWorld returns a world that does not run beside others.
func newBenchWorld(t testing.TB, c *routing.Configuration) *world {
	w := &world{c: qt.New(t), directory: newDirectory(), ports: map[string]uint16{}, network: byte(worlds.Add(1)), log: zerolog.Nop()}
	w.directory.set(c)
	for i, name := range []string{"outbound", "inbound", "gossip", "ready", "control", "application", "metrics"} {
		w.ports[name] = basePort + uint16(i)
	}
	w.c.Cleanup(func() {
		for _, m := range w.machines {
			m.stop()
		}
		w.c.Check(w.group.Wait(), qt.IsNil)
	})
	return w
}

// start adds a machine and waits until its backend server takes requests.
func (w *world) start(service, zone string, work time.Duration) *machine {
	number := len(w.machines) + 1
	address := netip.AddrFrom4([4]byte{127, 1, w.network, byte(number)})
	at := func(name string) netip.AddrPort { return netip.AddrPortFrom(address, w.ports[name]) }
	instance := fmt.Sprintf("i-%s-%d", service, number)
	m := &machine{
		application: standin.NewApplication(standin.ApplicationSettings{Instance: instance, Service: service, Slots: 4, Work: work}),
		instance:    instance, address: address, done: make(chan struct{}),
	}
	l, err := net.Listen("tcp4", at("application").String())
	w.c.Assert(err, qt.IsNil)
	server := &http.Server{Handler: m.application}
	w.group.Go(func() error { _ = server.Serve(l); return nil })
	ctx, cancel := context.WithCancel(context.Background())
	m.stop = func() { cancel(); <-m.done; _ = server.Close() }
	m.node = mesh.New(mesh.Dependencies{
		Settings: mesh.Settings{
			Name: instance, Zone: request.ZoneID(zone), Service: request.ServiceID(service), Address: address, Backend: at("application"),
			Outbound: at("outbound"), Inbound: at("inbound"), Gossip: at("gossip"), Readiness: at("ready"), Control: at("control"), Metrics: at("metrics"),
			DrainTime: 400 * time.Millisecond, StopTime: time.Second, RetryWindow: 10 * time.Second, RetrySlack: 100,
		},
		Dialect: platform.Headers{}, Directory: w.directory, Log: w.log,
		Control: platform.ControlHandler, Ready: platform.ReadyHandler,
	})
	w.group.Go(func() error { defer close(m.done); return m.node.Run(ctx) })
	m.application.SetOutbound(at("outbound").String())
	m.report = mesh.Report{
		Instance: request.InstanceID(instance), Service: request.ServiceID(service), Address: at("application"),
		Slots: 4, Sequence: 1, Born: time.Now(),
	}
	w.c.Assert(m.node.Report(m.report), qt.IsTrue)
	w.machines = append(w.machines, m)
	return m
}

// eventually waits for a condition; the bound only ends a test that hangs.
func (w *world) eventually(what string, condition func() bool) {
	w.c.Helper()
	for range 1000 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	w.c.Fatalf("%s: not within 10 s", what)
}

// metrics returns what the metrics address of a machine serves.
func (w *world) metrics(m *machine) string {
	response, err := http.Get("http://" + netip.AddrPortFrom(m.address, w.ports["metrics"]).String() + "/")
	w.c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	w.c.Assert(err, qt.IsNil)
	return string(body)
}

// reply is what a client received.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

// send sends a request to a machine as a client.
func (w *world) send(m *machine, method, host, path, id string, left time.Duration, body io.Reader) reply {
	length := int64(0)
	if sized, ok := body.(interface{ Len() int }); ok {
		length = int64(sized.Len())
	}
	r, err := standin.NewApplicationRequest(context.Background(), netip.AddrPortFrom(m.address, w.ports["outbound"]).String(), host, method, path, id, left, body, length)
	w.c.Assert(err, qt.IsNil)
	r.Header.Set("X-Caller-Service", "forged")
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(data), err: err}
}

// get sends a request that may be repeated.
func (w *world) get(m *machine, path, id string) reply {
	return w.send(m, http.MethodGet, "ledger.example", path, id, 5*time.Second, nil)
}

// settle waits until each machine serves requests for the path.
func (w *world) settle(path string) {
	for i, m := range w.machines {
		w.eventually("the nodes know each other", func() bool { return m.node.Reachable() == len(w.machines) })
		w.eventually("settle", func() bool { return w.get(m, path, fmt.Sprintf("settle%d", i)).status == http.StatusOK })
	}
}

func ledger(version routing.Version, routes ...routing.Route) *routing.Configuration {
	for i := range routes {
		r := &routes[i]
		r.ID, r.Host = routing.IDOf(r.Name), "ledger.example"
		r.MaxAttempts = max(2, r.MaxAttempts)
	}
	return routing.NewConfiguration(version, routes, []routing.Service{
		{ID: "registry", HealthPath: "/health"}, {ID: "transfers", HealthPath: "/health"},
	}, routing.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 5 * time.Second})
}

func to(service string) []routing.Weighted {
	return []routing.Weighted{{Service: request.ServiceID(service), Weight: 1}}
}
