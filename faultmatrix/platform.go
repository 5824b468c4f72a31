package faultmatrix

import (
	"context"
	"time"

	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/store"
)

// One-way delays between a node and the platform.
const (
	platformDelay     = 3 * time.Millisecond
	slowPlatformDelay = 400 * time.Millisecond
)

// fakePlatform is the platform with its faults.
type fakePlatform struct {
	store    *store.Fake
	cutZones map[request.ZoneID]bool
	fault    store.Fault
	slow     bool
	// requestZone is the zone of the node that sent the current request.
	requestZone request.ZoneID
	// lostResponses counts the commits that the LostResponse fault has met. The first one takes effect
	// and loses its response.
	lostResponses int
}

func newFakePlatform() *fakePlatform {
	p := &fakePlatform{store: store.NewFake(), cutZones: make(map[request.ZoneID]bool)}
	p.store.SetFaultHook(p.nextFault)
	return p
}

// nextFault returns the fault of one request. A request from a partitioned zone never arrives.
func (p *fakePlatform) nextFault(_ context.Context, k store.OperationKind) store.Fault {
	switch {
	case p.cutZones[p.requestZone]:
		return store.LostRequest
	case p.fault == store.LostResponse && k != store.CommitOperation:
		return store.NoFault
	case p.fault == store.LostResponse:
		p.lostResponses++
		if p.lostResponses > 1 {
			return store.NoFault
		}
	}
	return p.fault
}

// callPlatform runs f at the platform on behalf of the node, and then done at the node.
func (n *node) callPlatform(f func(ctx context.Context), done func()) {
	sim := n.sim
	d := platformDelay
	if sim.platform.slow {
		d = slowPlatformDelay
	}
	sim.after(d, func() {
		sim.platform.requestZone = n.zone
		f(context.Background())
		n.after(d, done)
	})
}

// injectPlatform starts a fault of the platform and ends it after faultDuration.
func (sim *Simulation) injectPlatform(f Fault, at *node) {
	p := sim.platform
	switch f {
	case ZoneCutFromPlatform, ZoneCutFromBoth:
		p.cutZones[at.zone] = true
	case PlatformDown:
		p.fault = store.Down
	case PlatformSlow:
		p.slow = true
	case PlatformResponseLost:
		p.lostResponses = 0
		p.fault = store.LostResponse
	case PlatformStale:
		p.store.SaveStaleState()
		p.fault = store.StaleRead
	default:
		return
	}
	sim.after(faultDuration, func() {
		p.fault, p.slow = store.NoFault, false
		delete(p.cutZones, at.zone)
	})
}
