package mesh_test

import (
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"
)

// sendReport sends a report to the control listener of a machine and returns the status.
func (d *deployment) sendReport(m *machine, fields string) int {
	d.c.Helper()
	body := fmt.Sprintf(`{"service":"registry","address":%q,"slots":4,"cold_ms":0,"born":%d,%s}`,
		m.settings.Backend, m.report.StartTime.UnixMilli(), fields)
	url := "http://" + netip.AddrPortFrom(m.address, d.ports["control"]).String() + "/-/instances/" + m.instance
	r, err := http.NewRequest(http.MethodPut, url, strings.NewReader(body))
	d.c.Assert(err, qt.IsNil)
	response, err := http.DefaultClient.Do(r)
	d.c.Assert(err, qt.IsNil)
	_ = response.Body.Close()
	return response.StatusCode
}

// TestDepartureAfterOddReport guards against a backend server that leaves and goes on getting requests, because a report of another writer had a
// sequence number that its own reports do not reach.
func TestDepartureAfterOddReport(t *testing.T) {
	for name, sequence := range map[string]struct {
		text   string
		status int
	}{
		"impossible": {"1e18", http.StatusBadRequest}, "possible": {"4e15", http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, ledgerConfiguration(1, birdsRoute()))
			d.logOnFailure(t)
			a := d.start("registry", "a", 0)
			d.start("registry", "a", 0)
			d.waitUntilServing("/birds/1")
			a.report.StartTime = time.UnixMilli(a.report.StartTime.UnixMilli() + 1)
			d.c.Assert(d.sendReport(a, `"state":"ready","seq":2`), qt.Equals, http.StatusOK)
			d.c.Check(d.sendReport(a, `"state":"ready","seq":`+sequence.text), qt.Equals, sequence.status)
			d.c.Assert(d.sendReport(a, `"state":"draining","seq":3`), qt.Equals, http.StatusOK)
			time.Sleep(a.settings.DrainTime)
			before := len(a.runs())
			for i := range 40 {
				d.get(d.machines[i%2], "/birds/1", fmt.Sprint("later", i))
			}
			d.c.Check(len(a.runs())-before, qt.Equals, 0)
		})
	}
}

// TestReportOfUnknownService guards against a report of another writer that makes a node refuse the requests for its backend server.
func TestReportOfUnknownService(t *testing.T) {
	d := newDeployment(t, ledgerConfiguration(1, birdsRoute()))
	a := d.start("registry", "a", 0)
	d.waitUntilServing("/birds/1")
	odd := a.report
	odd.Service, odd.Sequence = "nowhere", 7
	d.c.Check(a.node.Report(odd), qt.IsFalse)
	d.c.Check(d.get(a, "/birds/1", "id").status, qt.Equals, http.StatusOK)
}

// checkCaller sends requests to a machine and checks that they run with its service as the caller.
func (d *deployment) checkCaller(m, server *machine) {
	d.c.Helper()
	before := len(server.application.Runs())
	d.eventually("requests are served", func() bool { return d.get(m, "/birds/1", "caller").status == http.StatusOK })
	for _, r := range server.application.Runs()[before:] {
		d.c.Check(r.Caller, qt.Equals, string(m.settings.Service))
	}
}

// TestReportOfOtherService guards against a report of another writer that changes the service of a backend server: requests of the other service
// run at it, and its own requests run with the other service as the caller.
func TestReportOfOtherService(t *testing.T) {
	d := newDeployment(t, ledgerConfiguration(1, birdsRoute(), ringsRoute()))
	d.logOnFailure(t)
	server, m := d.start("registry", "a", 0), d.start("transfers", "a", 0)
	d.waitUntilServing("/birds/1")
	before := len(m.application.Runs())
	odd := m.report
	odd.Service, odd.Sequence = "registry", 7
	d.c.Check(m.node.Report(odd), qt.IsFalse)
	for range 20 {
		d.checkCaller(m, server)
	}
	d.c.Check(m.application.Runs()[before:], qt.HasLen, 0)
	d.reportAgain(m)
	d.c.Check(d.send(server, http.MethodPost, "ledger.example", "/rings/7", "ring", 5*time.Second, strings.NewReader("x")).status, qt.Equals, http.StatusOK)
}

// TestOddReportBeforeConfiguration guards against a report of an unknown service that is kept for good, because it arrives before the first
// configuration and looks later than those of the backend server.
func TestOddReportBeforeConfiguration(t *testing.T) {
	d := newDeployment(t, ledgerConfiguration(1, birdsRoute()))
	d.logOnFailure(t)
	d.store.setDown(true)
	m := d.start("registry", "a", 0)
	odd := m.report
	odd.Service, odd.StartTime = "unknown", time.Now().Add(2*time.Second)
	d.c.Check(m.node.Report(odd), qt.IsFalse)
	d.reportAgain(m)
	d.store.setDown(false)
	d.checkCaller(m, m)
}

// TestLateReportOfOtherService guards against a late report of an earlier backend server that changes the service of a node which has restarted.
func TestLateReportOfOtherService(t *testing.T) {
	d := newDeployment(t, ledgerConfiguration(1, birdsRoute()))
	d.logOnFailure(t)
	server, m := d.start("registry", "a", 0), d.start("transfers", "a", 0)
	d.waitUntilServing("/birds/1")
	d.restart(m)
	late := m.report
	late.Instance, late.Service, late.StartTime = "i-earlier", "registry", m.report.StartTime.Add(-time.Minute)
	d.c.Check(m.node.Report(late), qt.IsFalse)
	d.checkCaller(m, server)
}

// TestServiceFollowsSettings guards against a backend server that runs requests of another service, because the settings of its node have
// changed and it is still there, and against the next one that gets none because the change was not delivered before its first report.
func TestServiceFollowsSettings(t *testing.T) {
	d := newDeployment(t, ledgerConfiguration(1, birdsRoute(), ringsRoute()))
	d.logOnFailure(t)
	client, m := d.start("transfers", "a", 0), d.start("registry", "a", 0)
	d.waitUntilServing("/birds/1")
	m.settings.Service = "transfers"
	odd := m.report
	odd.Service = "unknown" // has the node read its settings
	d.c.Check(m.node.Report(odd), qt.IsFalse)
	d.c.Check(m.node.Report(m.report), qt.IsFalse) // of the earlier incarnation
	d.eventually("the health check does not open the gate", func() bool { return strings.Contains(d.metrics(m), "probes 3\n") })
	d.c.Check(d.sendAttempt(m, "1 0 -s /transfers"), qt.Contains, "not_run unknown_server")
	_ = m.server.Close()
	m.instance = "i-transfers-9"
	d.startApplication(m, "transfers", 0)
	m.report.Instance, m.report.Service, m.report.StartTime, m.report.Sequence = "i-transfers-9", "transfers", time.Now(), 1
	d.c.Assert(m.node.Report(m.report), qt.IsTrue)
	d.eventually("the gate is open", func() bool { return strings.HasPrefix(d.sendAttempt(m, "1 0 -s /transfers"), "answered") })
	d.c.Check(d.send(client, http.MethodPost, "ledger.example", "/rings/7", "ring", 5*time.Second, strings.NewReader("x")).status, qt.Equals, http.StatusOK)
}

// TestQueuedAttemptOfOtherService guards against an attempt that waits at the gate and then runs at a backend server of another service, which has
// the address by then.
func TestQueuedAttemptOfOtherService(t *testing.T) {
	d := newDeployment(t, ledgerConfiguration(1, birdsRoute()))
	m := d.start("registry", "a", 300*time.Millisecond)
	m.report.Slots, m.report.Sequence = 1, 2
	d.c.Assert(m.node.Report(m.report), qt.IsTrue)
	var attempts errgroup.Group
	var results [6]string
	for i := range results {
		attempts.Go(func() error { results[i] = d.sendAttempt(m, registryCall); return nil })
	}
	d.eventually("an attempt runs", func() bool { return len(m.application.Runs()) > 0 })
	first := m.application
	_ = m.server.Close()
	m.instance = "i-transfers-9"
	d.startApplication(m, "transfers", 0)
	m.settings.Service = "transfers"
	m.report.Instance, m.report.Service, m.report.StartTime, m.report.Sequence = "i-transfers-9", "transfers", time.Now(), 1
	d.c.Assert(m.node.Report(m.report), qt.IsTrue)
	d.c.Assert(attempts.Wait(), qt.IsNil)
	d.c.Check(len(first.Runs()) < len(results), qt.IsTrue) // some attempts waited
	d.c.Check(m.application.Runs(), qt.HasLen, 0, qt.Commentf("%q", results))
}
