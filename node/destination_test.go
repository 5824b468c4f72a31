package node_test

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"github.com/sapphiretack/sapphiretack/peer"
)

// TestDuplicateAttemptIsNotRefused guards against refusing a duplicate of an attempt while the first copy runs: the source
// would conclude from the refusal that the attempt has not run.
func TestDuplicateAttemptIsNotRefused(t *testing.T) {
	t.Parallel()
	f := newFleet(t, nil)
	defer f.close()
	f.addInstance("registry-1", "registry", "a")
	f.startInstances([]string{"registry-1"})
	in := f.instances["registry-1"]
	connection, err := grpc.NewClient("passthrough:///"+in.settings.Listeners.Peer.String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	qt.Assert(t, err, qt.IsNil)
	defer connection.Close()
	m := &peer.CallRequest{
		Attempt: &peer.AttemptID{Source: 7, Number: 1}, RequestId: make([]byte, 16), Service: "registry", Operation: "hold",
		RemainingNs: int64(waitLimit), Idempotent: true,
	}
	first, err := peer.NewPeerClient(connection).Call(context.Background(), m)
	qt.Assert(t, err, qt.IsNil)
	f.waitUntil("the attempt runs", func() bool {
		f.executionLog.mu.Lock()
		defer f.executionLog.mu.Unlock()
		return f.executionLog.counts["registry/hold"] == 1
	})
	second, err := peer.NewPeerClient(connection).Call(context.Background(), m)
	qt.Assert(t, err, qt.IsNil)
	_, err = second.Recv()
	qt.Check(t, status.Code(err), qt.Equals, codes.AlreadyExists)
	close(in.backend.release)
	part, err := first.Recv()
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, string(part.GetPart().GetData()), qt.Equals, "finished")
	qt.Check(t, f.executionLog.counts["registry/hold"], qt.Equals, 1)
}
