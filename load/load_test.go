package load_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	qt "github.com/frankban/quicktest"

	"github.com/sapphiretack/sapphiretack/load"
	"github.com/sapphiretack/sapphiretack/standin"
)

// scriptedNode is an http.RoundTripper that gives one scripted reply to each send and records the requests that it receives.
type scriptedNode struct {
	start   time.Time
	replies []string
	out     strings.Builder
}

func (n *scriptedNode) RoundTrip(r *http.Request) (*http.Response, error) {
	fmt.Fprintf(&n.out, "%v: %s %s%s", time.Since(n.start), r.Method, r.URL.Host, r.URL.Path)
	if r.URL.Path == "/session" {
		fmt.Fprintln(&n.out)
		return &http.Response{StatusCode: http.StatusCreated, Body: io.NopCloser(strings.NewReader(`{"ticket": "t"}`))}, nil
	}
	for _, name := range []string{"Attempt", "Ticket", "Sequence"} {
		fmt.Fprintf(&n.out, " %s=%s", strings.ToLower(name), r.Header.Get("Sapphiretack-"+name))
	}
	fmt.Fprintln(&n.out)
	if len(n.replies) == 0 {
		return nil, errors.New("the script has ended")
	}
	fields := strings.Fields(n.replies[0])
	n.replies = n.replies[1:]
	return respond(r, fields)
}

func respond(r *http.Request, fields []string) (*http.Response, error) {
	var payload standin.Payload
	body, _ := io.ReadAll(r.Body)
	_ = json.Unmarshal(body, &payload)
	operation := r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:]
	parts := []standin.Part{{Part: 1, Parts: 2, Operation: operation, Key: payload.Key}, {Part: 2, Parts: 2, Operation: operation, Key: payload.Key}}
	outcome, ending := "answered", io.EOF
	switch fields[0] {
	case "dial":
		return nil, &net.OpError{Op: "dial", Err: errors.New("refused")}
	case "lost":
		return nil, &net.OpError{Op: "read", Err: errors.New("reset")}
	case "cut":
		outcome, ending, parts = "", io.ErrUnexpectedEOF, parts[:1]
	case "untrailed":
		outcome = ""
	case "short":
		parts = parts[:1]
	case "swapped":
		parts[0], parts[1] = parts[1], parts[0]
	case "foreign":
		parts[1].Key = "other"
	case "answered":
	default:
		refusal := fmt.Sprintf(`{"outcome": %q, "reason": %q, "retry_after_ms": %s}`, fields[0], fields[1], fields[2])
		return &http.Response{StatusCode: 503, Body: io.NopCloser(strings.NewReader(refusal))}, nil
	}
	var b bytes.Buffer
	for _, p := range parts {
		_ = json.NewEncoder(&b).Encode(p)
	}
	return &http.Response{
		StatusCode: http.StatusOK,
		Body:       io.NopCloser(io.MultiReader(&b, failingReader{ending})),
		Trailer:    http.Header{"Sapphiretack-Outcome": {outcome}},
	}, nil
}

type failingReader struct{ err error }

func (f failingReader) Read([]byte) (int, error) { return 0, f.err }

// TestRun guards against a caller that resends an effect that may have run, ignores retry_after_ms, changes the sequence of a
// resend, or takes an incomplete response for a complete one.
func TestRun(t *testing.T) {
	datadriven.Walk(t, "testdata/run", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			out := ""
			synctest.Test(t, func(t *testing.T) {
				node := &scriptedNode{start: time.Now(), replies: strings.Split(strings.TrimSpace(d.Input), "\n")}
				kind := load.Kind{Service: "s", Operation: "o", Class: "essential", Effect: d.Cmd == "effect", Weight: 1, TimeoutMs: 100}
				report, err := load.Run(context.Background(), load.Settings{
					Targets: []string{"a", "b"}, Customer: "c", Mix: []load.Kind{kind}, Callers: 1,
					// The first request starts within one interval, so the second one would start after the duration.
					Interval: time.Second, Duration: time.Second, MaxSends: 3, Seed: 1,
					Transport: func() http.RoundTripper { return node },
				})
				qt.Assert(t, err, qt.IsNil)
				counts, err := json.Marshal(report)
				qt.Assert(t, err, qt.IsNil)
				out = node.out.String() + string(counts)
			})
			return out
		})
	})
}
