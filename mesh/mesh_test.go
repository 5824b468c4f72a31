package mesh_test

import (
	"bufio"
	"bytes"
	"context"
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

	"github.com/sapphiretack/sapphiretack/fleet"
	"github.com/sapphiretack/sapphiretack/mesh"
	"github.com/sapphiretack/sapphiretack/routing"
	"github.com/sapphiretack/sapphiretack/standin"
	"github.com/sapphiretack/sapphiretack/tree"
)

// birdsRoute returns an idempotent route to the service registry.
func birdsRoute() routing.Route {
	return routing.Route{Name: "birds", Prefix: "/birds/", Services: toService("registry"), IsIdempotent: true}
}

// ringsRoute returns a non-idempotent route to the service transfers.
func ringsRoute() routing.Route {
	return routing.Route{Name: "rings", Prefix: "/rings/", Services: toService("transfers")}
}

// runIDs returns the request ids that an application ran, without those of waitUntilServing.
func runIDs(a *standin.Application) []string {
	var out []string
	for _, r := range a.Runs() {
		if !strings.HasPrefix(r.ID, "settle") {
			out = append(out, r.ID)
		}
	}
	return out
}

// TestUnmodifiedThroughNodes guards against a request or response that is modified on the path through two nodes.
func TestUnmodifiedThroughNodes(t *testing.T) {
	d := newDeployment(t, ledgerConfiguration(1, birdsRoute(), ringsRoute()))
	a, b := d.start("registry", "a", 0), d.start("transfers", "b", 0)
	d.waitUntilServing("/birds/1")
	body := strings.Repeat("ring ", 3000)
	r := d.send(a, http.MethodPost, "ledger.example", "/rings/7?club=%2Fx", "id7", 5*time.Second, strings.NewReader(body))
	d.c.Check(r.status, qt.Equals, http.StatusOK)
	d.c.Check(r.body, qt.Equals, standin.ApplicationBody(b.instance, "id7"))
	d.c.Check(standin.ReadApplicationResponse(r.header).Seal, qt.Equals, "seal-of-"+b.instance)
	d.c.Check(r.header.Get("X-Request-Id"), qt.Equals, "id7")
	for name := range r.header {
		d.c.Check(strings.HasPrefix(name, "Sapphiretack-"), qt.IsFalse, qt.Commentf("header %s", name))
	}
	runs := b.application.Runs()
	d.c.Assert(runs, qt.HasLen, 1)
	left := runs[0].Remaining
	runs[0].Remaining = 0
	d.c.Check(runs[0], qt.DeepEquals, standin.ApplicationRun{
		ID: "id7", Method: "POST", Target: "/rings/7?club=%2Fx", Host: "ledger.example", Caller: "registry", Body: body,
	})
	d.c.Check(left > 0 && left <= 5*time.Second, qt.IsTrue, qt.Commentf("left %v", left))
}

// sendRaw sends a GET request with a target that net/http would change, and returns the status.
func (d *deployment) sendRaw(m *machine, target, id string) int {
	conn, err := net.Dial("tcp4", netip.AddrPortFrom(m.address, d.ports["outbound"]).String())
	d.c.Assert(err, qt.IsNil)
	defer conn.Close()
	fmt.Fprint(conn, standin.RawApplicationRequest("ledger.example", target, id, 5*time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	d.c.Assert(err, qt.IsNil)
	return response.StatusCode
}

// TestEncodedSlash guards against a request that runs at the service of another route, because an encoded slash counts as the end of a prefix.
func TestEncodedSlash(t *testing.T) {
	all := routing.Route{Name: "all", Prefix: "/", Services: toService("registry"), IsIdempotent: true}
	d := newDeployment(t, ledgerConfiguration(1, all, ringsRoute()))
	a, b := d.start("registry", "a", 0), d.start("transfers", "a", 0)
	d.waitUntilServing("/birds/1")
	for i, target := range []string{"/rings%2F7", "/rings%2f7", "/%72ings/7", "/rings/7"} {
		before := len(b.application.Runs())
		d.c.Check(d.sendRaw(a, target, fmt.Sprint("encoded", i)), qt.Equals, http.StatusOK)
		d.c.Check(len(b.application.Runs()) > before, qt.Equals, target == "/rings/7", qt.Commentf("%s", target))
	}
}

// TestPathWithTwoSlashes guards against a path that becomes a host and another path on its way, because it begins with two slashes.
func TestPathWithTwoSlashes(t *testing.T) {
	all := routing.Route{
		ID: routing.IDOf("all"), Name: "all", Host: "ledger.example", Prefix: "/", Services: toService("registry"), IsIdempotent: true, MaxAttempts: 1,
	}
	d := newDeployment(t, ledgerConfiguration(1, all))
	a, b := d.start("transfers", "a", 0), d.start("registry", "a", 0)
	d.waitUntilServing("/birds/1")
	targets := []string{"//lanterns/2f?feast=7", "//lanterns/2f", "//", "///x", "//a@b:1/%2Fc?", "/a//b?//c", "//x?y?z=%zz", "/usual?a=//b"}
	for i, target := range targets {
		before := len(b.application.Runs())
		d.c.Check(d.sendRaw(a, target, fmt.Sprint("slashes", i)), qt.Equals, http.StatusOK, qt.Commentf("%s", target))
		runs := b.application.Runs()[before:]
		d.c.Assert(runs, qt.HasLen, 1)
		d.c.Check(runs[0].Target, qt.Equals, target)
		d.c.Check(runs[0].Host, qt.Equals, "ledger.example")
	}
}

// sendAttempt sends an attempt to the gate of a machine as another node does, once the node listens, and returns the result that the
// gate states.
func (d *deployment) sendAttempt(m *machine, call string) string {
	inbound := netip.AddrPortFrom(m.address, d.ports["inbound"]).String()
	r, err := standin.NewApplicationRequest(context.Background(), inbound, "ledger.example", http.MethodGet, "/birds/1", "id", time.Second, nil, 0)
	d.c.Assert(err, qt.IsNil)
	r.Header.Set("Sapphiretack-Call", call)
	result := ""
	d.eventually("the node listens", func() bool {
		response, err := http.DefaultTransport.RoundTrip(r)
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		result = response.Header.Get("Sapphiretack-Result")
		return true
	})
	return result
}

// TestReusedAddress guards against a request that runs at another service, because the address that its sender knows now belongs to a
// machine of that service.
func TestReusedAddress(t *testing.T) {
	d := newDeployment(t, ledgerConfiguration(1, birdsRoute()))
	b := d.start("transfers", "b", 0)
	for _, attempt := range []struct {
		call, result string
	}{
		{"1 0 -s /registry", "not_run unknown_server"},
		{"1 0 -s /transfers", "answered"},
		{"1 0 -s i-registry-1", "answered"}, // a node of an earlier version names the incarnation, and not the service
	} {
		result := d.sendAttempt(b, attempt.call)
		d.c.Check(strings.HasPrefix(result, attempt.result), qt.IsTrue, qt.Commentf("%s: %s", attempt.call, result))
	}
	d.c.Check(b.application.Runs(), qt.HasLen, 2)
}

// TestGateOfLeavingServer guards against a gate that stays open for nodes that have not heard that its backend server is leaving.
func TestGateOfLeavingServer(t *testing.T) {
	d := newDeployment(t, ledgerConfiguration(1, birdsRoute()))
	m := d.start("registry", "a", 0)
	const call = "1 0 -s /registry"
	d.c.Check(strings.HasPrefix(d.sendAttempt(m, call), "answered"), qt.IsTrue)
	report := m.report
	report.State, report.Sequence = mesh.StateLeaving, 2
	d.c.Assert(m.node.Report(report), qt.IsTrue)
	d.eventually("the gate refuses", func() bool { return strings.HasPrefix(d.sendAttempt(m, call), "not_run leaving") })
	runs := len(m.application.Runs())
	_ = d.sendAttempt(m, call)
	d.c.Check(m.application.Runs(), qt.HasLen, runs)
}

// TestNoRoute guards against a request without a matching route that is run, or that gets a status other than 404.
func TestNoRoute(t *testing.T) {
	d := newDeployment(t, ledgerConfiguration(1, birdsRoute()))
	a := d.start("registry", "a", 0)
	d.waitUntilServing("/birds/1")
	d.c.Check(d.get(a, "/fish/1", "x").status, qt.Equals, http.StatusNotFound)
	d.c.Check(d.send(a, "GET", "other.example", "/birds/1", "x", time.Second, nil).status, qt.Equals, http.StatusNotFound)
	d.c.Check(runIDs(a.application), qt.HasLen, 0)
}

// TestNonIdempotentRunsOnce guards against a second run of a non-idempotent request after any fault of its backend server,
// and against a 503, which would claim that it has not run.
func TestNonIdempotentRunsOnce(t *testing.T) {
	for _, fault := range []standin.ApplicationFault{
		standin.ApplicationFails, standin.ApplicationTruncates, standin.ApplicationUnsigned, standin.ApplicationMismatches, standin.ApplicationResets,
		standin.ApplicationLateRefusal, standin.ApplicationAnonymousRefusal,
	} {
		t.Run(string(fault), func(t *testing.T) {
			d := newDeployment(t, ledgerConfiguration(1, birdsRoute(), ringsRoute()))
			a := d.start("registry", "a", 0)
			b, c := d.start("transfers", "a", 0), d.start("transfers", "b", 0)
			d.waitUntilServing("/birds/1")
			b.application.SetFault(fault)
			c.application.SetFault(fault)
			for i := range 5 {
				id := fmt.Sprintf("id%d", i)
				r := d.send(a, http.MethodPost, "ledger.example", "/rings/7", id, 5*time.Second, strings.NewReader("x"))
				d.c.Check(r.status >= 500 && r.status != http.StatusServiceUnavailable, qt.IsTrue, qt.Commentf("status %d", r.status))
			}
			seen := map[string]int{}
			for _, id := range append(runIDs(b.application), runIDs(c.application)...) {
				seen[id]++
			}
			for id, n := range seen {
				d.c.Check(n, qt.Equals, 1, qt.Commentf("%s ran %d times", id, n))
			}
		})
	}
}

// TestIdempotentIsRetried guards against a failure of one backend server that reaches the client of an idempotent request
// although another could serve it, and against bytes of a faulty response in the final one.
func TestIdempotentIsRetried(t *testing.T) {
	for _, fault := range []standin.ApplicationFault{
		standin.ApplicationSheds, standin.ApplicationFails, standin.ApplicationTruncates, standin.ApplicationUnsigned,
		standin.ApplicationMismatches, standin.ApplicationResets, standin.ApplicationMisdirects,
	} {
		t.Run(string(fault), func(t *testing.T) {
			d := newDeployment(t, ledgerConfiguration(1, birdsRoute()))
			a, b := d.start("registry", "a", 0), d.start("registry", "b", 0)
			d.waitUntilServing("/birds/1")
			a.application.SetFault(fault)
			for i := range 3 {
				id := fmt.Sprintf("id%d", i)
				r := d.get(a, "/birds/1", id)
				d.c.Check(r.status, qt.Equals, http.StatusOK)
				d.c.Check(r.body, qt.Equals, standin.ApplicationBody(b.instance, id))
			}
		})
	}
}

// TestRepeatsAreCounted guards against repeats at a service that neither the metrics nor the log lines of their requests show.
func TestRepeatsAreCounted(t *testing.T) {
	d := newDeployment(t, ledgerConfiguration(1, birdsRoute()))
	lines := &lineWriter{event: "answered"}
	d.log = zerolog.New(lines)
	a := d.start("registry", "a", 0)
	d.start("registry", "b", 0)
	d.waitUntilServing("/birds/1")
	before := d.metrics(a)
	d.c.Check(before, qt.Not(qt.Contains), "repeats.registry")
	a.application.SetFault(standin.ApplicationResets)
	d.c.Assert(d.get(a, "/birds/1", "repeated").status, qt.Equals, http.StatusOK)
	d.c.Check(d.metrics(a), qt.Contains, "repeats.registry 1\n")
	lines.mu.Lock()
	defer lines.mu.Unlock()
	d.c.Assert(lines.lines, qt.Not(qt.HasLen), 0)
	var l struct {
		RequestID   string `json:"request_id"`
		Repeat      bool
		Arrivals    int
		MaxAttempts int     `json:"max_attempts"`
		Given, Left float64 // ms
	}
	d.c.Assert(json.Unmarshal(lines.lines[len(lines.lines)-1], &l), qt.IsNil)
	d.c.Check(l.RequestID, qt.Equals, "repeated")
	d.c.Check(l.Repeat, qt.IsTrue)
	d.c.Check(l.Arrivals, qt.Equals, 1)
	d.c.Check(l.MaxAttempts, qt.Equals, 2)
	d.c.Check(l.Given, qt.Equals, 5000.0)
	d.c.Check(l.Left > 0 && l.Left < l.Given, qt.IsTrue)
}

// TestDuplicateResponse guards against a duplicate response of a backend server that is used as the response to the next
// request.
func TestDuplicateResponse(t *testing.T) {
	d := newDeployment(t, ledgerConfiguration(1, birdsRoute()))
	a := d.start("registry", "a", 0)
	d.waitUntilServing("/birds/1")
	a.application.SetFault(standin.ApplicationRepeats)
	for i := range 20 {
		id := fmt.Sprintf("id%d", i)
		r := d.get(a, "/birds/1", id)
		if r.status == http.StatusOK {
			d.c.Check(r.body, qt.Equals, standin.ApplicationBody(a.instance, id))
		}
	}
}

// TestResponseWithoutLength guards against the loss of a response without Content-Length, whose end is the end of the
// connection.
func TestResponseWithoutLength(t *testing.T) {
	d := newDeployment(t, ledgerConfiguration(1, birdsRoute()))
	a := d.start("registry", "a", 0)
	d.waitUntilServing("/birds/1")
	a.application.SetFault(standin.ApplicationUnframed)
	r := d.get(a, "/birds/1", "id")
	d.c.Check(r.err, qt.IsNil)
	d.c.Check(r.body, qt.Equals, standin.ApplicationBody(a.instance, "id"))
}

// TestTimeout guards against a request that runs past the timeout of its route, and against a backend server that goes on
// with it after that.
func TestTimeout(t *testing.T) {
	route := birdsRoute()
	route.Timeout = 150 * time.Millisecond
	d := newDeployment(t, ledgerConfiguration(1, route, routing.Route{Name: "quick", Prefix: "/quick/", Services: toService("transfers"), IsIdempotent: true}))
	a := d.start("registry", "a", time.Hour)
	d.start("transfers", "a", 0)
	d.waitUntilServing("/quick/1")
	d.eventually("the request is dispatched", func() bool {
		r := d.get(a, "/birds/1", "id")
		return r.status == http.StatusGatewayTimeout
	})
	d.eventually("the work ends", func() bool { return a.application.Cancelled() == len(a.application.Runs()) })
}

// TestClientDisconnects guards against a backend server that goes on with a request after its client has closed the
// connection.
func TestClientDisconnects(t *testing.T) {
	d := newDeployment(t, ledgerConfiguration(1, birdsRoute(), routing.Route{Name: "quick", Prefix: "/quick/", Services: toService("transfers"), IsIdempotent: true}))
	a := d.start("registry", "a", time.Hour)
	b := d.start("transfers", "a", 0)
	d.waitUntilServing("/quick/1")
	conn, err := net.Dial("tcp4", netip.AddrPortFrom(b.address, d.ports["outbound"]).String())
	d.c.Assert(err, qt.IsNil)
	fmt.Fprint(conn, standin.RawApplicationRequest("ledger.example", "/birds/1", "id", time.Minute))
	d.eventually("the request runs", func() bool { return len(a.application.Runs()) > 0 })
	d.c.Assert(conn.Close(), qt.IsNil)
	d.eventually("the work ends", func() bool { return a.application.Cancelled() > 0 })
}

// checkQueueIsLeft has a client with a body of the given length leave while its request waits at the gate of another node, and checks that the request
// does not run.
func checkQueueIsLeft(t *testing.T, length int, isChunked bool) {
	d := newDeployment(t, ledgerConfiguration(1, birdsRoute(), ringsRoute()))
	d.logOnFailure(t)
	server, client := d.start("transfers", "a", 2*time.Second), d.start("registry", "a", 0)
	d.waitUntilServing("/birds/1")
	server.report.Slots = 1
	d.reportAgain(server)
	dial := func(id string) net.Conn {
		conn, err := net.Dial("tcp4", netip.AddrPortFrom(client.address, d.ports["outbound"]).String())
		d.c.Assert(err, qt.IsNil)
		head := "POST /rings/7 HTTP/1.1\r\nHost: ledger.example\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: 30000\r\n"
		body := strings.Repeat("x", length)
		if isChunked {
			_, err = fmt.Fprintf(conn, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body)
		} else {
			_, err = fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
		}
		d.c.Assert(err, qt.IsNil)
		return conn
	}
	first := dial("first")
	defer first.Close()
	d.eventually("the first one runs", func() bool { return len(server.application.Runs()) == 1 })
	second := dial("second")
	d.eventually("the second one waits", func() bool {
		_, rest, _ := strings.Cut(d.metrics(server), "\nsapphiretack_gate_load_thousandths ")
		load := 0
		_, err := fmt.Sscan(rest, &load)
		return err == nil && load > 1500 // of one slot
	})
	d.c.Assert(second.Close(), qt.IsNil)
	d.eventually("the second one is dropped", func() bool { return strings.Contains(d.metrics(server), "gate_not_run_too_late 1\n") })
	third := dial("third")
	defer third.Close()
	d.eventually("the third one runs", func() bool { return slices.Contains(runIDs(server.application), "third") })
	d.c.Check(runIDs(server.application), qt.DeepEquals, []string{"first", "third"})
}

// TestClientLeavesQueue guards against a request that waits at the gate of another node and runs although its client has left meanwhile.
func TestClientLeavesQueue(t *testing.T) {
	for name, test := range map[string]struct {
		length    int
		isChunked bool
	}{
		"no body": {}, "short body": {length: 4000}, "longest body that is kept": {length: 32 << 10}, "short body in chunks": {4000, true},
	} {
		t.Run(name, func(t *testing.T) { checkQueueIsLeft(t, test.length, test.isChunked) })
	}
}

// TestClientLeavesQueueWithLongBody guards against the same with a body that is longer than what a node keeps.
func TestClientLeavesQueueWithLongBody(t *testing.T) { checkQueueIsLeft(t, 64<<10, false) }

// TestNoRequestsWhileLeaving guards against requests to a backend server that announced longer ago than the drain time that
// it is leaving, also when reports arrive out of order.
func TestNoRequestsWhileLeaving(t *testing.T) {
	d := newDeployment(t, ledgerConfiguration(1, birdsRoute()))
	a, b := d.start("registry", "a", 0), d.start("registry", "b", 0)
	d.waitUntilServing("/birds/1")
	leave := a.report
	leave.State, leave.Sequence = mesh.StateLeaving, 2
	d.c.Check(a.node.Report(leave), qt.IsTrue)
	time.Sleep(400 * time.Millisecond) // DrainTime in the settings
	before := len(a.application.Runs())
	for i := range 10 {
		d.c.Check(d.get(a, "/birds/1", fmt.Sprintf("id%d", i)).status, qt.Equals, http.StatusOK)
	}
	d.c.Check(len(a.application.Runs()), qt.Equals, before)
	d.c.Check(runIDs(b.application), qt.HasLen, 10)

	// A report with an older sequence number must not put the backend server back into service.
	d.c.Check(a.node.Report(a.report), qt.IsTrue)
	d.c.Check(d.get(a, "/birds/1", "late").status, qt.Equals, http.StatusOK)
	d.c.Check(len(a.application.Runs()), qt.Equals, before)
}

// TestLateReportOfOldIncarnation guards against a late report of a previous incarnation that takes the current one out of service.
func TestLateReportOfOldIncarnation(t *testing.T) {
	d := newDeployment(t, ledgerConfiguration(1, birdsRoute()))
	a := d.start("registry", "a", 0)
	d.waitUntilServing("/birds/1")
	old := a.report
	old.Instance, old.State, old.Sequence, old.StartTime = "i-before", mesh.StateLeaving, 99, a.report.StartTime.Add(-time.Minute)
	d.c.Check(a.node.Report(old), qt.IsTrue)
	d.c.Check(a.node.Report(mesh.Report{Instance: "i-before", State: mesh.StateGone}), qt.IsTrue)
	time.Sleep(200 * time.Millisecond)
	d.c.Check(d.get(a, "/birds/1", "id").status, qt.Equals, http.StatusOK)
}

// TestConfiguration guards against a node that misses a newer configuration, and against one that goes back to an older
// version.
func TestConfiguration(t *testing.T) {
	d := newDeployment(t, ledgerConfiguration(3, birdsRoute()))
	a := d.start("registry", "a", 0)
	b := d.start("transfers", "a", 0)
	d.waitUntilServing("/birds/1")
	moved := birdsRoute()
	moved.Services = toService("transfers")
	d.store.set(ledgerConfiguration(5, moved))
	d.eventually("the new version is applied", func() bool {
		r := d.get(a, "/birds/1", "id")
		return strings.Contains(r.body, b.instance)
	})
	d.store.set(ledgerConfiguration(4, birdsRoute()))
	time.Sleep(100 * time.Millisecond)
	d.c.Check(strings.Contains(d.get(a, "/birds/1", "id").body, b.instance), qt.IsTrue)
}

// TestConfigurationFromPeer guards against a node that cannot read the store and stays without a configuration that other
// nodes have.
func TestConfigurationFromPeer(t *testing.T) {
	d := newDeployment(t, ledgerConfiguration(3, birdsRoute()))
	a := d.start("registry", "a", 0)
	d.waitUntilServing("/birds/1")
	d.store.mu.Lock()
	d.store.isDown = true
	d.store.mu.Unlock()
	b := d.start("registry", "a", 0) // cannot read the store at all
	d.eventually("the configuration of the other node", func() bool {
		return d.get(b, "/birds/1", "id").status == http.StatusOK
	})
	_ = a
}

// TestRestartIsRegistered guards against nodes that write their address again at each start, which takes the store most of a second
// when all restart at once, and against a new node that no other one learns of.
func TestRestartIsRegistered(t *testing.T) {
	d := newDeployment(t, ledgerConfiguration(1, birdsRoute()))
	known := fleet.Endpoint{Address: netip.AddrFrom4([4]byte{127, 1, d.network, 1}), Zone: "a"}
	d.store.addresses = []fleet.Endpoint{known}
	d.start("registry", "a", 0)
	b := d.start("registry", "b", 0)
	d.waitUntilServing("/birds/1")
	d.store.mu.Lock()
	defer d.store.mu.Unlock()
	d.c.Check(d.store.registrations, qt.Equals, 1)
	d.c.Check(slices.Equal(d.store.addresses, []fleet.Endpoint{known, {Address: b.address, Zone: "b"}}), qt.IsTrue, qt.Commentf("%v", d.store.addresses))
}

// TestGracefulShutdown guards against a graceful shutdown that aborts a request in flight.
func TestGracefulShutdown(t *testing.T) {
	d := newDeployment(t, ledgerConfiguration(1, birdsRoute(), routing.Route{Name: "quick", Prefix: "/quick/", Services: toService("transfers"), IsIdempotent: true}))
	a := d.start("registry", "a", 300*time.Millisecond)
	b := d.start("transfers", "a", 0)
	d.waitUntilServing("/quick/1")
	got := make(chan reply, 1)
	d.group.Go(func() error { got <- d.get(b, "/birds/1", "id"); return nil })
	d.eventually("the request runs", func() bool { return len(runIDs(a.application)) == 1 })
	for _, m := range []*machine{a, b} {
		d.group.Go(func() error { m.stop(); return nil })
	}
	r := <-got
	d.c.Check(r.err, qt.IsNil)
	d.c.Check(r.status, qt.Equals, http.StatusOK)
}

// TestStopAnswersWhatRemains guards against a client whose connection is cut without a response, because its request still runs when the
// stop time of the node is over.
func TestStopAnswersWhatRemains(t *testing.T) {
	d := newDeployment(t, ledgerConfiguration(1, birdsRoute(), ringsRoute(), quickRoute()))
	slow := d.start("registry", "a", time.Hour)
	client := d.start("transfers", "b", 0)
	d.waitUntilServing("/quick/1")
	got := make(chan reply, 1)
	d.group.Go(func() error {
		got <- d.send(client, http.MethodGet, "ledger.example", "/birds/1", "id", time.Minute, nil)
		return nil
	})
	d.eventually("the request runs", func() bool { return len(runIDs(slow.application)) == 1 })
	client.stop()
	r := <-got
	d.c.Check(r.err, qt.IsNil)
	d.c.Check(r.status, qt.Equals, http.StatusBadGateway)
}

// TestLimits guards against running a request whose body exceeds the configured limit.
func TestLimits(t *testing.T) {
	d := newDeployment(t, ledgerConfiguration(1, birdsRoute()))
	a := d.start("registry", "a", 0)
	d.waitUntilServing("/birds/1")
	r := d.send(a, http.MethodPost, "ledger.example", "/birds/1", "id", time.Second, bytes.NewReader(make([]byte, 2<<20)))
	d.c.Check(r.err != nil || r.status == http.StatusRequestEntityTooLarge, qt.IsTrue, qt.Commentf("status %d, error %v", r.status, r.err))
	d.c.Check(runIDs(a.application), qt.HasLen, 0)
}

// TestNestedCall guards against a call of a running request that is not recognized as such: it would count as a new request
// and could be refused by admission.
func TestNestedCall(t *testing.T) {
	d := newDeployment(t, ledgerConfiguration(1, routing.Route{Name: "tree", Prefix: "/call/", Services: toService("registry"), IsIdempotent: true}, quickRoute()))
	a, b := d.start("registry", "a", 0), d.start("transfers", "a", 0)
	d.waitUntilServing("/quick/1")
	r := d.get(a, "/call/ledger.example/quick/1", "root")
	d.c.Check(r.status, qt.Equals, http.StatusOK)
	d.c.Check(runIDs(b.application), qt.DeepEquals, []string{"root.1"})
}

// quickRoute returns an idempotent route to the service transfers.
func quickRoute() routing.Route {
	return routing.Route{Name: "quick", Prefix: "/quick/", Services: toService("transfers"), IsIdempotent: true}
}

// TestReadiness guards against a node that never reports itself ready after it has read its configuration.
func TestReadiness(t *testing.T) {
	d := newDeployment(t, ledgerConfiguration(1, birdsRoute()))
	a := d.start("registry", "a", 0)
	status := func() int {
		response, err := http.Get("http://" + netip.AddrPortFrom(a.address, d.ports["ready"]).String() + "/-/readiness")
		if err != nil {
			return 0
		}
		_ = response.Body.Close()
		return response.StatusCode
	}
	d.eventually("ready", func() bool { return status() == http.StatusOK })
}

// TestPipelinedRequests guards against a slow request that delays pipelined requests behind it on the same connection.
func TestPipelinedRequests(t *testing.T) {
	d := newDeployment(t, ledgerConfiguration(1, birdsRoute(), quickRoute()))
	a := d.start("registry", "a", 200*time.Millisecond)
	b := d.start("transfers", "a", 0)
	d.waitUntilServing("/quick/1")
	conn, err := net.Dial("tcp4", netip.AddrPortFrom(a.address, d.ports["outbound"]).String())
	d.c.Assert(err, qt.IsNil)
	defer conn.Close()
	first := standin.RawApplicationRequest("ledger.example", "/birds/1", "first", 5*time.Second)
	second := standin.RawApplicationRequest("ledger.example", "/quick/1", "second", 5*time.Second)
	_, err = conn.Write([]byte(first + second))
	d.c.Assert(err, qt.IsNil)
	d.eventually("the second request runs before the first ends", func() bool { return len(runIDs(b.application)) == 1 })
	r := bufio.NewReader(conn)
	for _, id := range []string{"first", "second"} {
		response, err := http.ReadResponse(r, nil)
		d.c.Assert(err, qt.IsNil)
		d.c.Check(response.Header.Get("X-Request-Id"), qt.Equals, id)
		_, err = bytes.NewBuffer(nil).ReadFrom(response.Body)
		d.c.Check(err, qt.IsNil)
	}
}

// TestCostsAtStart guards against a starting node that ignores stored costs and admits every request until it has measured
// its own.
func TestCostsAtStart(t *testing.T) {
	d := newDeployment(t, ledgerConfiguration(1, birdsRoute()))
	d.store.costs[routing.IDOf("birds")] = tree.Cost{"registry": time.Minute}
	a := d.start("registry", "a", 0)
	d.waitUntilServing("/birds/1")
	d.eventually("a request is refused", func() bool { return d.get(a, "/birds/1", "id").status == http.StatusServiceUnavailable })
}

// TestCostsStored guards against measured costs that are not stored and so are lost when all nodes stop.
func TestCostsStored(t *testing.T) {
	d := newDeployment(t, ledgerConfiguration(1, birdsRoute()))
	a := d.start("registry", "a", 0)
	d.start("registry", "a", 0)
	d.waitUntilServing("/birds/1")
	d.eventually("the cost of the route is in the store", func() bool {
		d.get(a, "/birds/1", "id")
		costs, err := d.store.Costs(t.Context())
		d.c.Assert(err, qt.IsNil)
		return costs[routing.IDOf("birds")]["registry"] > 0
	})
}

// TestMetrics guards against missing metrics of store calls, the age of fleet entries and the retry budget.
func TestMetrics(t *testing.T) {
	d := newDeployment(t, ledgerConfiguration(1, birdsRoute()))
	a := d.start("registry", "a", 0)
	d.waitUntilServing("/birds/1")
	for _, name := range []string{"store.configuration.ok", "store.register.ok", "store.costs.ok", "oldest_entry_ms", "retries_left", "nodes_known", "nodes_fresh"} {
		d.eventually(name, func() bool { return strings.Contains(d.metrics(a), name) })
	}
}

// lineWriter collects the log lines of one event.
type lineWriter struct {
	mu    sync.Mutex
	event string
	lines [][]byte
}

// Write implements io.Writer; zerolog writes one line per call.
func (l *lineWriter) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if bytes.Contains(line, []byte(`"event":"`+l.event+`"`)) {
		l.lines = append(l.lines, bytes.Clone(line))
	}
	return len(line), nil
}

// TestPlanLogLine guards against plan log lines that lack the fields to tell apart an overloaded gate, a node short of CPU
// time and a node that knows little of the fleet.
func TestPlanLogLine(t *testing.T) {
	d := newDeployment(t, ledgerConfiguration(1, birdsRoute()))
	lines := &lineWriter{event: "plan"}
	d.log = zerolog.New(lines)
	a := d.start("registry", "a", time.Millisecond)
	d.waitUntilServing("/birds/1")
	d.eventually("a plan line tells of an attempt", func() bool {
		d.get(a, "/birds/1", "id")
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
			d.c.Assert(json.Unmarshal(line, &l), qt.IsNil)
			return l.Known == 1 && l.Fresh == 1 && l.Oldest != nil && l.Late != nil && l.Instances["registry/a"] == 1 &&
				l.Slots["registry/a"] > 0 && l.Gate.Limit > 0 && l.Gate.Started > 0 && l.Gate.Ended > 0 && l.Gate.Held > 0
		})
	})
}

// TestEndlessOutput guards against endless output of a backend server that holds a request until its deadline or is taken for
// a complete response.
func TestEndlessOutput(t *testing.T) {
	for _, fault := range []standin.ApplicationFault{
		standin.ApplicationEndlessHead, standin.ApplicationEndlessBytes, standin.ApplicationEndlessRefusal,
	} {
		t.Run(string(fault), func(t *testing.T) {
			d := newDeployment(t, ledgerConfiguration(1, birdsRoute()))
			a, b := d.start("registry", "a", 0), d.start("registry", "b", 0)
			d.waitUntilServing("/birds/1")
			a.application.SetFault(fault)
			r := d.get(a, "/birds/1", "id")
			d.c.Check(r.status, qt.Equals, http.StatusOK, qt.Commentf("%v", r.body))
			d.c.Check(r.body, qt.Equals, standin.ApplicationBody(b.instance, "id"))
			d.eventually("the connection is closed", func() bool { return a.application.Cancelled() > 0 })
		})
	}
	t.Run(string(standin.ApplicationEndlessBody), func(t *testing.T) {
		d := newDeployment(t, ledgerConfiguration(1, birdsRoute()))
		a := d.start("registry", "a", 0)
		d.waitUntilServing("/birds/1")
		a.application.SetFault(standin.ApplicationEndlessBody)
		r := d.send(a, http.MethodGet, "ledger.example", "/birds/1", "id", 500*time.Millisecond, nil)
		d.c.Check(r.err, qt.IsNotNil, qt.Commentf("the truncated response looks complete: %d %q", r.status, r.body))
		d.eventually("the connection is closed", func() bool { return a.application.Cancelled() > 0 })
	})
}
