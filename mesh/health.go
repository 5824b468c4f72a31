package mesh

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/sapphiretack/sapphiretack/fleet"
	"github.com/sapphiretack/sapphiretack/request"
)

// healthCheckLoop runs health checks on a backend server that is down or unknown, so that it is back in service before its next
// report, and on one that takes hardly any requests.
func (b *backend) healthCheckLoop(ctx context.Context) error {
	return runEvery(ctx, healthCheckInterval, func() {
		b.mu.Lock()
		b.closeIfUnusable()
		isNeeded := b.health == fleet.Down || b.health == fleet.Absent || b.needsLimitCheck(b.node.now())
		b.mu.Unlock()
		if isNeeded && !b.node.isStopping.Load() {
			b.checkHealth(ctx)
		}
	})
}

// checkHealth sends one health check and opens the gate if it succeeds.
func (b *backend) checkHealth(ctx context.Context) {
	n := b.node
	c := n.configuration.Load()
	if c == nil {
		return
	}
	service, ok := c.Services[*n.service.Load()]
	if !ok || service.HealthPath == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	b.mu.Lock()
	address := b.address
	b.mu.Unlock()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+service.HealthPath, nil)
	if err != nil {
		n.log.Warn().Str("event", "probe_failed").Err(err).Msg("cannot create the health check request; check the health path of the service")
		return
	}
	n.metrics.healthChecks.Inc(1)
	began := n.now()
	response, err := b.transport.Load().RoundTrip(r)
	if err != nil {
		return // still down; nothing new to log
	}
	drainBody(response)
	info := n.headers.ReadResponse(response.StatusCode, response.Header)
	b.mu.Lock()
	defer b.mu.Unlock()
	isKnown := info.Instance != "" && info.Instance == b.lastReport.Instance
	if isKnown && b.health == fleet.Serving {
		b.tryLimited(began, info)
		return
	}
	if response.StatusCode != http.StatusOK || info.IsLeaving || b.isLeaving && isKnown {
		return
	}
	if !isKnown {
		if b.lastReport.Instance != "" || info.Instance == "" {
			return // wait for the report of the new incarnation, which has its start time and warm-up
		}
		if b.departures.log.Includes(time.Now(), info.Instance, time.Time{}) {
			return // wait for a report, which tells by its start time whether this is a later incarnation
		}
		if !b.departures.verifier.IsUsable(time.Now(), info.Instance, time.Time{}) {
			return
		}
		b.lastReport.Instance, b.lastReport.Service = info.Instance, *n.service.Load()
	}
	if !b.isUsable() {
		return
	}
	n.log.Info().Str("event", "dependency_regained").Str("dependency", "backend_server").Str("instance_id", string(info.Instance)).
		Int("slots", info.Slots).Msg("backend server passed its health check; accepting attempts")
	b.openGate(info.Slots)
}

// failureRate measures the share of recent attempts that failed at the backend server, in fixed windows.
type failureRate struct {
	mu          sync.Mutex
	windowStart request.Instant
	total       int
	failed      int
	rate        float64
}

const (
	// failureWindow is the length of a window.
	failureWindow = 500 * time.Millisecond
	// minFailureSamples is the number of attempts below which a window is not representative.
	minFailureSamples = 8
)

// reset discards the attempts of an earlier incarnation.
func (f *failureRate) reset() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.windowStart, f.total, f.failed, f.rate = 0, 0, 0, 0
}

// observe counts one attempt.
func (f *failureRate) observe(now request.Instant, isFailure bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rollWindow(now)
	f.total++
	if isFailure {
		f.failed++
	}
}

// rollWindow starts a new window if the current one is over; a window with too few attempts halves the share.
func (f *failureRate) rollWindow(now request.Instant) {
	if now.Sub(f.windowStart) < failureWindow {
		return
	}
	if f.total >= minFailureSamples {
		f.rate = float64(f.failed) / float64(f.total)
	} else {
		f.rate /= 2
	}
	f.windowStart, f.total, f.failed = now, 0, 0
}

// percent returns the share of failed attempts in percent.
func (f *failureRate) percent(now request.Instant) uint8 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rollWindow(now)
	return uint8(100 * f.rate)
}
