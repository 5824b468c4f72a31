package node

import (
	"context"
	"io"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/sapphiretack/sapphiretack/call"
	"github.com/sapphiretack/sapphiretack/peer"
	"github.com/sapphiretack/sapphiretack/request"
)

// callStream is the stream of responses to one attempt.
type callStream interface {
	Recv() (*peer.CallResponse, error)
}

func (c *callRunner) openStream(ctx context.Context, address string, m *peer.CallRequest) (callStream, error) {
	if address == c.node.address {
		return c.node.openLocalStream(ctx, &c.group, m), nil
	}
	client, err := c.node.peers.client(address)
	if err != nil {
		return nil, err
	}
	return client.Call(ctx, m)
}

// lossEvent returns the event for a stream that broke without an end message. If the request was never handed to the
// transport, it has not run, so the event is a refusal.
func lossEvent(a request.AttemptID, d *sendTracker) attemptEvent {
	if !d.sent.Load() {
		return attemptEvent{event: call.Refused{Attempt: a, Reason: request.NoInstance}}
	}
	return attemptEvent{event: call.StreamLost{Attempt: a}}
}

func responseEvent(a request.AttemptID, m *peer.CallResponse) attemptEvent {
	switch e := m.GetEvent().(type) {
	case *peer.CallResponse_Part:
		return attemptEvent{event: call.Part{Attempt: a, Index: e.Part.GetIndex()}, part: e.Part}
	case *peer.CallResponse_Refusal:
		return attemptEvent{event: call.Refused{
			Attempt:    a,
			Reason:     request.Reason(e.Refusal.GetReason()),
			RetryAfter: time.Duration(e.Refusal.GetRetryAfterNs()),
		}, load: e.Refusal.GetLoad()}
	case *peer.CallResponse_End:
		if e.End.GetCrashed() {
			return attemptEvent{event: call.Crashed{
				Attempt:     a,
				Incarnation: request.Incarnation(e.End.GetLoad().GetServerIncarnation()),
				Returned:    e.End.GetReturnedAttempts(),
			}, load: e.End.GetLoad()}
		}
		return attemptEvent{event: call.Finished{
			Attempt:  a,
			Parts:    e.End.GetParts(),
			Outcome:  request.Outcome(e.End.GetOutcome()),
			Reason:   request.Reason(e.End.GetReason()),
			Returned: e.End.GetReturnedAttempts(),
		}, load: e.End.GetLoad()}
	}
	return attemptEvent{event: call.StreamLost{Attempt: a}}
}

// openLocalStream runs an attempt on this node's backend server, without a gRPC connection.
func (n *Node) openLocalStream(ctx context.Context, group *errgroup.Group, m *peer.CallRequest) callStream {
	s := &localStream{ctx: ctx, messages: make(chan *peer.CallResponse)}
	if d, ok := ctx.Value(sendTrackerKey{}).(*sendTracker); ok {
		d.sent.Store(true)
	}
	group.Go(func() error {
		defer close(s.messages)
		return n.destination.serveAttempt(ctx, m, s.send)
	})
	return s
}

// localStream is the stream of an attempt whose source and destination are the same node.
type localStream struct {
	ctx      context.Context
	messages chan *peer.CallResponse
}

func (s *localStream) send(m *peer.CallResponse) error {
	if p := m.GetPart(); p != nil {
		// Copies the data, because the destination reuses its buffer after send; a gRPC stream encodes it during send.
		p.Data = append([]byte(nil), p.GetData()...)
	}
	select {
	case s.messages <- m:
		return nil
	case <-s.ctx.Done():
		return s.ctx.Err()
	}
}

// Recv returns the next message, or io.EOF after the last one.
func (s *localStream) Recv() (*peer.CallResponse, error) {
	m, ok := <-s.messages
	if !ok {
		return nil, io.EOF
	}
	return m, nil
}
