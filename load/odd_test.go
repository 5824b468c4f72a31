package load

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/sapphiretack/sapphiretack/standin"
)

// TestOddNode guards against an outcome that a caller takes from a response which is not in the protocol.
func TestOddNode(t *testing.T) {
	for name, odd := range standin.OddResponses("", "", `{"outcome":"not_run"}`) {
		t.Run(name, func(t *testing.T) {
			server, err := standin.StartRawServer(odd)
			qt.Assert(t, err, qt.IsNil)
			t.Cleanup(server.Close)
			target := server.Address()
			c := newCaller(Settings{Targets: []string{target}}, 0, nil)
			p := pending{kind: Kind{Service: "ledger", Operation: "transfer", TimeoutMs: 1000}}
			qt.Check(t, p.send(t.Context(), c.client, target, "club").reason, qt.Equals, reasonLost)
		})
	}
}
