package mesh

import (
	"context"
	"errors"
	"math"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/sapphiretack/sapphiretack/fleet"
	"github.com/sapphiretack/sapphiretack/placement"
	"github.com/sapphiretack/sapphiretack/routing"
)

const (
	// tickInterval is the time between ticks, each of which sends gossip and updates placement.
	tickInterval = 100 * time.Millisecond
	// ticksPerPlanLine is the number of ticks per plan log line.
	ticksPerPlanLine = 10
	// ticksPerRemoteReport is the number of ticks per message about crashes to another zone.
	ticksPerRemoteReport = 2
	// loadTimeConstant is the time constant of the moving average of the backend server's load.
	loadTimeConstant = 200 * time.Millisecond
	// forgetAfter is the time without entries after which a node is removed from the fleet table.
	forgetAfter = 5 * time.Minute
	// maxDatagramBytes is the receive buffer size in bytes, enough for the largest gossip message.
	maxDatagramBytes = 2 << 10
)

// tickState is the state that ticks carry over.
type tickState struct {
	mu   sync.Mutex
	last time.Time
	load float64
	// late is the longest delay of a tick since the last plan log line; it grows when the node is short of CPU time.
	late   time.Duration
	number uint64
}

// tickLoop runs a tick at once and then at each interval.
func (n *Node) tickLoop(ctx context.Context) error {
	n.tick()
	return runEvery(ctx, tickInterval, n.tick)
}

// runEvery calls f at each interval until the context is cancelled.
func runEvery(ctx context.Context, interval time.Duration, f func()) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			f()
		}
	}
}

// tick renews the entry of this node, sends gossip and updates the planner, the metrics and the plan log line.
func (n *Node) tick() {
	n.ticks.mu.Lock()
	defer n.ticks.mu.Unlock()
	wall := time.Now()
	elapsed := wall.Sub(n.ticks.last)
	if elapsed <= 0 || elapsed > time.Minute {
		elapsed = tickInterval
	}
	n.ticks.last = wall
	n.ticks.number++
	n.ticks.late = max(n.ticks.late, elapsed-tickInterval)
	now := n.now()
	entry, load := n.backend.gossipEntry(now)
	n.ticks.load += (1 - math.Exp(-elapsed.Seconds()/loadTimeConstant.Seconds())) * (load - n.ticks.load)
	entry.LoadPermille = uint16(min(1000*n.ticks.load, math.MaxUint16))
	entry.Incarnation = n.incarnation
	entry.ConfigurationVersion = n.configuration.Version()
	entry.Rates = n.rates.endInterval(elapsed)

	n.fleetMu.Lock()
	n.fleet.RenewSelf(now, entry)
	messages := n.fleet.Messages(now)
	known := n.fleet.Snapshot(now)
	n.fleet.RemoveOlder(now, forgetAfter)
	n.fleetMu.Unlock()

	own := n.updatePlanner(known)
	n.fleetMu.Lock()
	n.fleet.SetSummaries(now, own)
	n.fleetMu.Unlock()
	for _, m := range messages {
		n.sendMessage(m)
	}
	otherZones := 0
	if n.ticks.number%ticksPerRemoteReport == 0 {
		otherZones = 1
	}
	n.observePeerCrashes(known)
	n.tellCrashes(1, otherZones)
	n.retryBudgetMu.Lock()
	retriesLeft := n.retryBudget.Remaining(now, entry.Service)
	n.retryBudgetMu.Unlock()
	view := newFleetView(known)
	n.metrics.updateGauges(entry, n.ticks.load, view, retriesLeft)
	if n.ticks.number%ticksPerPlanLine == 0 {
		n.logPlan(view, n.ticks.late)
		n.ticks.late = 0
	}
}

// updatePlanner updates the planner and the minimum of the retry budget from a view of the fleet, and returns the summaries of
// the local zone.
func (n *Node) updatePlanner(view fleet.View) []fleet.Summary {
	n.retryBudgetMu.Lock()
	n.retryBudget.SetMinRetries(uint32(n.settings.RetrySlack / 3 / max(1, view.LiveNodes())))
	n.retryBudgetMu.Unlock()
	c := n.configuration.Load()
	n.plannerMu.Lock()
	defer n.plannerMu.Unlock()
	n.planner.Update(n.now(), view, func(id routing.RouteID) (placement.Route, bool) {
		cost := n.costs.Of(id)
		if c == nil || cost == nil {
			return placement.Route{}, false
		}
		r, ok := c.Route(id)
		if !ok {
			return placement.Route{}, false
		}
		bound := r.TargetLatency
		if r.Timeout > 0 && r.Timeout < bound {
			bound = r.Timeout
		}
		return placement.Route{Rank: r.Rank, Service: r.MainService(), Cost: cost, LatencyBound: bound}, true
	})
	return placement.Summarize(placement.DefaultSettings(), n.settings.Zone, view, n.rng)
}

// sendMessage sends one gossip message.
func (n *Node) sendMessage(m fleet.Message) {
	data, err := fleet.Encode(m)
	if err != nil {
		n.log.Warn().Str("event", "message_failed").Err(err).Msg("cannot encode a gossip message; message not sent")
		return
	}
	to := netip.AddrPortFrom(m.To, n.settings.Gossip.Port())
	if _, err := n.gossipConn.WriteToUDPAddrPort(data, to); err != nil {
		// No retry: the next tick sends newer entries. Other nodes see a persistent loss as a growing age of this node's entry.
		n.metrics.gossipErrors.Inc(1)
		return
	}
	n.metrics.gossipSent.Inc(int64(len(data)))
}

// receiveLoop merges gossip messages of other nodes into the fleet table, and fetches a newer configuration they announce.
func (n *Node) receiveLoop(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = n.gossipConn.Close() })
	defer stop()
	buffer := make([]byte, maxDatagramBytes)
	for {
		size, from, err := n.gossipConn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return nil
		}
		if err != nil {
			n.metrics.gossipErrors.Inc(1)
			continue
		}
		m, err := fleet.Decode(buffer[:size])
		if err != nil {
			n.log.Warn().Str("event", "message_unreadable").Str("from", from.String()).Err(err).Msg("cannot decode a gossip message from another node; message ignored")
			continue
		}
		n.fleetMu.Lock()
		version, holder := n.fleet.Merge(n.now(), m.Entries)
		n.fleet.MergeSummaries(n.now(), m.Summaries)
		told, confirmed := n.fleet.TakeToldDepartures(), n.fleet.TakeConfirmed()
		n.fleetMu.Unlock()
		n.backend.confirm(confirmed)
		n.backend.learnDepartures(told)
		n.mergeCrashes(m.Crashes)
		if m.ConfigurationVersion > version {
			version, holder = m.ConfigurationVersion, from.Addr().Unmap()
		}
		n.readiness.hear(version)
		if version > n.configuration.Version() {
			n.scheduleFetch(ctx, holder, version)
		}
	}
}

// UsableInstances returns the number of instances that placement can use.
func (n *Node) UsableInstances() int {
	n.plannerMu.Lock()
	defer n.plannerMu.Unlock()
	return n.planner.UsableInstances()
}
