package operator_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/datadriven"
	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/sapphiretack/sapphiretack/operator"
)

// fakeNode implements the interfaces of the handler in memory.
type fakeNode struct {
	objects map[string]operator.Object
	changes map[operator.ChangeID]operator.Object
	version uint64
	down    bool
	level   zerolog.Level
}

func (n *fakeNode) Commit(_ context.Context, c operator.Change) (operator.Object, error) {
	if n.down {
		return operator.Object{}, &operator.Error{Kind: operator.Unavailable, Message: "the platform is down", Remedy: "try later"}
	}
	if object, applied := n.changes[c.ID]; applied {
		return object, nil
	}
	key := string(c.Kind) + "/" + c.Name
	current := n.objects[key]
	if current.Revision != c.Revision {
		return operator.Object{}, &operator.Error{Kind: operator.Conflict, Message: fmt.Sprintf("the revision is %d", current.Revision), Remedy: "use it", Current: &current}
	}
	if string(c.Document) == `"break"` {
		return operator.Object{}, errors.New("a fault without a kind")
	}
	n.version++
	object := operator.Object{Kind: c.Kind, Name: c.Name, Revision: n.version, Version: n.version, Document: c.Document, Withdrawn: c.Withdrawn}
	n.objects[key], n.changes[c.ID] = object, object
	return object, nil
}

func (n *fakeNode) Show(_ context.Context, kind operator.Kind, name string) (operator.Object, error) {
	object, ok := n.objects[string(kind)+"/"+name]
	if !ok {
		return object, &operator.Error{Kind: operator.NotFound, Message: "no object " + name, Remedy: "publish it"}
	}
	return object, nil
}

func (n *fakeNode) Status() operator.Status { return operator.Status{} }

func (n *fakeNode) Explain(q operator.ExplainQuery) (operator.Explanation, error) {
	e := operator.Explanation{Service: q.Service, Customer: q.Customer, Operation: q.Operation, Verdict: operator.VerdictAdmitted}
	if q.Fingerprint != 0 {
		e.Quarantine = []operator.QuarantineRecord{{Fingerprint: fmt.Sprintf("%016x", uint64(q.Fingerprint)), Crashes: 2, State: "quarantined", RemainingMs: 5}}
	}
	return e, nil
}

func (n *fakeNode) Ready() error {
	if n.down {
		return &operator.Error{Kind: operator.NotReady, Message: "the node has no configuration", Remedy: "wait"}
	}
	return nil
}

func (n *fakeNode) SetLogLevel(level zerolog.Level) { n.level = level }

// faultyTransport passes requests to the handler in memory and applies the next fault of a list to each attempt.
type faultyTransport struct {
	handler http.Handler
	faults  []string
	sent    []string
}

func (t *faultyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	fault := ""
	if len(t.faults) > 0 {
		fault, t.faults = t.faults[0], t.faults[1:]
	}
	t.sent = append(t.sent, r.URL.Host+" "+fault)
	switch fault {
	case "dial":
		return nil, &net.OpError{Op: "dial", Err: errors.New("connection refused")}
	case "unsent":
		return nil, &net.OpError{Op: "write", Err: errors.New("broken pipe")}
	case "plain":
		return &http.Response{StatusCode: http.StatusBadGateway, Body: http.NoBody}, nil
	}
	recorder := httptest.NewRecorder()
	t.handler.ServeHTTP(recorder, r)
	if fault == "lost" {
		return nil, &net.OpError{Op: "read", Err: errors.New("connection reset")}
	}
	return recorder.Result(), nil
}

// TestOperator guards against a change that is applied twice, or reported as not applied, after its response was lost.
func TestOperator(t *testing.T) {
	datadriven.Walk(t, "testdata/operator", func(t *testing.T, path string) {
		n := &fakeNode{objects: map[string]operator.Object{}, changes: map[operator.ChangeID]operator.Object{}}
		handler := operator.New(operator.Dependencies{Configuration: n, Inspector: n, LevelSetter: n, Metrics: http.NotFoundHandler()})
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "commit":
				return commit(t, d, handler)
			case "http":
				return request(d, handler)
			case "platform":
				n.down = d.CmdArgs[0].Key == "down"
				return ""
			case "log-level":
				return n.level.String()
			}
			d.Fatalf(t, "unknown command %q", d.Cmd)
			return ""
		})
	})
}

// commit sends a change through a network with faults and returns the attempts and the result.
func commit(t *testing.T, d *datadriven.TestData, handler http.Handler) string {
	c := operator.Change{Kind: operator.KindTemplate, Name: "golubarnik", Document: []byte(d.Input)}
	var id string
	var faults string
	d.ScanArgs(t, "change", &id)
	d.ScanArgs(t, "revision", &c.Revision)
	d.MaybeScanArgs(t, "faults", &faults)
	c.ID = operator.ChangeID(strings.Repeat(id, 32))
	c.Withdrawn = d.HasArg("withdraw")
	transport := &faultyTransport{handler: handler, faults: strings.Split(faults, "/")}
	client := operator.NewClient([]string{"a", "b"}, &http.Client{Transport: transport})
	out := ""
	synctest.Test(t, func(t *testing.T) {
		object, err := client.Commit(context.Background(), c)
		out = fmt.Sprintf("sent: %s\n", strings.Join(transport.sent, ", "))
		var e *operator.Error
		if errors.As(err, &e) {
			out += fmt.Sprintf("%s: %v", e.Kind, e)
			return
		}
		qt.Assert(t, err, qt.IsNil)
		body, err := json.Marshal(object)
		qt.Assert(t, err, qt.IsNil)
		out += string(body)
	})
	return out
}

// request sends the request "METHOD path", with an optional body on the lines after it, and returns the response.
func request(d *datadriven.TestData, handler http.Handler) string {
	line, body, _ := strings.Cut(d.Input, "\n")
	method, path, _ := strings.Cut(line, " ")
	if body == "large" {
		body = strings.Repeat("x", 256<<10+1)
	}
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	return fmt.Sprintf("%d %s", w.Code, w.Body)
}
