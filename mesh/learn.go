package mesh

import (
	"context"
	"maps"
	"net/netip"
	"time"

	"github.com/sapphiretack/sapphiretack/fleet"
	"github.com/sapphiretack/sapphiretack/routing"
	"github.com/sapphiretack/sapphiretack/tree"
)

const (
	// costInterval is the time between two looks at whether costs have changed; a first write comes early, since all nodes may
	// start anew at any time.
	costInterval = 3 * time.Second
	// costChange is the share by which a cost has to change to be written again; admission hardly differs for less.
	costChange = 0.3
)

// costLoop reads what requests cost before the node has served any, and keeps what it learns in the store. A node that does
// not know the cost of a route admits all its requests; when all nodes start at once, these fill the queues of the deepest
// service for seconds.
func (n *Node) costLoop(ctx context.Context) error {
	known := n.readCosts(ctx)
	return every(ctx, costInterval, func() {
		if !n.keepsCosts() {
			return
		}
		n.planMu.Lock()
		changed := n.costs.Changed(known, costChange)
		n.planMu.Unlock()
		if len(changed) == 0 {
			return
		}
		if err := n.directory.KeepCosts(ctx, changed); err != nil {
			n.log.Info().Str("event", "costs_not_kept").Err(err).Int("routes", len(changed)).Msg("the costs of routes cannot be written; the next round tries again")
			return
		}
		maps.Copy(known, changed)
		n.log.Info().Str("event", "costs_kept").Int("routes", len(changed)).Msg("the costs of routes are in the store")
	})
}

// readCosts reads the costs that other nodes have learned; the result is empty if the context ends before.
func (n *Node) readCosts(ctx context.Context) map[routing.RouteID]tree.Cost {
	for backoff := minBackoff; ctx.Err() == nil; {
		known, err := n.directory.Costs(ctx)
		if err != nil {
			n.log.Info().Str("event", "costs_unread").Err(err).Msg("the costs of routes cannot be read; they are learned from requests until they can")
			n.pause(ctx, &backoff)
			continue
		}
		n.planMu.Lock()
		n.costs.Seed(known)
		n.planMu.Unlock()
		n.log.Info().Str("event", "costs").Int("routes", len(known)).Msg("the costs of routes are known")
		return known
	}
	return map[routing.RouteID]tree.Cost{}
}

// keepsCosts reports whether this node writes costs: the one with the lowest address does. While nodes disagree on which one
// it is, several write, and the last one wins.
func (n *Node) keepsCosts() bool {
	n.fleetMu.Lock()
	instances := n.fleet.Snapshot(n.now())
	n.fleetMu.Unlock()
	return isLowest(instances, n.settings.Address)
}

func isLowest(instances []fleet.Instance, own netip.Addr) bool {
	for _, in := range instances {
		if in.IsFresh && in.Address.Less(own) {
			return false
		}
	}
	return true
}
