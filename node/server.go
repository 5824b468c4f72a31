package node

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"github.com/sapphiretack/sapphiretack/configuration"
	"github.com/sapphiretack/sapphiretack/member"
	"github.com/sapphiretack/sapphiretack/peer"
	"github.com/sapphiretack/sapphiretack/request"
)

// maxPeerMessage is the maximum size of a message in bytes; a body of 1 MiB or a configuration update with several thousand
// objects fits.
const maxPeerMessage = 8 << 20

// peerServer implements the gRPC service for other nodes.
type peerServer struct {
	peer.UnimplementedPeerServer
	node *Node
}

func (n *Node) newPeerServer() *grpc.Server {
	options := []grpc.ServerOption{
		grpc.MaxRecvMsgSize(maxPeerMessage),
		grpc.MaxSendMsgSize(maxPeerMessage),
		// A source may have as many attempts in flight as the backend server accepts connections.
		grpc.MaxConcurrentStreams(uint32(max(n.settings.Limits.Streams, n.settings.Backend.Connections))),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveInterval / 2, PermitWithoutStream: true}),
	}
	if c := n.tlsCredentials.peer; c != nil {
		options = append(options,
			grpc.Creds(credentials.NewTLS(c.ServerConfig("h2"))),
			// With the default of 120 s, clients that never complete the handshake would hold connections for too long.
			grpc.ConnectionTimeout(n.settings.Timeouts.Header),
		)
	}
	s := grpc.NewServer(options...)
	peer.RegisterPeerServer(s, &peerServer{node: n})
	return s
}

// Call runs one attempt.
func (s *peerServer) Call(m *peer.CallRequest, stream grpc.ServerStreamingServer[peer.CallResponse]) error {
	s.node.sources.touch(request.InstanceID(m.GetSourceInstance()), s.node.clock.now())
	return s.node.destination.serveAttempt(stream.Context(), m, stream.Send)
}

// Withdraw cancels a queued attempt and reports whether it has not run and will not run; the error is FailedPrecondition if
// the attempt was sent to another incarnation.
func (s *peerServer) Withdraw(_ context.Context, m *peer.WithdrawRequest) (*peer.WithdrawResponse, error) {
	if m.GetAttempt() == nil {
		return nil, status.Error(codes.InvalidArgument, "the withdrawal names no attempt")
	}
	if request.Incarnation(m.GetDestinationIncarnation()) != s.node.incarnation {
		return nil, status.Error(codes.FailedPrecondition, "the attempt was sent to another incarnation of this instance; its outcome is unknown")
	}
	return &peer.WithdrawResponse{Withdrawn: s.node.destination.withdraw(attemptID(m.GetAttempt()))}, nil
}

// Forward runs an effect under a ticket that this incarnation issued.
func (s *peerServer) Forward(m *peer.ForwardRequest, stream grpc.ServerStreamingServer[peer.CallResponse]) error {
	return s.node.serveForward(stream.Context(), m, stream.Send)
}

// Gossip exchanges membership updates.
func (s *peerServer) Gossip(ctx context.Context, m *peer.GossipRequest) (*peer.GossipResponse, error) {
	message, err := member.RequestFromProto(m)
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	reply, err := s.node.membership.handleGossip(ctx, message)
	if err != nil {
		return nil, err
	}
	return reply.ResponseProto(), nil
}

// Notify receives a notice of a leaving instance or a crash.
func (s *peerServer) Notify(_ context.Context, m *peer.Notice) (*peer.NoticeResponse, error) {
	message, err := member.NoticeFromProto(m)
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	s.node.membership.handle(member.Received{Kind: member.Notice, Message: message})
	return &peer.NoticeResponse{}, nil
}

// Configuration returns the configuration changes after a version, or a snapshot.
func (s *peerServer) Configuration(_ context.Context, m *peer.ConfigurationRequest) (*peer.ConfigurationResponse, error) {
	u := s.node.replica.Since(configuration.Version(m.GetSince()))
	return u.Response(), nil
}
