package mesh

import (
	"context"
	"net/netip"
	"strconv"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/sapphiretack/sapphiretack/departure"
	"github.com/sapphiretack/sapphiretack/fleet"
	"github.com/sapphiretack/sapphiretack/quarantine"
	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/routing"
	"github.com/sapphiretack/sapphiretack/tree"
)

// metrics holds the counters, gauges and timers of a node.
type metrics struct {
	registry                              gometrics.Registry
	peerFailures, healthChecks, retries   gometrics.Counter
	retriesDenied, gossipErrors           gometrics.Counter
	gossipSent, aliveChecks, crashes      gometrics.Counter
	queueTime                             gometrics.Timer
	running, limit, load, version, health gometrics.Gauge
	known, fresh, oldest, retriesLeft     gometrics.Gauge
	quarantined                           gometrics.Gauge
	withoutDeadline                       gometrics.Counter
}

func newMetrics() *metrics {
	r := gometrics.NewRegistry()
	counter := func(name string) gometrics.Counter { return gometrics.GetOrRegisterCounter(name, r) }
	gauge := func(name string) gometrics.Gauge { return gometrics.GetOrRegisterGauge(name, r) }
	return &metrics{
		registry:     r,
		peerFailures: counter("peer_failures"), healthChecks: counter("probes"), retries: counter("retries"),
		retriesDenied: counter("retries_denied"), gossipErrors: counter("gossip_errors"), gossipSent: counter("gossip_sent_bytes"),
		aliveChecks: counter("alive_checks"), crashes: counter("backend_crashes"),
		queueTime: gometrics.GetOrRegisterTimer("gate_queue_time", r),
		running:   gauge("gate_active"), limit: gauge("gate_limit"), load: gauge("gate_load_thousandths"),
		version: gauge("config_version"), health: gauge("backend_health"), known: gauge("nodes_known"), fresh: gauge("nodes_fresh"),
		oldest: gauge("oldest_entry_ms"), retriesLeft: gauge("retries_left"),
		quarantined: gauge("quarantined"), withoutDeadline: counter("requests_without_deadline"),
	}
}

// countAttempt counts an attempt by its outcome at the gate.
func (m *metrics) countAttempt(o outcome) {
	name := "gate_answered"
	switch o := o.(type) {
	case notRun:
		name = "gate_not_run_" + o.reason.String()
	case broken:
		name = "gate_broken"
	}
	gometrics.GetOrRegisterCounter(name, m.registry).Inc(1)
}

// countRequest counts a request by route, service, rank and status, and records its duration.
func (m *metrics) countRequest(req *outboundRequest, status int, now request.Instant) {
	route := "unknown"
	if req.route != nil {
		route = req.route.Name
	}
	prefix := "requests." + route + "." + string(req.service) + "." + strconv.Itoa(int(req.rank)) + "."
	gometrics.GetOrRegisterCounter(prefix+strconv.Itoa(status), m.registry).Inc(1)
	gometrics.GetOrRegisterTimer(prefix+"time", m.registry).Update(now.Sub(req.arrived))
}

// countArrival counts an attempt that reached, or may have reached, a backend server of a service. Attempts beyond the first one of a
// request, and those of calls that a repeated run makes, also count as repeats.
func (m *metrics) countArrival(req *outboundRequest) {
	gometrics.GetOrRegisterCounter("arrivals."+string(req.service), m.registry).Inc(1)
	if req.isRetry || req.backendAttempts > 0 {
		gometrics.GetOrRegisterCounter("repeats."+string(req.service), m.registry).Inc(1)
	}
}

// updateGauges updates the gauges after a tick; retriesLeft is the retry budget of the local service.
func (m *metrics) updateGauges(e fleet.Entry, load float64, view fleetView, retriesLeft uint32) {
	m.oldest.Update(view.oldest.Milliseconds())
	m.retriesLeft.Update(int64(retriesLeft))
	m.limit.Update(int64(e.Limit))
	m.running.Update(int64(load * float64(e.Limit)))
	m.load.Update(int64(1000 * load))
	m.version.Update(int64(e.ConfigurationVersion))
	m.health.Update(int64(e.Health))
	m.fresh.Update(int64(view.fresh))
	m.known.Update(int64(view.known))
}

// instrumentedStore counts the calls to the store by method and result.
type instrumentedStore struct {
	Store
	metrics *metrics
}

// countCall increments the counter of a call and returns err.
func (d instrumentedStore) countCall(call string, err error) error {
	result := ".ok"
	if err != nil {
		result = ".failed"
	}
	gometrics.GetOrRegisterCounter("store."+call+result, d.metrics.registry).Inc(1)
	return err
}

func (d instrumentedStore) Configuration(ctx context.Context) (ConfigurationUpdate, error) {
	u, err := d.Store.Configuration(ctx)
	return u, d.countCall("configuration", err)
}

func (d instrumentedStore) Watch(ctx context.Context, cursor Cursor, wait time.Duration) (ConfigurationUpdate, error) {
	u, err := d.Store.Watch(ctx, cursor, wait)
	return u, d.countCall("watch", err)
}

func (d instrumentedStore) Register(ctx context.Context, endpoints ...fleet.Endpoint) error {
	return d.countCall("register", d.Store.Register(ctx, endpoints...))
}

func (d instrumentedStore) Addresses(ctx context.Context) ([]fleet.Endpoint, error) {
	addresses, err := d.Store.Addresses(ctx)
	return addresses, d.countCall("addresses", err)
}

func (d instrumentedStore) Costs(ctx context.Context) (map[routing.RouteID]tree.Cost, error) {
	costs, err := d.Store.Costs(ctx)
	return costs, d.countCall("costs", err)
}

func (d instrumentedStore) WriteCosts(ctx context.Context, costs map[routing.RouteID]tree.Cost) error {
	return d.countCall("keep_costs", d.Store.WriteCosts(ctx, costs))
}

func (d instrumentedStore) Crashes(ctx context.Context) ([]quarantine.Report, error) {
	reports, err := d.Store.Crashes(ctx)
	return reports, d.countCall("crashes", err)
}

func (d instrumentedStore) AddCrashes(ctx context.Context, content request.Fingerprint, crashes []quarantine.Report) ([]quarantine.Report, error) {
	reports, err := d.Store.AddCrashes(ctx, content, crashes)
	return reports, d.countCall("keep_crashes", err)
}

func (d instrumentedStore) RemoveCrashes(ctx context.Context, content request.Fingerprint) error {
	return d.countCall("remove_crashes", d.Store.RemoveCrashes(ctx, content))
}

func (d instrumentedStore) Departures(ctx context.Context, node netip.Addr) ([]departure.Departure, error) {
	departures, err := d.Store.Departures(ctx, node)
	return departures, d.countCall("departures", err)
}

func (d instrumentedStore) WriteDepartures(ctx context.Context, node netip.Addr, added, removed []departure.Departure) error {
	return d.countCall("keep_departures", d.Store.WriteDepartures(ctx, node, added, removed))
}

func (d instrumentedStore) RemoveExpiredDepartures(ctx context.Context) error {
	return d.countCall("expire_departures", d.Store.RemoveExpiredDepartures(ctx))
}
