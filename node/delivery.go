package node

import (
	"context"
	"sync/atomic"

	"google.golang.org/grpc/stats"
)

// delivery records whether the message of a call was handed to the transport. A call that ended without it never
// reached the destination, which proves that it was not run there.
type delivery struct {
	sent atomic.Bool
}

type deliveryKey struct{}

func withDelivery(ctx context.Context, d *delivery) context.Context {
	return context.WithValue(ctx, deliveryKey{}, d)
}

// deliveryHandler is a gRPC stats handler that marks deliveries and counts the bytes of control messages.
type deliveryHandler struct {
	control *atomic.Uint64 // bytes sent in calls other than Call and Forward
}

// TagRPC keeps the context as it is.
func (deliveryHandler) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC marks the delivery of the call when its message goes out.
func (h deliveryHandler) HandleRPC(ctx context.Context, s stats.RPCStats) {
	payload, ok := s.(*stats.OutPayload)
	if !ok {
		return
	}
	if d, ok := ctx.Value(deliveryKey{}).(*delivery); ok {
		d.sent.Store(true)
		return
	}
	h.control.Add(uint64(payload.WireLength))
}

// TagConn keeps the context as it is.
func (deliveryHandler) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn ignores events of connections.
func (deliveryHandler) HandleConn(context.Context, stats.ConnStats) {}
