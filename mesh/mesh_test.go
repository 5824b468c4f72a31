package mesh_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/sapphiretack/sapphiretack/mesh"
	"github.com/sapphiretack/sapphiretack/routing"
	"github.com/sapphiretack/sapphiretack/standin"
	"github.com/sapphiretack/sapphiretack/tree"
)

func birds() routing.Route {
	return routing.Route{Name: "birds", Prefix: "/birds/", Services: to("registry"), IsRepeatable: true}
}

func rings() routing.Route {
	return routing.Route{Name: "rings", Prefix: "/rings/", Services: to("transfers")}
}

// ids returns the identifiers of the runs that are not of the test's own preparation.
func ids(a *standin.Application) []string {
	var out []string
	for _, r := range a.Runs() {
		if !strings.HasPrefix(r.ID, "settle") {
			out = append(out, r.ID)
		}
	}
	return out
}

// TestPassedOn guards against a request or response that changes on its way through two nodes.
func TestPassedOn(t *testing.T) {
	w := newWorld(t, ledger(1, birds(), rings()))
	a, b := w.start("registry", "a", 0), w.start("transfers", "b", 0)
	w.settle("/birds/1")
	body := strings.Repeat("ring ", 3000)
	r := w.send(a, http.MethodPost, "ledger.example", "/rings/7?club=%2Fx", "id7", 5*time.Second, strings.NewReader(body))
	w.c.Check(r.status, qt.Equals, http.StatusOK)
	w.c.Check(r.body, qt.Equals, standin.ApplicationBody(b.instance, "id7"))
	w.c.Check(standin.ReadApplicationAnswer(r.header).Seal, qt.Equals, "seal-of-"+b.instance)
	w.c.Check(r.header.Get("X-Request-Id"), qt.Equals, "id7")
	for name := range r.header {
		w.c.Check(strings.HasPrefix(name, "Sapphiretack-"), qt.IsFalse, qt.Commentf("header %s", name))
	}
	runs := b.application.Runs()
	w.c.Assert(runs, qt.HasLen, 1)
	left := runs[0].Left
	runs[0].Left = 0
	w.c.Check(runs[0], qt.DeepEquals, standin.ApplicationRun{
		ID: "id7", Method: "POST", Target: "/rings/7?club=%2Fx", Host: "ledger.example", Caller: "registry", Body: body,
	})
	w.c.Check(left > 0 && left <= 5*time.Second, qt.IsTrue, qt.Commentf("left %v", left))
}

// TestNoRoute guards against 404 for a route that exists, and against a request without a route that runs somewhere.
func TestNoRoute(t *testing.T) {
	w := newWorld(t, ledger(1, birds()))
	a := w.start("registry", "a", 0)
	w.settle("/birds/1")
	w.c.Check(w.get(a, "/fish/1", "x").status, qt.Equals, http.StatusNotFound)
	w.c.Check(w.send(a, "GET", "other.example", "/birds/1", "x", time.Second, nil).status, qt.Equals, http.StatusNotFound)
	w.c.Check(ids(a.application), qt.HasLen, 0)
}

// TestUnsafeRunsOnce guards against a second run of a request that may not be repeated, whatever its backend server does,
// and against an answer that claims that it has not run.
func TestUnsafeRunsOnce(t *testing.T) {
	for _, fault := range []standin.ApplicationFault{
		standin.ApplicationFails, standin.ApplicationCuts, standin.ApplicationUnsigned, standin.ApplicationForeign, standin.ApplicationResets,
	} {
		t.Run(string(fault), func(t *testing.T) {
			w := newWorld(t, ledger(1, birds(), rings()))
			a := w.start("registry", "a", 0)
			b, c := w.start("transfers", "a", 0), w.start("transfers", "b", 0)
			w.settle("/birds/1")
			b.application.SetFault(fault)
			c.application.SetFault(fault)
			for i := range 5 {
				id := fmt.Sprintf("id%d", i)
				r := w.send(a, http.MethodPost, "ledger.example", "/rings/7", id, 5*time.Second, strings.NewReader("x"))
				w.c.Check(r.status >= 500 && r.status != http.StatusServiceUnavailable, qt.IsTrue, qt.Commentf("status %d", r.status))
			}
			seen := map[string]int{}
			for _, id := range append(ids(b.application), ids(c.application)...) {
				seen[id]++
			}
			for id, n := range seen {
				w.c.Check(n, qt.Equals, 1, qt.Commentf("%s ran %d times", id, n))
			}
		})
	}
}

// TestSafeIsRepeated guards against a failure that reaches the client although another backend server would answer, and
// against bytes of a spoiled response in the answer.
func TestSafeIsRepeated(t *testing.T) {
	for _, fault := range []standin.ApplicationFault{
		standin.ApplicationSheds, standin.ApplicationFails, standin.ApplicationCuts, standin.ApplicationUnsigned,
		standin.ApplicationForeign, standin.ApplicationResets, standin.ApplicationMisplace,
	} {
		t.Run(string(fault), func(t *testing.T) {
			w := newWorld(t, ledger(1, birds()))
			a, b := w.start("registry", "a", 0), w.start("registry", "b", 0)
			w.settle("/birds/1")
			a.application.SetFault(fault)
			for i := range 3 {
				id := fmt.Sprintf("id%d", i)
				r := w.get(a, "/birds/1", id)
				w.c.Check(r.status, qt.Equals, http.StatusOK)
				w.c.Check(r.body, qt.Equals, standin.ApplicationBody(b.instance, id))
			}
		})
	}
}

// TestExtraResponse guards against a second response of a backend server that is taken for the answer to the next request.
func TestExtraResponse(t *testing.T) {
	w := newWorld(t, ledger(1, birds()))
	a := w.start("registry", "a", 0)
	w.settle("/birds/1")
	a.application.SetFault(standin.ApplicationRepeats)
	for i := range 20 {
		id := fmt.Sprintf("id%d", i)
		r := w.get(a, "/birds/1", id)
		if r.status == http.StatusOK {
			w.c.Check(r.body, qt.Equals, standin.ApplicationBody(a.instance, id))
		}
	}
}

// TestUnframed guards against an answer without a length that is lost, since its end is that of the connection.
func TestUnframed(t *testing.T) {
	w := newWorld(t, ledger(1, birds()))
	a := w.start("registry", "a", 0)
	w.settle("/birds/1")
	a.application.SetFault(standin.ApplicationUnframed)
	r := w.get(a, "/birds/1", "id")
	w.c.Check(r.err, qt.IsNil)
	w.c.Check(r.body, qt.Equals, standin.ApplicationBody(a.instance, "id"))
}

// TestTimeout guards against a request that is held past the time that the operator allows, and against work that goes on
// after it.
func TestTimeout(t *testing.T) {
	route := birds()
	route.Timeout = 150 * time.Millisecond
	w := newWorld(t, ledger(1, route, routing.Route{Name: "quick", Prefix: "/quick/", Services: to("transfers"), IsRepeatable: true}))
	a := w.start("registry", "a", time.Hour)
	w.start("transfers", "a", 0)
	w.settle("/quick/1")
	w.eventually("the request is dispatched", func() bool {
		r := w.get(a, "/birds/1", "id")
		return r.status == http.StatusGatewayTimeout
	})
	w.eventually("the work ends", func() bool { return a.application.Cancelled() == len(a.application.Runs()) })
}

// TestClientLeaves guards against work that goes on after its client has closed the connection.
func TestClientLeaves(t *testing.T) {
	w := newWorld(t, ledger(1, birds(), routing.Route{Name: "quick", Prefix: "/quick/", Services: to("transfers"), IsRepeatable: true}))
	a := w.start("registry", "a", time.Hour)
	b := w.start("transfers", "a", 0)
	w.settle("/quick/1")
	conn, err := net.Dial("tcp4", netip.AddrPortFrom(b.address, w.ports["outbound"]).String())
	w.c.Assert(err, qt.IsNil)
	fmt.Fprint(conn, standin.RawApplicationRequest("ledger.example", "/birds/1", "id", time.Minute))
	w.eventually("the request runs", func() bool { return len(a.application.Runs()) > 0 })
	w.c.Assert(conn.Close(), qt.IsNil)
	w.eventually("the work ends", func() bool { return a.application.Cancelled() > 0 })
}

// TestLeaving guards against new work for a backend server after its departure was acknowledged, with the other nodes and
// the store away.
func TestLeaving(t *testing.T) {
	w := newWorld(t, ledger(1, birds()))
	a, b := w.start("registry", "a", 0), w.start("registry", "b", 0)
	w.settle("/birds/1")
	leave := a.report
	leave.State, leave.Sequence = mesh.StateLeaving, 2
	w.c.Check(a.node.Report(leave), qt.IsTrue)
	time.Sleep(400 * time.Millisecond) // the drain time of the settings
	before := len(a.application.Runs())
	for i := range 10 {
		w.c.Check(w.get(a, "/birds/1", fmt.Sprintf("id%d", i)).status, qt.Equals, http.StatusOK)
	}
	w.c.Check(len(a.application.Runs()), qt.Equals, before)
	w.c.Check(ids(b.application), qt.HasLen, 10)

	// A report that was sent before the departure changes nothing; a new lifetime does.
	w.c.Check(a.node.Report(a.report), qt.IsTrue)
	w.c.Check(w.get(a, "/birds/1", "late").status, qt.Equals, http.StatusOK)
	w.c.Check(len(a.application.Runs()), qt.Equals, before)
}

// TestOldLifetime guards against a report of an ended lifetime that takes the present one out of service.
func TestOldLifetime(t *testing.T) {
	w := newWorld(t, ledger(1, birds()))
	a := w.start("registry", "a", 0)
	w.settle("/birds/1")
	old := a.report
	old.Instance, old.State, old.Sequence, old.Born = "i-before", mesh.StateLeaving, 99, a.report.Born.Add(-time.Minute)
	w.c.Check(a.node.Report(old), qt.IsTrue)
	w.c.Check(a.node.Report(mesh.Report{Instance: "i-before", State: mesh.StateGone}), qt.IsTrue)
	time.Sleep(200 * time.Millisecond)
	w.c.Check(w.get(a, "/birds/1", "id").status, qt.Equals, http.StatusOK)
}

// TestConfiguration guards against a node that goes on with an older configuration, and against one that returns to it.
func TestConfiguration(t *testing.T) {
	w := newWorld(t, ledger(3, birds()))
	a := w.start("registry", "a", 0)
	b := w.start("transfers", "a", 0)
	w.settle("/birds/1")
	moved := birds()
	moved.Services = to("transfers")
	w.directory.set(ledger(5, moved))
	w.eventually("the new version is in force", func() bool {
		r := w.get(a, "/birds/1", "id")
		return strings.Contains(r.body, b.instance)
	})
	w.directory.set(ledger(4, birds()))
	time.Sleep(100 * time.Millisecond)
	w.c.Check(strings.Contains(w.get(a, "/birds/1", "id").body, b.instance), qt.IsTrue)
}

// TestConfigurationFromPeer guards against a node that the store turns away and that stays on an older version, although
// other nodes have the newer one.
func TestConfigurationFromPeer(t *testing.T) {
	w := newWorld(t, ledger(3, birds()))
	a := w.start("registry", "a", 0)
	w.settle("/birds/1")
	w.directory.mu.Lock()
	w.directory.isDown = true
	w.directory.mu.Unlock()
	b := w.start("registry", "a", 0) // cannot read the store at all
	w.eventually("the configuration of the other node", func() bool {
		return w.get(b, "/birds/1", "id").status == http.StatusOK
	})
	_ = a
}

// TestStop guards against a planned stop that breaks off a request in flight.
func TestStop(t *testing.T) {
	w := newWorld(t, ledger(1, birds(), routing.Route{Name: "quick", Prefix: "/quick/", Services: to("transfers"), IsRepeatable: true}))
	a := w.start("registry", "a", 300*time.Millisecond)
	b := w.start("transfers", "a", 0)
	w.settle("/quick/1")
	got := make(chan reply, 1)
	w.group.Go(func() error { got <- w.get(b, "/birds/1", "id"); return nil })
	w.eventually("the request runs", func() bool { return len(ids(a.application)) == 1 })
	for _, m := range []*machine{a, b} {
		w.group.Go(func() error { m.stop(); return nil })
	}
	r := <-got
	w.c.Check(r.err, qt.IsNil)
	w.c.Check(r.status, qt.Equals, http.StatusOK)
}

// TestLimits guards against clients that send more than the configuration allows.
func TestLimits(t *testing.T) {
	w := newWorld(t, ledger(1, birds()))
	a := w.start("registry", "a", 0)
	w.settle("/birds/1")
	r := w.send(a, http.MethodPost, "ledger.example", "/birds/1", "id", time.Second, bytes.NewReader(make([]byte, 2<<20)))
	w.c.Check(r.err != nil || r.status == http.StatusRequestEntityTooLarge, qt.IsTrue, qt.Commentf("%d %v", r.status, r.err))
	w.c.Check(ids(a.application), qt.HasLen, 0)
}

// TestNestedCall guards against a call that its node does not tie to the run that made it, which would count as a new
// request and could be refused.
func TestNestedCall(t *testing.T) {
	w := newWorld(t, ledger(1, routing.Route{Name: "tree", Prefix: "/call/", Services: to("registry"), IsRepeatable: true}, quick()))
	a, b := w.start("registry", "a", 0), w.start("transfers", "a", 0)
	w.settle("/quick/1")
	r := w.get(a, "/call/ledger.example/quick/1", "root")
	w.c.Check(r.status, qt.Equals, http.StatusOK)
	w.c.Check(ids(b.application), qt.DeepEquals, []string{"root.1"})
}

func quick() routing.Route {
	return routing.Route{Name: "quick", Prefix: "/quick/", Services: to("transfers"), IsRepeatable: true}
}

// TestReadiness guards against a node that takes clients before it knows its configuration.
func TestReadiness(t *testing.T) {
	w := newWorld(t, ledger(1, birds()))
	a := w.start("registry", "a", 0)
	status := func() int {
		response, err := http.Get("http://" + netip.AddrPortFrom(a.address, w.ports["ready"]).String() + "/-/readiness")
		if err != nil {
			return 0
		}
		_ = response.Body.Close()
		return response.StatusCode
	}
	w.eventually("ready", func() bool { return status() == http.StatusOK })
}

// TestPipelined guards against a slow request that delays those behind it on its connection.
func TestPipelined(t *testing.T) {
	w := newWorld(t, ledger(1, birds(), quick()))
	a := w.start("registry", "a", 200*time.Millisecond)
	b := w.start("transfers", "a", 0)
	w.settle("/quick/1")
	conn, err := net.Dial("tcp4", netip.AddrPortFrom(a.address, w.ports["outbound"]).String())
	w.c.Assert(err, qt.IsNil)
	defer conn.Close()
	first := standin.RawApplicationRequest("ledger.example", "/birds/1", "first", 5*time.Second)
	second := standin.RawApplicationRequest("ledger.example", "/quick/1", "second", 5*time.Second)
	_, err = conn.Write([]byte(first + second))
	w.c.Assert(err, qt.IsNil)
	w.eventually("the second request runs before the first ends", func() bool { return len(ids(b.application)) == 1 })
	r := bufio.NewReader(conn)
	for _, id := range []string{"first", "second"} {
		response, err := http.ReadResponse(r, nil)
		w.c.Assert(err, qt.IsNil)
		w.c.Check(response.Header.Get("X-Request-Id"), qt.Equals, id)
		_, err = bytes.NewBuffer(nil).ReadFrom(response.Body)
		w.c.Check(err, qt.IsNil)
	}
}

// TestCostsAtStart guards against a node that admits every request of a route after its start, because it has not served any.
func TestCostsAtStart(t *testing.T) {
	w := newWorld(t, ledger(1, birds()))
	w.directory.costs[routing.IDOf("birds")] = tree.Cost{"registry": time.Minute}
	a := w.start("registry", "a", 0)
	w.settle("/birds/1")
	w.eventually("a request is refused", func() bool { return w.get(a, "/birds/1", "id").status == http.StatusServiceUnavailable })
}

// TestCostsKept guards against costs that are forgotten when all nodes stop.
func TestCostsKept(t *testing.T) {
	w := newWorld(t, ledger(1, birds()))
	a := w.start("registry", "a", 0)
	w.start("registry", "a", 0)
	w.settle("/birds/1")
	w.eventually("the cost of the route is in the store", func() bool {
		w.get(a, "/birds/1", "id")
		costs, err := w.directory.Costs(t.Context())
		w.c.Assert(err, qt.IsNil)
		return costs[routing.IDOf("birds")]["registry"] > 0
	})
}

// TestMetrics guards against a node that does not show its calls to the store, the age of what it knows and its allowance.
func TestMetrics(t *testing.T) {
	w := newWorld(t, ledger(1, birds()))
	a := w.start("registry", "a", 0)
	w.settle("/birds/1")
	for _, name := range []string{"store.configuration.ok", "store.register.ok", "store.costs.ok", "oldest_entry_ms", "retries_left", "nodes_known", "nodes_fresh"} {
		w.eventually(name, func() bool { return strings.Contains(w.metrics(a), name) })
	}
}

// lineWriter collects the lines of a log by their event.
type lineWriter struct {
	mu    sync.Mutex
	event string
	lines [][]byte
}

// Write implements io.Writer; zerolog writes one line a call.
func (l *lineWriter) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if bytes.Contains(line, []byte(`"event":"`+l.event+`"`)) {
		l.lines = append(l.lines, bytes.Clone(line))
	}
	return len(line), nil
}

// TestPlanLine guards against plan lines from which an overloaded gate, a node without processor time and a node that knows
// little of the fleet look alike.
func TestPlanLine(t *testing.T) {
	w := newWorld(t, ledger(1, birds()))
	lines := &lineWriter{event: "plan"}
	w.log = zerolog.New(lines)
	a := w.start("registry", "a", time.Millisecond)
	w.settle("/birds/1")
	w.eventually("a plan line tells of an attempt", func() bool {
		w.get(a, "/birds/1", "id")
		lines.mu.Lock()
		defer lines.mu.Unlock()
		return slices.ContainsFunc(lines.lines, func(line []byte) bool {
			var l struct {
				Known, Fresh int
				Oldest, Late *float64
				Instances    map[string]int
				Slots        map[string]float64
				Gate         struct {
					Limit, Started, Ended int
					Wait, Held            float64
				}
			}
			w.c.Assert(json.Unmarshal(line, &l), qt.IsNil)
			return l.Known == 1 && l.Fresh == 1 && l.Oldest != nil && l.Late != nil && l.Instances["registry/a"] == 1 &&
				l.Slots["registry/a"] > 0 && l.Gate.Limit > 0 && l.Gate.Started > 0 && l.Gate.Ended > 0 && l.Gate.Held > 0
		})
	})
}

// TestBytesWithoutEnd guards against a backend server whose bytes never end: they must neither hold a request until its time is
// over nor look like a whole answer.
func TestBytesWithoutEnd(t *testing.T) {
	for _, fault := range []standin.ApplicationFault{
		standin.ApplicationEndlessHead, standin.ApplicationEndlessBytes, standin.ApplicationEndlessRefusal,
	} {
		t.Run(string(fault), func(t *testing.T) {
			w := newWorld(t, ledger(1, birds()))
			a, b := w.start("registry", "a", 0), w.start("registry", "b", 0)
			w.settle("/birds/1")
			a.application.SetFault(fault)
			r := w.get(a, "/birds/1", "id")
			w.c.Check(r.status, qt.Equals, http.StatusOK, qt.Commentf("%v", r.body))
			w.c.Check(r.body, qt.Equals, standin.ApplicationBody(b.instance, "id"))
			w.eventually("the connection is closed", func() bool { return a.application.Cancelled() > 0 })
		})
	}
	t.Run(string(standin.ApplicationEndlessBody), func(t *testing.T) {
		w := newWorld(t, ledger(1, birds()))
		a := w.start("registry", "a", 0)
		w.settle("/birds/1")
		a.application.SetFault(standin.ApplicationEndlessBody)
		r := w.send(a, http.MethodGet, "ledger.example", "/birds/1", "id", 500*time.Millisecond, nil)
		w.c.Check(r.err, qt.IsNotNil, qt.Commentf("the answer looks whole: %d %q", r.status, r.body))
		w.eventually("the connection is closed", func() bool { return a.application.Cancelled() > 0 })
	})
}
