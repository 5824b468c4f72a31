package node

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"github.com/sapphiretack/sapphiretack/configuration"
	"github.com/sapphiretack/sapphiretack/member"
	"github.com/sapphiretack/sapphiretack/peer"
	"github.com/sapphiretack/sapphiretack/request"
)

// maxPeerMessage holds a body of 1 MiB, or a configuration update of some thousand objects, in bytes.
const maxPeerMessage = 8 << 20

// peerServer serves the other nodes.
type peerServer struct {
	peer.UnimplementedPeerServer
	node *Node
}

func (n *Node) newPeerServer() *grpc.Server {
	s := grpc.NewServer(
		grpc.MaxRecvMsgSize(maxPeerMessage),
		grpc.MaxSendMsgSize(maxPeerMessage),
		// A source may hold as many streams as this backend server has connections.
		grpc.MaxConcurrentStreams(uint32(max(n.settings.Limits.Streams, n.settings.Backend.Connections))),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveInterval / 2, PermitWithoutStream: true}),
	)
	peer.RegisterPeerServer(s, &peerServer{node: n})
	return s
}

// Call runs one attempt.
func (s *peerServer) Call(m *peer.CallRequest, stream grpc.ServerStreamingServer[peer.CallResponse]) error {
	s.node.sources.seen(request.InstanceID(m.GetSourceInstance()), s.node.clock.now())
	return s.node.destination.call(stream.Context(), m, stream.Send)
}

// Withdraw answers whether an attempt has not begun and will not begin; a later incarnation cannot know.
func (s *peerServer) Withdraw(_ context.Context, m *peer.WithdrawRequest) (*peer.WithdrawResponse, error) {
	if m.GetAttempt() == nil {
		return nil, status.Error(codes.InvalidArgument, "the withdrawal names no attempt")
	}
	if request.Incarnation(m.GetDestinationIncarnation()) != s.node.incarnation {
		return nil, status.Error(codes.FailedPrecondition, "the attempt was sent to another incarnation of this instance; its outcome is unknown")
	}
	return &peer.WithdrawResponse{Withdrawn: s.node.destination.withdraw(attemptID(m.GetAttempt()))}, nil
}

// Forward runs an effect under a ticket of this incarnation.
func (s *peerServer) Forward(m *peer.ForwardRequest, stream grpc.ServerStreamingServer[peer.CallResponse]) error {
	return s.node.forwarded(stream.Context(), m, stream.Send)
}

// Gossip exchanges membership updates.
func (s *peerServer) Gossip(ctx context.Context, m *peer.GossipRequest) (*peer.GossipResponse, error) {
	message, err := member.FromRequest(m)
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	reply, err := s.node.members.exchange(ctx, message)
	if err != nil {
		return nil, err
	}
	return reply.ResponseProto(), nil
}

// Notify takes a notice of a leaving instance or a crash.
func (s *peerServer) Notify(_ context.Context, m *peer.Notice) (*peer.NoticeResponse, error) {
	message, err := member.FromNotice(m)
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	s.node.members.handle(member.Received{Kind: member.Notice, Message: message})
	return &peer.NoticeResponse{}, nil
}

// Configuration returns the changes after a version, or a snapshot.
func (s *peerServer) Configuration(_ context.Context, m *peer.ConfigurationRequest) (*peer.ConfigurationResponse, error) {
	u := s.node.replica.Since(configuration.Version(m.GetSince()))
	return u.Response(), nil
}
