package node

import (
	"context"
	"sync/atomic"

	"google.golang.org/grpc/stats"
)

// sendTracker records whether the message of an RPC was handed to the transport. If it was not, the message never reached
// the destination, which proves that the attempt has not run there.
type sendTracker struct {
	sent atomic.Bool
}

type sendTrackerKey struct{}

func withSendTracker(ctx context.Context, d *sendTracker) context.Context {
	return context.WithValue(ctx, sendTrackerKey{}, d)
}

// statsHandler is a gRPC stats handler that marks sent messages and counts the bytes of control messages.
type statsHandler struct {
	controlBytes *atomic.Uint64 // bytes sent in RPCs other than Call and Forward
}

// TagRPC returns the context unchanged.
func (statsHandler) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC marks the RPC's message as sent, or counts its bytes if it is a control message.
func (h statsHandler) HandleRPC(ctx context.Context, s stats.RPCStats) {
	payload, ok := s.(*stats.OutPayload)
	if !ok {
		return
	}
	if d, ok := ctx.Value(sendTrackerKey{}).(*sendTracker); ok {
		d.sent.Store(true)
		return
	}
	h.controlBytes.Add(uint64(payload.WireLength))
}

// TagConn returns the context unchanged.
func (statsHandler) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn ignores connection events.
func (statsHandler) HandleConn(context.Context, stats.ConnStats) {}
