package faultmatrix

import (
	"context"
	"time"

	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/store"
)

// platformDelay is the time for one direction between a node and the platform.
const (
	platformDelay     = 3 * time.Millisecond
	platformSlowDelay = 400 * time.Millisecond
)

// provider is the platform with the zone that it is asked from.
type provider struct {
	fake  *store.Fake
	cut   map[request.ZoneID]bool
	fault store.Fault
	slow  bool
	// asking is the zone of the request at hand.
	asking request.ZoneID
	// lost counts the writes that took effect and whose response was lost.
	lost int
}

func newProvider() *provider {
	p := &provider{fake: store.NewFake(), cut: make(map[request.ZoneID]bool)}
	p.fake.Inject(p.decide)
	return p
}

// decide is the fault of one request. A request from a cut zone never arrives.
func (p *provider) decide(_ context.Context, k store.OperationKind) store.Fault {
	switch {
	case p.cut[p.asking]:
		return store.LostRequest
	case p.fault == store.LostResponse && k != store.CommitOperation:
		return store.NoFault
	case p.fault == store.LostResponse:
		p.lost++
		if p.lost > 1 {
			return store.NoFault
		}
	}
	return p.fault
}

// askPlatform runs f at the platform on behalf of the node, and then done at the node.
func (n *node) askPlatform(f func(ctx context.Context), done func()) {
	w := n.world
	d := platformDelay
	if w.provider.slow {
		d = platformSlowDelay
	}
	w.after(d, func() {
		w.provider.asking = n.zone
		f(context.Background())
		n.after(d, done)
	})
}

// beginPlatform starts a fault of the platform.
func (w *World) beginPlatform(f Fault, at *node) {
	p := w.provider
	switch f {
	case ZoneCutFromPlatform, ZoneCutFromBoth:
		p.cut[at.zone] = true
	case PlatformDown:
		p.fault = store.Down
	case PlatformSlow:
		p.slow = true
	case PlatformAnswerLost:
		p.lost = 0
		p.fault = store.LostResponse
	case PlatformStale:
		p.fake.Freeze()
		p.fault = store.StaleRead
	default:
		return
	}
	w.after(faultTime, func() {
		p.fault, p.slow = store.NoFault, false
		delete(p.cut, at.zone)
	})
}
