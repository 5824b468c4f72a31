package mesh

import (
	"time"

	"github.com/sapphiretack/sapphiretack/departure"
	"github.com/sapphiretack/sapphiretack/fleet"
	"github.com/sapphiretack/sapphiretack/gate"
	"github.com/sapphiretack/sapphiretack/request"
)

// Report applies a status report of the local backend server. It returns false if the report names another address or service than those
// of the local backend server and must not be acknowledged. It waits until a departure is in the store, for half a second at most.
func (n *Node) Report(r Report) bool {
	if r.State != StateGone && r.Service != *n.service.Load() {
		n.rereadSettings()
	}
	isApplied := n.backend.report(r)
	if isApplied && r.State != StateReady {
		n.awaitStoredDepartures()
	}
	return isApplied
}

func (b *backend) report(r Report) bool {
	n := b.node
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.State == StateGone {
		b.depart(r.Instance, r.StartTime, "the backend server has ended its registration")
		return true
	}
	if r.Address != b.address {
		n.log.Warn().Str("event", "report_refused").Str("instance_id", string(r.Instance)).Str("address", r.Address.String()).
			Str("expected", b.address.String()).Msg("report refused: its address is not that of the local backend server; correct the address in the settings or at the backend server")
		return false
	}
	if expected := *n.service.Load(); r.Service != expected {
		n.log.Warn().Str("event", "report_refused").Str("instance_id", string(r.Instance)).Str("service", string(r.Service)).
			Str("expected", string(expected)).Msg("report refused: its service is not that of the settings; it is late, or of another writer")
		return false
	}
	if r.State == StateLeaving {
		b.depart(r.Instance, r.StartTime, "the backend server leaves") // whatever the sequence number: an incarnation that leaves does not come back
	} else if b.departures.log.Includes(time.Now(), r.Instance, r.StartTime) {
		n.log.Info().Str("event", "report_of_departed").Str("instance_id", string(r.Instance)).Int64("sequence", r.Sequence).
			Time("born", r.StartTime).Msg("report ignored: its incarnation has left")
		return true
	}
	if !b.isNewerReport(r) {
		n.log.Info().Str("event", "report_old").Str("instance_id", string(r.Instance)).Int64("sequence", r.Sequence).
			Time("born", r.StartTime).Str("current", string(b.lastReport.Instance)).Msg("report ignored: it is from an older incarnation or its sequence number is not newer")
		return true
	}
	isNew := r.Instance != b.lastReport.Instance || !r.StartTime.Equal(b.lastReport.StartTime)
	if isNew {
		if b.hasEnded && departure.IsKnown(b.lastReport.StartTime) {
			// Its reports may still arrive, and look newer if the clock was set back.
			b.departures.log.Add(departure.Departure{Incarnation: departure.Incarnation(b.lastReport.Instance, b.lastReport.StartTime), Time: time.Now()})
		}
		if r.Instance != b.lastReport.Instance || !b.lastReport.StartTime.IsZero() {
			b.recordCrash() // the earlier incarnation may have gone silent without closing its connections
			b.gate.AwaitFirstResponse()
			b.hasBadRateLimit = false
		}
		b.crashed = ""
		n.log.Info().Str("event", "lifetime").Str("instance_id", string(r.Instance)).Str("service", string(r.Service)).
			Str("before", string(b.lastReport.Instance)).Int("slots", r.Slots).Dur("cold", r.WarmUp).Msg("new incarnation of the backend server")
		b.isLeaving = false
		b.failures.reset()
		b.forgetDepartures(r.StartTime)
	}
	isFirst := isNew || !b.hasSlots
	b.lastReport, b.hasSlots, b.hasEnded = r, r.Slots > 0, false
	b.departures.verifier.Report(time.Now(), r.Instance, r.StartTime)
	if r.State == StateLeaving {
		b.startLeaving(fleet.Departed, "the backend server leaves")
		return true
	}
	if isFirst {
		b.gate.StartWarmUp(n.now(), r.WarmUp)
	}
	if b.isLeaving && !n.isStopping.Load() && !b.departures.log.Includes(time.Now(), r.Instance, r.StartTime) {
		b.isLeaving = false // another incarnation under the identifier has left
	}
	switch {
	case b.isLeaving:
	case b.isUsable():
		b.openGate(r.Slots)
	case b.health == fleet.Serving:
		b.closeIfUnusable()
	default:
		n.log.Info().Str("event", "report_uncertain").Str("instance_id", string(r.Instance)).Int64("sequence", r.Sequence).Time("born", r.StartTime).
			Msg("report does not open the gate: the backend server may have left before this node started, and neither the store nor another node could tell")
	}
	return true
}

// isNewerReport reports whether r is newer than the latest report by start time and sequence number: reports can arrive out
// of order. One of another incarnation than that which has ended is newer in any case.
func (b *backend) isNewerReport(r Report) bool {
	c := b.lastReport
	switch {
	case b.hasEnded && (r.Instance != c.Instance || !r.StartTime.Equal(c.StartTime)):
		return true
	case r.StartTime.Before(c.StartTime):
		return false
	case r.StartTime.After(c.StartTime), r.Instance != c.Instance:
		return true
	}
	return r.Sequence > c.Sequence
}

// openGate marks the backend server as serving and opens its gate, unless the node is stopping. The caller holds b.mu.
func (b *backend) openGate(slots int) {
	if b.node.isStopping.Load() {
		return
	}
	b.health = fleet.Serving
	b.gate.Open()
	if slots > 0 {
		b.applyActions(b.gate.SetSlots(b.node.now(), slots))
	}
}

// startLeaving marks the backend server as leaving or departed, which the next tick gossips, and closes the gate after a delay. The
// caller holds b.mu.
func (b *backend) startLeaving(health fleet.Health, reason string) {
	if b.isLeaving && (b.health == health || b.health == fleet.Departed) {
		return
	}
	wasLeaving := b.isLeaving
	b.isLeaving = true
	b.health = health
	incarnation := b.lastReport.Instance
	b.node.log.Info().Str("event", "leaving").Str("instance_id", string(incarnation)).Str("why", reason).Msg("backend server is leaving and accepts no new requests")
	if wasLeaving {
		return
	}
	time.AfterFunc(min(gateCloseDelay, b.node.settings.DrainTime/4), func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.isLeaving && b.lastReport.Instance == incarnation {
			b.applyActions(b.gate.Close(gate.Leaving))
		}
	})
}

// announceLeaving marks the backend server as leaving because the node stops, and gossips that at once.
func (b *backend) announceLeaving(reason string) {
	b.mu.Lock()
	isNew := !b.isLeaving
	b.startLeaving(fleet.Leaving, reason)
	b.mu.Unlock()
	if isNew {
		b.node.tick()
	}
}

// LogUnreadableReport logs a report that cannot be decoded.
func (n *Node) LogUnreadableReport(instance request.InstanceID, err error) {
	n.log.Warn().Str("event", "report_unreadable").Str("instance_id", string(instance)).Err(err).Msg("cannot decode a report of the backend server; report ignored")
}
