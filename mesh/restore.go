package mesh

import (
	"context"
	"slices"
	"time"

	"github.com/sapphiretack/sapphiretack/fleet"
	"github.com/sapphiretack/sapphiretack/request"
)

// maxRestoreDelay bounds the random time after which a watcher looks for lost rows, so that one of them writes and the others find the rows.
const maxRestoreDelay = time.Second

// restoreLoop writes the rows of the nodes again after the store has come back from a copy that lacks some of them.
func (n *Node) restoreLoop(ctx context.Context) error {
	era, err := n.store.AwaitEra(ctx, 0)
	for err == nil {
		if era, err = n.store.AwaitEra(ctx, era); err != nil {
			break
		}
		n.log.Warn().Str("event", "store_restored").Uint64("era", uint64(era)).Msg("the store has come back from a copy; rows that it lacks are written again")
		n.hasLostCosts.Store(true)
		n.plannerMu.Lock()
		delay := time.Duration(n.rng.Int64N(int64(maxRestoreDelay)))
		n.plannerMu.Unlock()
		request.Sleep(ctx, delay)
		n.backend.restoreDepartures()
		n.restoreAddresses(ctx)
		n.restoreCrashes(ctx)
	}
	return nil
}

// restoreCrashes writes the crashes of requests in quarantine again, if this node watches the store, and removes those of requests that have
// completed since the copy was made.
func (n *Node) restoreCrashes(ctx context.Context) {
	n.fleetMu.Lock()
	isWatcher := n.fleet.IsWatcher(n.now())
	n.fleetMu.Unlock()
	if !isWatcher {
		return
	}
	n.readCrashes(ctx)
	n.crashMu.Lock()
	quarantined := n.crashes.Quarantined(n.now())
	n.crashMu.Unlock()
	n.storeCrashes(quarantined...)
}

// restoreAddresses writes the addresses of live nodes of the zone that the store lacks, if this node watches the store, retrying until that
// succeeds. Nodes that start later find the others by these rows.
func (n *Node) restoreAddresses(ctx context.Context) {
	for backoff := minBackoff; ctx.Err() == nil; n.backOff(ctx, &backoff) {
		n.fleetMu.Lock()
		isWatcher, live := n.fleet.IsWatcher(n.now()), n.fleet.LiveEndpoints(n.now())
		n.fleetMu.Unlock()
		if !isWatcher {
			return
		}
		stored, err := n.store.Addresses(ctx)
		if err == nil {
			n.fleetMu.Lock()
			n.fleet.AddEndpoints(n.now(), stored) // nodes that found no other one, because they started after the restore
			n.fleetMu.Unlock()
			live = slices.DeleteFunc(live, func(e fleet.Endpoint) bool { return slices.Contains(stored, e) })
			err = n.store.Register(ctx, live...)
		}
		if err == nil {
			n.log.Info().Str("event", "addresses_restored").Int("nodes", len(live)).Msg("addresses that the store lacked are written")
			return
		}
		n.log.Info().Str("event", "addresses_not_restored").Err(err).Msg("cannot write the addresses that the store lacks; retrying")
	}
}
