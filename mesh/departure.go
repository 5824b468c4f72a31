package mesh

import (
	"context"
	"slices"
	"time"

	"github.com/sapphiretack/sapphiretack/departure"
	"github.com/sapphiretack/sapphiretack/fleet"
	"github.com/sapphiretack/sapphiretack/gate"
	"github.com/sapphiretack/sapphiretack/request"
)

const (
	// departureStoreTime is how long the acknowledgement of a departure waits for the store. Backend servers wait for a second.
	departureStoreTime = 500 * time.Millisecond
	// departureStoreInterval is the minimum time between writes of departures, which a faulty backend server could announce for ever.
	departureStoreInterval = 100 * time.Millisecond
	// maxRemovedDepartures is the number of departures that are removed at once. The store bounds the size of a transaction.
	maxRemovedDepartures = 64
)

// departures are those of the backend servers beside the node, and what the store does not know of them yet. The lock of the backend guards
// them.
type departures struct {
	log departure.Log
	// verifier tells which incarnations may be used although they may have left before this node started.
	verifier *departure.Verifier
	// unstored and obsolete are to be written to the store and removed from it.
	unstored, obsolete []departure.Departure
	// stored is closed once unstored is empty; it is nil if it is empty already.
	stored chan struct{}
}

// store has departures written to the store.
func (d *departures) store(left ...departure.Departure) {
	if len(left) == 0 {
		return
	}
	if d.stored == nil {
		d.stored = make(chan struct{})
	}
	d.unstored, d.obsolete = append(without(d.unstored, left), left...), without(d.obsolete, left)
	// The log drops the earliest departures, which need not be stored either.
	known := d.log.All()
	d.unstored = slices.DeleteFunc(d.unstored, func(u departure.Departure) bool { return !slices.Contains(known, u) })
}

// remove has departures removed from the store.
func (d *departures) remove(left ...departure.Departure) {
	d.obsolete = append(without(d.obsolete, left), left...)
	d.written(left, nil)
}

// written records what has been written to the store.
func (d *departures) written(added, removed []departure.Departure) {
	d.unstored, d.obsolete = without(d.unstored, added), without(d.obsolete, removed)
	if len(d.unstored) == 0 && d.stored != nil {
		close(d.stored)
		d.stored = nil
	}
}

// without returns the departures of a list whose incarnations are not among others.
func without(list, others []departure.Departure) []departure.Departure {
	return slices.DeleteFunc(list, func(l departure.Departure) bool {
		return slices.ContainsFunc(others, func(o departure.Departure) bool { return o.Incarnation == l.Incarnation })
	})
}

// depart records that an incarnation of the backend server leaves, whichever is the current one. The caller holds b.mu.
func (b *backend) depart(id request.InstanceID, start time.Time, reason string) {
	if id == b.lastReport.Instance {
		if !departure.IsKnown(start) {
			start = b.lastReport.StartTime
		} else if !departure.IsKnown(b.lastReport.StartTime) {
			b.lastReport.StartTime = start // a health check was first to find the incarnation
		}
	}
	if b.lastReport.Instance == "" {
		// Other nodes learn of the departure of the current incarnation only.
		b.lastReport.Instance, b.lastReport.StartTime = id, start
	}
	d := departure.Departure{Incarnation: departure.Incarnation(id, start), Time: time.Now()}
	if b.departures.log.Add(d) {
		b.departures.store(d)
		wake(b.node.departureUnstored)
	}
	b.closeIfDeparted(reason)
	if id == b.lastReport.Instance && !b.isLeaving {
		// Start times do not tell for certain which one runs if the clock was set back. A report of one that has not left opens the gate again.
		b.startLeaving(fleet.Leaving, reason)
	}
}

// closeIfDeparted starts to close the gate if the current incarnation has left. The caller holds b.mu.
func (b *backend) closeIfDeparted(reason string) {
	if b.departures.log.Includes(time.Now(), b.lastReport.Instance, b.lastReport.StartTime) {
		b.startLeaving(fleet.Departed, reason)
	}
}

// forgetDepartures removes the departures from before a new incarnation started: the address of the backend server is in use again, so
// none of the earlier incarnations serves there. The caller holds b.mu.
func (b *backend) forgetDepartures(start time.Time) {
	if removed := b.departures.log.RemoveBefore(start); len(removed) > 0 {
		b.departures.remove(removed...)
		wake(b.node.departureUnstored)
	}
}

// learnDepartures applies departures that this node acknowledged before its last start, as other nodes tell it.
func (b *backend) learnDepartures(told []fleet.ToldDeparture) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, t := range told {
		d := departure.Departure{Incarnation: t.Instance, Time: time.Now().Add(-t.Age)}
		if b.learn(d, "other nodes") {
			b.departures.store(d)
			wake(b.node.departureUnstored)
		}
	}
	b.closeIfDeparted("other nodes know of its departure")
}

// isUsable reports whether the current incarnation is of the service that the settings name, and may be used as far as the node knows of
// departures from before its start. The caller holds b.mu.
func (b *backend) isUsable() bool {
	return b.lastReport.Service == *b.node.service.Load() && b.departures.verifier.IsUsable(time.Now(), b.lastReport.Instance, b.lastReport.StartTime)
}

// closeIfUnusable closes the gate if the current incarnation may have left before the node started. Its reports open the gate again. The caller
// holds b.mu.
func (b *backend) closeIfUnusable() {
	if b.health != fleet.Serving || b.isUsable() {
		return
	}
	b.health = fleet.Absent
	b.applyActions(b.gate.Close(gate.UnknownServer))
	b.node.log.Warn().Str("event", "departure_uncertain").Str("instance_id", string(b.lastReport.Instance)).Time("born", b.lastReport.StartTime).
		Msg("backend server may have left before this node started; refusing attempts until its reports show that it has not")
}

// confirm records incarnations that have not left before this node started, as other nodes tell it.
func (b *backend) confirm(incarnations []request.InstanceID) {
	if len(incarnations) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	wasUsable := b.isUsable()
	for _, i := range incarnations {
		b.departures.verifier.Confirm(i)
	}
	hasReported := !b.lastReport.StartTime.IsZero()
	if hasReported && !wasUsable && b.isUsable() && !b.isLeaving {
		b.openGate(b.lastReport.Slots)
	}
}

// isOver reports whether the current incarnation has started after a departure. The caller holds b.mu.
func (b *backend) isOver(d departure.Departure) bool {
	return d.Time.Before(b.lastReport.StartTime) && !d.Covers(b.lastReport.Instance, b.lastReport.StartTime)
}

// learn records a departure from before this node started and reports whether it was unknown. The caller holds b.mu.
func (b *backend) learn(d departure.Departure, from string) bool {
	if b.isOver(d) || !b.departures.log.Add(d) {
		return false
	}
	b.node.log.Info().Str("event", "departure_learned").Str("instance_id", string(d.Incarnation)).Str("from", from).
		Dur("age", time.Since(d.Time)).Msg("backend server left before this node started")
	return true
}

// restoreDepartures has all departures written again to a store that has come back from a copy.
func (b *backend) restoreDepartures() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.departures.store(b.departures.log.All()...)
	wake(b.node.departureUnstored)
}

// awaitStoredDepartures waits until all departures are in the store, for departureStoreTime at most, and has other nodes told of them
// meanwhile: the node that has acknowledged a departure may end right after.
func (n *Node) awaitStoredDepartures() {
	n.tick()
	n.backend.mu.Lock()
	stored := n.backend.departures.stored
	n.backend.mu.Unlock()
	if stored == nil {
		return
	}
	timeout := time.NewTimer(departureStoreTime)
	defer timeout.Stop()
	select {
	case <-stored:
	case <-timeout.C:
		n.log.Warn().Str("event", "departure_not_stored").Msg("departure of the backend server is acknowledged before the store has it; other nodes are told, and writing goes on")
	}
}

// departureLoop reads the departures that this node acknowledged before its last start, unless all nodes start for the first time, and
// writes those that become known.
func (n *Node) departureLoop(ctx context.Context) error {
	if !n.settings.IsFirstStart {
		n.readDepartures(ctx)
	}
	backoff := minBackoff
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.departureUnstored:
		}
		if err := n.writeDepartures(ctx); err != nil {
			n.log.Info().Str("event", "departure_not_kept").Err(err).Msg("cannot write the departures of the backend server to the store; retrying")
			n.backOff(ctx, &backoff)
			wake(n.departureUnstored)
			continue
		}
		backoff = minBackoff
		request.Sleep(ctx, departureStoreInterval)
	}
}

// readDepartures reads the departures of this node from the store, retrying until that succeeds, and removes those that have expired.
func (n *Node) readDepartures(ctx context.Context) {
	for backoff := minBackoff; ctx.Err() == nil; n.backOff(ctx, &backoff) {
		stored, err := n.store.Departures(ctx, n.settings.Address)
		if err != nil {
			n.backend.mu.Lock()
			n.backend.departures.verifier.StoreAway()
			n.backend.mu.Unlock()
			n.log.Info().Str("event", "departures_unread").Err(err).Msg("cannot read the departures of the backend server from the store; retrying")
			continue
		}
		// The log keeps those that are learned last.
		slices.SortFunc(stored, func(a, b departure.Departure) int { return a.Time.Compare(b.Time) })
		b := n.backend
		b.mu.Lock()
		defer b.mu.Unlock()
		for _, d := range stored {
			if d.IsExpired(time.Now()) || b.isOver(d) {
				b.departures.remove(d)
				wake(n.departureUnstored)
			} else {
				b.learn(d, "store")
			}
		}
		b.departures.verifier.StoreRead()
		b.closeIfDeparted("the store has its departure")
		return
	}
}

// writeDepartures writes what the store does not know yet. With each departure it removes expired ones of any node, so that those of
// machines that are gone do not accumulate.
func (n *Node) writeDepartures(ctx context.Context) error {
	b := n.backend
	b.mu.Lock()
	added := slices.Clone(b.departures.unstored)
	removed := slices.Clone(b.departures.obsolete[:min(len(b.departures.obsolete), maxRemovedDepartures)])
	if len(removed) < len(b.departures.obsolete) {
		wake(n.departureUnstored)
	}
	b.mu.Unlock()
	if len(added)+len(removed) == 0 {
		return nil
	}
	if err := n.store.WriteDepartures(ctx, n.settings.Address, added, removed); err != nil {
		return err
	}
	b.mu.Lock()
	b.departures.written(added, removed)
	b.mu.Unlock()
	if len(added) == 0 {
		return nil
	}
	if err := n.store.RemoveExpiredDepartures(ctx); err != nil {
		n.log.Info().Str("event", "departures_not_expired").Err(err).Msg("cannot remove expired departures from the store; the next departure does")
	}
	return nil
}
