package node

import (
	"bytes"
	"context"
	"encoding/binary"
	"net"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/sapphiretack/sapphiretack/operator"
	"github.com/sapphiretack/sapphiretack/peer"
	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/standin"
)

// maxGrowth bounds what the live heap may grow by while one side sends without end, in bytes; users give a node 256 MB for control.
const maxGrowth = 64 << 20

// startEndless starts a server that sends head, then repeated without end, to each of its callers, and returns its address.
func startEndless(t *testing.T, head, repeated string) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	var group errgroup.Group
	t.Cleanup(func() {
		_ = l.Close()
		_ = group.Wait() // the connections have ended
	})
	standin.ServeEndlessly(l, &group, head, repeated)
	return l.Addr().String()
}

// frame returns an HTTP/2 frame.
func frame(kind, flags byte, stream uint32, payload []byte) []byte {
	head := []byte{byte(len(payload) >> 16), byte(len(payload) >> 8), byte(len(payload)), kind, flags}
	return append(binary.BigEndian.AppendUint32(head, stream), payload...)
}

// The types and flags of HTTP/2 frames.
const (
	frameData, frameHeaders, frameSettings, framePing, frameContinuation = 0, 1, 4, 6, 9
	flagEndHeaders                                                       = 4
)

// literal returns an HPACK field without indexing; its name and value are shorter than 127 bytes.
func literal(name, value string) []byte {
	return append(append([]byte{0, byte(len(name))}, name...), append([]byte{byte(len(value))}, value...)...)
}

// TestEndlessPeer guards against another node that sends bytes without end until the node that called it has run out of memory, and against a
// call that does not return.
func TestEndlessPeer(t *testing.T) {
	settings := frame(frameSettings, 0, 0, nil)
	answered := frame(frameHeaders, flagEndHeaders, 1, append([]byte{0x88}, literal("content-type", "application/grpc")...))
	padding := literal("x-padding", strings.Repeat("0", 100))
	for name, test := range map[string]struct{ head, repeated []byte }{
		"no frames":         {nil, []byte("0")},
		"settings":          {settings, settings},
		"pings":             {settings, frame(framePing, 0, 0, make([]byte, 8))},
		"headers":           {append(settings, frame(frameHeaders, 0, 1, []byte{0x88})...), frame(frameContinuation, 0, 1, bytes.Repeat(padding, 100))},
		"message":           {append(append(settings, answered...), frame(frameData, 0, 1, []byte{0, 0xff, 0xff, 0xff, 0xff})...), frame(frameData, 0, 1, make([]byte, 1000))},
		"message of 64 MiB": {append(append(settings, answered...), frame(frameData, 0, 1, []byte{0, 4, 0, 0, 0})...), frame(frameData, 0, 1, make([]byte, 1000))},
		"empty data":        {append(settings, answered...), frame(frameData, 0, 1, nil)},
	} {
		t.Run(name, func(t *testing.T) {
			address := startEndless(t, string(test.head), string(test.repeated))
			p := newPeers()
			defer p.close()
			grown := standin.HeapGrowth(func() {
				var calls errgroup.Group
				for range 20 {
					calls.Go(func() error {
						client, err := p.client(address)
						qt.Assert(t, err, qt.IsNil)
						ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
						defer cancel()
						_, err = client.Gossip(ctx, &peer.GossipRequest{})
						qt.Check(t, err, qt.IsNotNil)
						return nil
					})
				}
				_ = calls.Wait() // returns no error
			})
			qt.Check(t, grown < maxGrowth, qt.IsTrue, qt.Commentf("heap grew by %d MB", grown>>20))
		})
	}
}

// TestEndlessBackend guards against a backend server that sends bytes without end until its node has run out of memory, and against the health
// check of one that does not return.
func TestEndlessBackend(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	for name, test := range map[string]struct{ head, repeated string }{
		"status line":       {"HTTP/1.1 200 ", "0"},
		"no response":       {"", "0"},
		"headers":           {head, "X-Padding: 0\r\n"},
		"interim responses": {"", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
		"body":              {head + "\r\n", "0"},
		"chunks":            {head + "Transfer-Encoding: chunked\r\n\r\n", "1\r\n0\r\n"},
		"chunk extension":   {head + "Transfer-Encoding: chunked\r\n\r\n1;", "0"},
		"trailers":          {head + "Transfer-Encoding: chunked\r\n\r\n1\r\n0\r\n0\r\n", "X-Padding: 0\r\n"},
		"redirects":         {"HTTP/1.1 307 Temporary Redirect\r\nLocation: /again\r\n\r\n", "0"},
	} {
		t.Run(name, func(t *testing.T) {
			u, err := url.Parse("http://" + startEndless(t, test.head, test.repeated))
			qt.Assert(t, err, qt.IsNil)
			b := newBackend(u, 100)
			grown := standin.HeapGrowth(func() {
				var calls errgroup.Group
				for range 20 {
					calls.Go(func() error {
						ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
						defer cancel()
						buffer := newResponseBuffer(1 << 20)
						r := b.dispatch(ctx, &execution{operation: "transfer"}, nil, func(_, status int, contentType string, data []byte) error {
							return buffer.writePart(status, contentType, append([]byte(nil), data...))
						})
						qt.Check(t, r.outcome, qt.Not(qt.Equals), request.Answered)
						return nil
					})
				}
				_ = calls.Wait() // returns no error
			})
			qt.Check(t, grown < maxGrowth, qt.IsTrue, qt.Commentf("heap grew by %d MB", grown>>20))
		})
	}
}

// TestOddBackend guards against a response of the backend server that is not in the protocol and reaches the caller, or counts as not run, and
// against a health check that counts as passed with one.
func TestOddBackend(t *testing.T) {
	for name, odd := range standin.OddResponses("", "", "whole") {
		t.Run(name, func(t *testing.T) {
			server, err := standin.StartRawServer(odd)
			qt.Assert(t, err, qt.IsNil)
			t.Cleanup(server.Close)
			u, err := url.Parse("http://" + server.Address())
			qt.Assert(t, err, qt.IsNil)
			r := newBackend(u, 1).dispatch(t.Context(), &execution{operation: "transfer"}, nil, func(_, status int, _ string, data []byte) error {
				t.Errorf("the caller got %q with status %d", data, status)
				return nil
			})
			qt.Check(t, r.outcome, qt.Equals, request.Unknown)
			health := &backendHealth{client: newHealthClient(), url: u.String()}
			health.check(t.Context())
			_, isUp := health.state()
			qt.Check(t, isUp, qt.IsFalse)
		})
	}
}

// TestEndlessOperatorResponse guards against a subcommand that runs out of memory, or does not return, because what responds at the address of a
// node sends bytes without end.
func TestEndlessOperatorResponse(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	for name, test := range map[string]struct{ head, repeated string }{
		"headers": {head, "X-Padding: 0\r\n"},
		"body":    {head + "\r\n", " "},
		"error":   {"HTTP/1.1 503 Service Unavailable\r\n\r\n", " "},
	} {
		t.Run(name, func(t *testing.T) {
			address := startEndless(t, test.head, test.repeated)
			client := operator.NewClient([]string{address}, &http.Client{Timeout: time.Second})
			grown := standin.HeapGrowth(func() {
				_, err := client.Status(t.Context())
				qt.Check(t, err, qt.IsNotNil)
			})
			qt.Check(t, grown < maxGrowth, qt.IsTrue, qt.Commentf("heap grew by %d MB", grown>>20))
		})
	}
}
