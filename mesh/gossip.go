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
	// tickInterval is the time between two rounds of messages and decisions on placement.
	tickInterval = 100 * time.Millisecond
	// planLines is the number of rounds for which one line tells what the decisions are based on.
	planLines = 10
	// loadTime is the time over which the load of the backend server is averaged.
	loadTime = 200 * time.Millisecond
	// forgetTime is the silence after which a node is removed from the table.
	forgetTime = 5 * time.Minute
	// maxDatagram holds the largest message of another node.
	maxDatagram = 2 << 10
)

// tickState belongs to the rounds.
type tickState struct {
	mu   sync.Mutex
	last time.Time
	load float64
	// late is the longest delay of a round since the last line about the plan; a node that lacks processor time is late.
	late   time.Duration
	number uint64
}

func (n *Node) tickLoop(ctx context.Context) error {
	n.tick()
	return every(ctx, tickInterval, n.tick)
}

// every calls a function at an interval until the context ends.
func every(ctx context.Context, interval time.Duration, f func()) error {
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

// tick renews the own entry, sends messages and updates the planner.
func (n *Node) tick() {
	n.round.mu.Lock()
	defer n.round.mu.Unlock()
	wall := time.Now()
	elapsed := wall.Sub(n.round.last)
	if elapsed <= 0 || elapsed > time.Minute {
		elapsed = tickInterval
	}
	n.round.last = wall
	n.round.number++
	n.round.late = max(n.round.late, elapsed-tickInterval)
	now := n.now()
	entry, load := n.backend.entry(now)
	n.round.load += (1 - math.Exp(-elapsed.Seconds()/loadTime.Seconds())) * (load - n.round.load)
	entry.Load = uint16(min(1000*n.round.load, math.MaxUint16))
	entry.Incarnation = n.incarnation
	entry.Configuration = n.configuration.Version()
	entry.Rates = n.rates.roll(elapsed)

	n.fleetMu.Lock()
	n.fleet.Renew(now, entry)
	messages := n.fleet.Messages(now)
	instances := n.fleet.Snapshot(now)
	n.fleet.Forget(now, forgetTime)
	n.fleetMu.Unlock()

	n.plan(instances)
	for _, m := range messages {
		n.sendEntries(m)
	}
	n.ratioMu.Lock()
	retriesLeft := n.ratio.Left(now, entry.Service)
	n.ratioMu.Unlock()
	view := viewOf(instances)
	n.metrics.gauge(entry, n.round.load, view, retriesLeft)
	if n.round.number%planLines == 0 {
		n.logPlan(view, n.round.late)
		n.round.late = 0
	}
}

// plan gives the planner the present state.
func (n *Node) plan(instances []fleet.Instance) {
	fresh := 0
	for _, i := range instances {
		if i.IsFresh {
			fresh++
		}
	}
	n.ratioMu.Lock()
	n.ratio.SetFloor(uint32(n.settings.RetrySlack / 3 / max(1, fresh)))
	n.ratioMu.Unlock()
	c := n.configuration.Load()
	n.planMu.Lock()
	defer n.planMu.Unlock()
	n.planner.Update(n.now(), instances, func(id routing.RouteID) (placement.Route, bool) {
		cost := n.costs.Of(id)
		if c == nil || cost == nil {
			return placement.Route{}, false
		}
		r, ok := c.Route(id)
		if !ok {
			return placement.Route{}, false
		}
		bound := r.Target
		if r.Timeout > 0 && r.Timeout < bound {
			bound = r.Timeout
		}
		return placement.Route{Rank: r.Rank, Service: r.Main(), Cost: cost, Bound: bound}, true
	})
}

func (n *Node) sendEntries(m fleet.Message) {
	data, err := fleet.Encode(m.Entries)
	if err != nil {
		n.log.Warn().Str("event", "message_failed").Err(err).Msg("entries cannot be encoded")
		return
	}
	to := netip.AddrPortFrom(m.To, n.settings.Gossip.Port())
	if _, err := n.gossip.WriteToUDPAddrPort(data, to); err != nil {
		// The next round sends newer entries; the loss shows as the age of the own entry at other nodes.
		n.metrics.gossipErrors.Inc(1)
		return
	}
	n.metrics.gossipSent.Inc(int64(len(data)))
}

// receiveLoop takes over what other nodes know.
func (n *Node) receiveLoop(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = n.gossip.Close() })
	defer stop()
	buffer := make([]byte, maxDatagram)
	for {
		size, from, err := n.gossip.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return nil
		}
		if err != nil {
			n.metrics.gossipErrors.Inc(1)
			continue
		}
		entries, err := fleet.Decode(buffer[:size])
		if err != nil {
			n.log.Warn().Str("event", "message_unreadable").Str("from", from.String()).Err(err).Msg("message of another node cannot be read")
			continue
		}
		n.fleetMu.Lock()
		version, holder := n.fleet.Merge(n.now(), entries)
		n.fleetMu.Unlock()
		if version > n.configuration.Version() {
			n.fetchLater(ctx, holder, version)
		}
	}
}

// Reachable returns the number of instances that placement may use.
func (n *Node) Reachable() int {
	n.planMu.Lock()
	defer n.planMu.Unlock()
	return n.planner.Usable()
}
