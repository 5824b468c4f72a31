package main

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/sapphiretack/sapphiretack/standin"
)

// TestOddOperatorListener guards against a command that shows what it has taken from a response which is not in the protocol.
func TestOddOperatorListener(t *testing.T) {
	for name, odd := range standin.OddResponses("", "", "{}") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server, err := standin.StartRawServer(odd)
			qt.Assert(t, err, qt.IsNil)
			t.Cleanup(server.Close)
			f := clientFlags{operators: []string{server.Address()}}
			client, err := f.client()
			qt.Assert(t, err, qt.IsNil)
			_, err = client.Status(t.Context())
			qt.Check(t, err, qt.ErrorMatches, "(?s).*(exchange|malformed|invalid).*")
		})
	}
}
