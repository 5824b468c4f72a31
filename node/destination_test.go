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

// Guards against a second copy of an attempt that is refused while the first one runs: a source would take the refusal as
// the proof that the attempt was not run.
func TestCopyOfAttemptIsNoRefusal(t *testing.T) {
	t.Parallel()
	f := newFleet(t, nil)
	defer f.close()
	f.prepare("registry-1", "registry", "a")
	f.startPrepared([]string{"registry-1"})
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
		f.record.mu.Lock()
		defer f.record.mu.Unlock()
		return f.record.counts["registry/hold"] == 1
	})
	second, err := peer.NewPeerClient(connection).Call(context.Background(), m)
	qt.Assert(t, err, qt.IsNil)
	_, err = second.Recv()
	qt.Check(t, status.Code(err), qt.Equals, codes.AlreadyExists)
	close(in.backend.hold)
	part, err := first.Recv()
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, string(part.GetPart().GetData()), qt.Equals, "finished")
	qt.Check(t, f.record.counts["registry/hold"], qt.Equals, 1)
}
