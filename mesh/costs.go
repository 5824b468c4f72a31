package mesh

import (
	"context"
	"maps"
	"net/netip"
	"time"

	"github.com/sapphiretack/sapphiretack/fleet"
	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/routing"
	"github.com/sapphiretack/sapphiretack/tree"
)

const (
	// costInterval is the time between checks for changed costs. It is short so that costs are stored soon after a start: all
	// nodes may restart at any time and would lose them.
	costInterval = 3 * time.Second
	// minCostChange is the relative change above which a cost is written again; smaller changes hardly affect admission.
	minCostChange = 0.3
)

// costLoop loads the costs of routes at the start and writes changed costs to the store. A node that does not know the cost
// of a route admits all its requests; when all nodes start at once, these fill the queues of the deepest service for seconds.
func (n *Node) costLoop(ctx context.Context) error {
	stored := n.readCosts(ctx)
	return runEvery(ctx, costInterval, func() {
		if !n.isCostWriter() {
			return
		}
		if n.hasLostCosts.Swap(false) {
			found, err := n.store.Costs(ctx)
			if err != nil {
				n.hasLostCosts.Store(true)
				n.log.Info().Str("event", "costs_unread").Err(err).Msg("cannot read route costs from the restored store; retrying at the next interval")
				return
			}
			stored = found
		}
		n.plannerMu.Lock()
		changed := n.costs.Changed(stored, minCostChange)
		n.plannerMu.Unlock()
		if len(changed) == 0 {
			return
		}
		if err := n.store.WriteCosts(ctx, changed); err != nil {
			n.log.Info().Str("event", "costs_not_kept").Err(err).Int("routes", len(changed)).Msg("cannot write route costs to the store; retrying at the next interval")
			return
		}
		maps.Copy(stored, changed)
		n.log.Info().Str("event", "costs_kept").Int("routes", len(changed)).Msg("route costs written to the store")
	})
}

// readCosts reads the stored costs, retrying until that succeeds; the result is empty if the context is cancelled first.
func (n *Node) readCosts(ctx context.Context) map[routing.RouteID]tree.Cost {
	for backoff := minBackoff; ctx.Err() == nil; {
		stored, err := n.store.Costs(ctx)
		if err != nil {
			n.log.Info().Str("event", "costs_unread").Err(err).Msg("cannot read route costs from the store; measuring them from requests until the store responds")
			n.backOff(ctx, &backoff)
			continue
		}
		n.plannerMu.Lock()
		n.costs.Seed(stored)
		n.plannerMu.Unlock()
		n.log.Info().Str("event", "costs").Int("routes", len(stored)).Msg("route costs read from the store")
		return stored
	}
	return map[routing.RouteID]tree.Cost{}
}

// isCostWriter reports whether this node writes costs, which is the task of the one with the lowest address in the first zone.
// While nodes disagree on which one that is, several write and the last write wins.
func (n *Node) isCostWriter() bool {
	n.fleetMu.Lock()
	view := n.fleet.Snapshot(n.now())
	n.fleetMu.Unlock()
	return isFirst(view, n.settings.Zone, n.settings.Address)
}

// isFirst reports whether no other live zone has a lower name than own, and no live node of the zone a lower address.
func isFirst(view fleet.View, zone request.ZoneID, own netip.Addr) bool {
	for i := range view.Summaries {
		if view.Summaries[i].Zone < zone {
			return false
		}
	}
	for _, in := range view.Instances {
		if in.IsFresh && (in.Zone < zone || in.Zone == zone && in.Address.Less(own)) {
			return false
		}
	}
	return true
}
