package mesh

import (
	"time"

	"github.com/sapphiretack/sapphiretack/fleet"
	"github.com/sapphiretack/sapphiretack/placement"
	"github.com/sapphiretack/sapphiretack/request"
)

// scheduleToken has the gate start the next attempt that waits for the rate limit. The caller holds b.mu.
func (b *backend) scheduleToken() {
	wait, ok := b.gate.NextToken(b.node.now())
	if !ok || b.isTokenScheduled {
		return
	}
	b.isTokenScheduled = true
	time.AfterFunc(wait, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.isTokenScheduled = false
		b.applyActions(b.gate.Tick(b.node.now()))
	})
}

// readAnnouncements applies what the backend server announces in the response to a request, or to a health check, that an incarnation
// began to run at the given time.
func (b *backend) readAnnouncements(incarnation request.InstanceID, began request.Instant, info ResponseInfo) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if incarnation != b.lastReport.Instance {
		return
	}
	n := b.node
	b.applyRateLimit(began, info)
	if info.HasBadRateLimit != b.hasBadRateLimit {
		b.hasBadRateLimit = info.HasBadRateLimit
		if info.HasBadRateLimit {
			n.log.Warn().Str("event", "server_limit_unreadable").Str("instance_id", string(incarnation)).
				Msg("rate limit in a response of the backend server is not a number of at least 0; ignored")
		}
	}
	if info.IsLeaving {
		b.depart(incarnation, b.lastReport.StartTime, "the backend server says so in a response")
	}
}

// applyRateLimit passes the rate limit of a response on to the gate. Only a response that is signed shows that there is none: a refusal
// may be short of headers. The caller holds b.mu.
func (b *backend) applyRateLimit(began request.Instant, info ResponseInfo) {
	now := b.node.now()
	before, wasSet := b.gate.RateLimit()
	switch {
	case info.HasRateLimit:
		b.applyActions(b.gate.SetRateLimit(now, info.RateLimit))
	case info.IsSigned && !info.HasBadRateLimit:
		b.applyActions(b.gate.OmitRateLimit(now, began))
	}
	if limit, isSet := b.gate.RateLimit(); isSet != wasSet || limit != before {
		b.node.log.Info().Str("event", "server_limit").Str("instance_id", string(b.lastReport.Instance)).Bool("limited", isSet).
			Float64("per_second", limit).Msg("backend server changed the rate of requests that it takes")
	}
}

const (
	// limitCheckInterval is the time between health checks of a backend server that takes hardly any requests: without requests there are
	// no responses that could tell when it takes more again.
	limitCheckInterval = time.Second
	// trialRate is the rate limit, in requests per second, of a backend server that took fewer and does not say so in a health check.
	trialRate = 1
)

// needsLimitCheck reports whether a health check is due because the backend server takes hardly any requests. The caller holds b.mu.
func (b *backend) needsLimitCheck(now request.Instant) bool {
	limit, isSet := b.gate.RateLimit()
	if !isSet || limit >= trialRate || b.health != fleet.Serving || now.Sub(b.limitChecked) < limitCheckInterval {
		return false
	}
	b.limitChecked = now
	return true
}

// tryLimited applies the response to a health check of a backend server that takes hardly any requests. The caller holds b.mu.
func (b *backend) tryLimited(began request.Instant, info ResponseInfo) {
	b.applyRateLimit(began, info)
	if limit, isSet := b.gate.RateLimit(); isSet && limit < trialRate && !info.HasRateLimit {
		b.applyActions(b.gate.SetRateLimit(b.node.now(), trialRate))
	}
}

// noteDeparture keeps further requests away from a backend server whose response to a request of this node says that it leaves.
func (n *Node) noteDeparture(t placement.Target, o responded) {
	if !n.headers.ReadResponse(o.status, o.header).IsLeaving {
		return
	}
	n.fleetMu.Lock()
	n.fleet.MarkLeaving(n.now(), t.Instance)
	n.fleet.HoldDeparture(n.now(), t.Address, t.Instance)
	n.fleetMu.Unlock()
}
