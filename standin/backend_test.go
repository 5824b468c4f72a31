package standin_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	qt "github.com/frankban/quicktest"

	"github.com/sapphiretack/sapphiretack/standin"
)

// statusAborted is the status recorded when the backend server aborts the connection during a response.
const statusAborted = 599

// nodeStub responds to nested calls as the loopback listener of a node does.
type nodeStub struct{ outcome string }

func (n nodeStub) RoundTrip(r *http.Request) (*http.Response, error) {
	status := http.StatusOK
	if n.outcome == "not_run" {
		status = http.StatusServiceUnavailable
	}
	return &http.Response{
		StatusCode: status,
		Body:       io.NopCloser(strings.NewReader(r.URL.Path + " " + r.Header.Get("Sapphiretack-Call"))),
		Trailer:    http.Header{"Sapphiretack-Outcome": {n.outcome}},
	}, nil
}

// backendTest runs a script against a backend server in virtual time.
type backendTest struct {
	backend *standin.Backend
	log     bytes.Buffer
	sends   sync.WaitGroup
	mu      sync.Mutex
	out     strings.Builder
	start   time.Time
}

func (b *backendTest) printf(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintf(&b.out, "%v: ", time.Since(b.start))
	fmt.Fprintf(&b.out, format+"\n", args...)
}

func (b *backendTest) request(method, path, body string, header http.Header) (w *httptest.ResponseRecorder) {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	if header != nil {
		r.Header = header
	}
	w = httptest.NewRecorder()
	defer func() {
		if recover() != nil {
			w = httptest.NewRecorder()
			w.WriteHeader(statusAborted)
		}
	}()
	b.backend.ServeHTTP(w, r)
	return w
}

// send sends the request that a script line describes, such as "record-arrival key=a effect=e timeout=10".
func (b *backendTest) send(line string) {
	fields := strings.Fields(line)
	header := http.Header{}
	var payload standin.Payload
	for _, f := range fields[1:] {
		name, value, _ := strings.Cut(f, "=")
		switch name {
		case "key":
			payload.Key = value
		case "crash_at":
			payload.CrashAt = value
		case "effect":
			header.Set("Sapphiretack-Effect", value)
		case "timeout":
			header.Set("Sapphiretack-Timeout-Ms", value)
		}
	}
	body, _ := json.Marshal(payload)
	b.sends.Go(func() {
		w := b.request("POST", "/"+fields[0], string(body), header)
		b.printf("%s key=%s: status %d, not run %q, %s", fields[0], payload.Key, w.Code, w.Header().Get("Sapphiretack-Not-Run"), summary(w))
	})
}

func summary(w *httptest.ResponseRecorder) string {
	if w.Code == http.StatusOK {
		return fmt.Sprintf("%d parts", strings.Count(w.Body.String(), "\n"))
	}
	return strings.TrimSpace(w.Body.String())
}

// TestBackend guards against a stand-in that behaves unlike a real backend server: more concurrent executions than slots,
// executions without a record, truncated responses that look complete, and load reports that never lag.
func TestBackend(t *testing.T) {
	datadriven.Walk(t, "testdata/backend", func(t *testing.T, path string) {
		var b *backendTest
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			out := ""
			synctest.Test(t, func(t *testing.T) {
				b = newBackendTest(t, d)
				for line := range strings.Lines(d.Input) {
					b.step(t, strings.TrimSpace(line))
				}
				b.sends.Wait()
				executions, err := json.Marshal(recorded(t, b))
				qt.Assert(t, err, qt.IsNil)
				out = b.out.String() + "executions: " + string(executions)
			})
			return out
		})
	})
}

func newBackendTest(t *testing.T, d *datadriven.TestData) *backendTest {
	s := standin.BackendSettings{
		Instance: "racedesk-1", Service: "racedesk", Slots: 1, LoopbackURL: "http://127.0.0.1:1",
		Behavior: standin.Behavior{Queue: 1, Operations: map[string]standin.OperationBehavior{
			"record-arrival": {ServiceTimeMs: 20, Nested: []string{"transfers/check-transfer"}},
			"fetch-season":   {ServiceTimeMs: 30, Parts: 3},
		}},
	}
	var cold int
	var report, nested string
	d.MaybeScanArgs(t, "cold_start_ms", &cold)
	d.MaybeScanArgs(t, "load_report", &report)
	nested = "answered"
	d.MaybeScanArgs(t, "nested", &nested)
	d.MaybeScanArgs(t, "load_lag_ms", &s.Behavior.LoadLagMs)
	s.ColdStart = time.Duration(cold) * time.Millisecond
	s.Behavior.LoadReport = standin.LoadReport(report)
	b := &backendTest{start: time.Now()}
	s.Log = &b.log
	s.Client = &http.Client{Transport: nodeStub{outcome: nested}}
	s.Exit = func(status int) { b.printf("exit with status %d", status) }
	b.backend = standin.NewBackend(s)
	return b
}

func (b *backendTest) step(t *testing.T, line string) {
	command, rest, _ := strings.Cut(line, " ")
	switch command {
	case "send":
		b.send(rest)
		synctest.Wait()
	case "wait":
		d, err := time.ParseDuration(rest)
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(d)
		synctest.Wait()
	case "get":
		w := b.request("GET", rest, "", nil)
		b.printf("%s: status %d, %s", rest, w.Code, strings.TrimSpace(w.Body.String()))
	case "drain":
		b.request("POST", "/admin/drain", "", nil)
	case "behavior":
		b.printf("behavior: status %d", b.request("PUT", "/admin/behavior", rest, nil).Code)
	default:
		t.Fatalf("unknown line %q", line)
	}
}

// recorded returns the executions from the administration endpoint, after a check that the log has as many.
func recorded(t *testing.T, b *backendTest) []standin.Execution {
	var executions []standin.Execution
	w := b.request("GET", "/admin/executions", "", nil)
	qt.Assert(t, json.Unmarshal(w.Body.Bytes(), &executions), qt.IsNil)
	qt.Assert(t, strings.Count(b.log.String(), "\n"), qt.Equals, len(executions))
	return executions
}

// TestRepeatedEffects guards against missing a repeated execution of an effect and against reporting reads or other operations.
func TestRepeatedEffects(t *testing.T) {
	executions := []standin.Execution{
		{Operation: "a/b", Effect: "1", Key: "x"},
		{Operation: "a/c", Effect: "1", Key: "x"}, // another operation
		{Operation: "a/b", Key: "x"},              // a read
		{Operation: "a/b", Effect: "2"},
		{Operation: "a/b", Effect: "2", Instance: "other"},
		{Operation: "a/b", Effect: "3", Key: "x"},
	}
	qt.Assert(t, standin.RepeatedEffects(executions), qt.DeepEquals, []standin.Execution{executions[4], executions[5]})
}
