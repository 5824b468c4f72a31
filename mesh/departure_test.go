package mesh_test

import (
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sapphiretack/sapphiretack/departure"
	"github.com/sapphiretack/sapphiretack/mesh"
	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/standin"
)

const registryCall = "1 0 -s /registry"

// sendDelete sends the DELETE of the backend server of a machine to its control listener.
func (d *deployment) sendDelete(m *machine) {
	d.c.Helper()
	url := "http://" + netip.AddrPortFrom(m.address, d.ports["control"]).String() + "/-/instances/" + m.instance
	r, err := http.NewRequest(http.MethodDelete, url, nil)
	d.c.Assert(err, qt.IsNil)
	response, err := http.DefaultClient.Do(r)
	d.c.Assert(err, qt.IsNil)
	_ = response.Body.Close()
	d.c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
}

// depart has the backend server of a machine end its registration or report that it leaves, as kind tells.
func (d *deployment) depart(m *machine, kind string) {
	d.c.Helper()
	switch kind {
	case "delete":
		d.sendDelete(m)
	case "report":
		report := m.report
		report.State, report.Sequence = mesh.StateLeaving, 9
		d.c.Assert(m.node.Report(report), qt.IsTrue)
	case "response":
		m.application.Announce(http.Header{standin.ApplicationLeavingHeader: {"1"}})
		d.c.Check(strings.HasPrefix(d.sendAttempt(m, registryCall), "answered"), qt.IsTrue)
		m.application.Announce(nil)
	}
	d.eventually("the gate refuses", func() bool { return strings.HasPrefix(d.sendAttempt(m, registryCall), "not_run leaving") })
}

// restart stops the node of a machine and starts it again; the node hears nothing of its backend server.
func (d *deployment) restart(m *machine) {
	m.stopNode()
	d.startNodeUnreported(m)
}

// checkClosed sends requests to all nodes and to the gate of a machine, whose backend server must not run any.
func (d *deployment) checkClosed(m *machine) {
	d.c.Helper()
	before := len(m.runs())
	for i := range 20 {
		d.get(d.machines[i%len(d.machines)], "/birds/1", fmt.Sprint("later", i))
		d.sendAttempt(m, registryCall)
	}
	d.c.Check(len(m.runs())-before, qt.Equals, 0)
}

// TestDepartureOutlastsNode guards against a backend server that has left and gets requests again because the node that acknowledged its
// departure has restarted, and takes a late report or a health check for a sign that it serves.
func TestDepartureOutlastsNode(t *testing.T) {
	restartNode := func(d *deployment, m *machine) { d.restart(m) }
	for name, test := range map[string]struct {
		kind    string
		restart func(d *deployment, m *machine)
	}{
		"end of registration": {"delete", restartNode},
		"leaving report":      {"report", restartNode},
		"response":            {"response", restartNode},
		"two restarts":        {"delete", func(d *deployment, m *machine) { d.restart(m); d.restart(m) }},
		"other nodes first": {"delete", func(d *deployment, m *machine) {
			for _, other := range d.machines[1:] {
				d.restart(other)
			}
			d.restart(m)
		}},
		"all nodes at once": {"report", func(d *deployment, _ *machine) {
			for _, m := range d.machines {
				m.stopNode()
			}
			for _, m := range d.machines {
				d.startNodeUnreported(m)
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, ledgerConfiguration(1, birdsRoute()))
			d.logOnFailure(t)
			leaving := d.start("registry", "a", 0)
			d.start("transfers", "a", 0)
			d.start("registry", "b", 0)
			d.waitUntilServing("/birds/1")
			d.depart(leaving, test.kind)
			test.restart(d, leaving)
			late := leaving.report
			late.Sequence = 3
			d.c.Assert(leaving.node.Report(late), qt.IsTrue)
			d.eventually("the node knows of the departure", func() bool {
				return strings.HasPrefix(d.sendAttempt(leaving, registryCall), "not_run")
			})
			d.c.Assert(leaving.node.Report(late), qt.IsTrue)
			time.Sleep(leaving.settings.DrainTime) // a health check would open the gate by now
			d.checkClosed(leaving)
		})
	}
}

// TestDepartureWithoutStore guards against a departure that is forgotten in a restart because the store was away when it was acknowledged, or
// when the node started.
func TestDepartureWithoutStore(t *testing.T) {
	for name, test := range map[string]struct{ atDeparture, atStart bool }{
		"at the departure": {true, false}, "at the start": {false, true}, "all the time": {true, true},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, ledgerConfiguration(1, birdsRoute()))
			d.logOnFailure(t)
			leaving := d.start("registry", "a", 0)
			d.start("transfers", "a", 0)
			d.start("registry", "a", 0)
			d.waitUntilServing("/birds/1")
			d.store.setDown(test.atDeparture)
			d.depart(leaving, "delete")
			leaving.stopNode()
			d.store.setDown(test.atStart)
			d.startNode(leaving) // hears the late report at once
			d.eventually("the node knows of the departure", func() bool {
				return strings.HasPrefix(d.sendAttempt(leaving, registryCall), "not_run leaving")
			})
			d.checkClosed(leaving)
			d.store.setDown(false)
			d.eventually("the store has the departure", func() bool {
				kept, err := d.store.Departures(t.Context(), leaving.address)
				return err == nil && len(kept) == 1
			})
		})
	}
}

// restartAll stops all nodes and starts them again, with the store down or not; they hear nothing of their backend servers.
func (d *deployment) restartAll(isDown bool) {
	for _, m := range d.machines {
		m.stopNode()
	}
	d.store.setDown(isDown)
	for _, m := range d.machines {
		d.startNodeUnreported(m)
	}
}

// reportAgain sends the report of a machine's backend server once more, with the next sequence number.
func (d *deployment) reportAgain(m *machine) {
	d.c.Helper()
	m.report.Sequence++
	d.c.Assert(m.node.Report(m.report), qt.IsTrue)
}

// isOpen reports whether the gate of a machine accepts an attempt.
func (d *deployment) isOpen(m *machine) bool {
	return strings.HasPrefix(d.sendAttempt(m, registryCall), "answered")
}

// TestDepartureForgottenByAll guards against a backend server that has left and gets requests again, because the store was away when it left
// and all nodes that knew have ended since: late reports and health checks do not show that it has not left.
func TestDepartureForgottenByAll(t *testing.T) {
	for name, test := range map[string]struct {
		kind        string
		lateReports int
		isStoreBack bool // whether the store serves again when the nodes start
	}{
		"end of registration, late report":       {"delete", 1, false},
		"end of registration, late reports":      {"delete", 3, false},
		"end of registration, health check only": {"delete", 0, false},
		"leaving report":                         {"report", 1, false},
		"response":                               {"response", 1, false},
		"store is back at the start":             {"delete", 1, true},
		"store is back, health check only":       {"delete", 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, ledgerConfiguration(1, birdsRoute()))
			d.logOnFailure(t)
			leaving := d.start("registry", "a", 0)
			d.start("transfers", "a", 0)
			d.start("registry", "b", 0)
			d.waitUntilServing("/birds/1")
			d.store.setDown(true)
			d.depart(leaving, test.kind)
			d.restartAll(!test.isStoreBack)
			d.sendAttempt(leaving, registryCall) // returns once the node listens
			for range test.lateReports {
				d.reportAgain(leaving)
			}
			if test.isStoreBack {
				d.eventually("the gate is open", func() bool { return d.isOpen(leaving) })
				d.eventually("the gate is closed", func() bool { return !d.isOpen(leaving) })
			} else {
				d.checkClosed(leaving)
				d.store.setDown(false)
			}
			d.eventually("the node has the configuration", func() bool {
				return d.get(leaving, "/unknown", "settle").status == http.StatusNotFound
			})
			time.Sleep(leaving.settings.DrainTime) // a health check would open the gate by now
			d.checkClosed(leaving)
		})
	}
}

// TestServerIsUsedAfterRestart guards against a live backend server that gets no requests after a restart of its node, or only with a report
// that comes seconds later, although the store or another node can tell that it has not left.
func TestServerIsUsedAfterRestart(t *testing.T) {
	for name, restart := range map[string]func(d *deployment, m *machine){
		"all nodes, store serves": func(d *deployment, _ *machine) { d.restartAll(false) },
		"one node, store is away": func(d *deployment, m *machine) { d.store.setDown(true); d.restart(m) },
		"twice, store is away": func(d *deployment, m *machine) {
			d.store.setDown(true)
			d.restart(m)
			d.eventually("the gate is open", func() bool { return d.isOpen(m) })
			d.restart(m)
		},
		"in turn, store is away": func(d *deployment, m *machine) {
			d.store.setDown(true)
			d.restart(d.machines[1])
			d.eventually("it serves", func() bool { return d.get(d.machines[1], "/birds/1", "turn").status == http.StatusOK })
			d.restart(m)
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, ledgerConfiguration(1, birdsRoute()))
			d.logOnFailure(t)
			m := d.start("registry", "a", 0)
			d.start("transfers", "a", 0)
			d.waitUntilServing("/birds/1")
			restart(d, m)
			// Without any report, only the store or the other node can tell.
			d.eventually("the gate is open", func() bool { return d.isOpen(m) })
			d.reportAgain(m)
			d.c.Check(d.isOpen(m), qt.IsTrue)
		})
	}
}

// TestServerIsUsedAfterRestartOfAll guards against a live backend server that stays out of use after a restart of all nodes with the store away,
// and against a later incarnation that has to wait as the earlier one has.
func TestServerIsUsedAfterRestartOfAll(t *testing.T) {
	for name, isLater := range map[string]bool{"same incarnation": false, "later incarnation, same identifier": true} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, ledgerConfiguration(1, birdsRoute()))
			d.logOnFailure(t)
			m := d.start("registry", "a", 0)
			d.start("transfers", "a", 0)
			d.waitUntilServing("/birds/1")
			d.store.setDown(true)
			if isLater {
				d.depart(m, "delete")
			}
			d.restartAll(true)
			d.sendAttempt(m, registryCall) // returns once the node listens
			if !isLater {
				d.reportAgain(m)
				d.c.Check(d.isOpen(m), qt.IsFalse)
				d.eventually("the gate is open", func() bool { d.reportAgain(m); return d.isOpen(m) })
				return
			}
			_ = m.server.Close()
			d.startApplication(m, "registry", 0)
			m.report.StartTime, m.report.Sequence = time.Now(), 0
			d.reportAgain(m)
			d.eventually("the gate is open", func() bool { return d.isOpen(m) })
		})
	}
}

// TestDepartureOfUnknownServer guards against a departure that other nodes are not told, because the node that acknowledged it had just
// restarted and knew no backend server yet.
func TestDepartureOfUnknownServer(t *testing.T) {
	d := newDeployment(t, ledgerConfiguration(1, birdsRoute()))
	d.logOnFailure(t)
	leaving := d.start("registry", "a", 0)
	d.start("transfers", "a", 0)
	d.start("registry", "a", 0)
	d.waitUntilServing("/birds/1")
	d.store.setDown(true)
	leaving.application.Drain() // fails its health checks
	d.restart(leaving)
	d.sendAttempt(leaving, registryCall) // returns once the node listens
	d.sendDelete(leaving)
	d.restart(leaving)
	d.sendAttempt(leaving, registryCall) // returns once the node listens
	d.reportAgain(leaving)
	d.checkClosed(leaving)
	d.store.setDown(false)
	d.eventually("the store has the departure", func() bool {
		kept, err := d.store.Departures(t.Context(), leaving.address)
		return err == nil && len(kept) == 1
	})
	d.reportAgain(leaving)
	d.checkClosed(leaving)
}

// TestDepartureBeforeFirstReport guards against a backend server that has left and gets requests again with its first report, because the node
// knew it from a health check only, or not at all, when it left.
func TestDepartureBeforeFirstReport(t *testing.T) {
	for name, isFound := range map[string]bool{"found by health check": true, "unknown": false} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, ledgerConfiguration(1, birdsRoute()))
			d.logOnFailure(t)
			leaving := d.start("registry", "a", 0)
			d.start("registry", "a", 0)
			d.waitUntilServing("/birds/1")
			if !isFound {
				leaving.application.Drain() // fails its health checks
			}
			d.restart(leaving)
			if isFound {
				d.eventually("the gate is open", func() bool { return strings.HasPrefix(d.sendAttempt(leaving, registryCall), "answered") })
			} else {
				d.sendAttempt(leaving, registryCall) // returns once the node listens
			}
			d.sendDelete(leaving)
			time.Sleep(leaving.settings.DrainTime)
			late := leaving.report
			late.Sequence = 3
			d.c.Assert(leaving.node.Report(late), qt.IsTrue)
			d.checkClosed(leaving)
		})
	}
}

// TestLaterIncarnationAfterDeparture guards against a backend server that gets no requests because an earlier one on the same machine has left,
// under the same identifier or another one, and the node has restarted since.
func TestLaterIncarnationAfterDeparture(t *testing.T) {
	for name, test := range map[string]struct {
		instance  string
		isUnborn  bool // whether the node knew the earlier incarnation from a health check only
		isRestart bool
	}{
		"same identifier":                       {instance: "i-registry-1", isRestart: true},
		"other identifier":                      {instance: "i-registry-9", isRestart: true},
		"same identifier, unknown start":        {instance: "i-registry-1", isUnborn: true, isRestart: true},
		"same identifier, same node":            {instance: "i-registry-1"},
		"same identifier, same node, no report": {instance: "i-registry-1", isUnborn: true},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, ledgerConfiguration(1, birdsRoute()))
			d.logOnFailure(t)
			m, client := d.start("registry", "a", 0), d.start("transfers", "a", 0)
			d.waitUntilServing("/birds/1")
			if test.isUnborn {
				d.restart(m)
				d.eventually("the gate is open", func() bool { return strings.HasPrefix(d.sendAttempt(m, registryCall), "answered") })
			}
			d.depart(m, "delete")
			if test.isRestart {
				d.restart(m)
				d.sendAttempt(m, registryCall) // returns once the node listens
				d.eventually("the node has read the store", func() bool { return strings.Contains(d.metrics(m), "store.departures.ok 1") })
			}
			_ = m.server.Close()
			m.instance = test.instance
			d.startApplication(m, "registry", 0)
			m.report.Instance, m.report.StartTime, m.report.Sequence = request.InstanceID(m.instance), time.Now(), 1
			d.c.Assert(m.node.Report(m.report), qt.IsTrue)
			// The first attempt may meet a connection to the earlier incarnation.
			d.eventually("the gate is open", func() bool { return strings.HasPrefix(d.sendAttempt(m, registryCall), "answered") })
			d.eventually("requests of other nodes are served", func() bool { return d.get(client, "/birds/1", "again").status == http.StatusOK })
			d.eventually("the departure is removed from the store", func() bool {
				kept, err := d.store.Departures(t.Context(), m.address)
				return err == nil && len(kept) == 0
			})
		})
	}
}

// TestDepartureAfterClockStep guards against a backend server that leaves and goes on getting requests, because the clock of its machine was set
// back before it started, so that it looks older than the incarnation before it; and against one that is out of service for good because an
// earlier one under its identifier says late that it leaves.
func TestDepartureAfterClockStep(t *testing.T) {
	for name, isSeen := range map[string]bool{"end was seen": true, "end was not seen": false} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, ledgerConfiguration(1, birdsRoute()))
			d.logOnFailure(t)
			m := d.start("registry", "a", 0)
			d.start("registry", "a", 0)
			d.waitUntilServing("/birds/1")
			earlier := m.report
			_ = m.server.Close()
			if isSeen {
				d.eventually("the gate is closed", func() bool { return strings.HasPrefix(d.sendAttempt(m, registryCall), "not_run down") })
			}
			d.startApplication(m, "registry", 0)
			m.report.StartTime, m.report.Sequence = earlier.StartTime.Add(-2*time.Second), 1
			d.c.Assert(m.node.Report(m.report), qt.IsTrue)
			d.eventually("the gate is open", func() bool { return strings.HasPrefix(d.sendAttempt(m, registryCall), "answered") })
			m.report.State, m.report.Sequence = mesh.StateLeaving, 2
			d.c.Assert(m.node.Report(m.report), qt.IsTrue)
			d.eventually("the gate refuses", func() bool { return strings.HasPrefix(d.sendAttempt(m, registryCall), "not_run leaving") })
			time.Sleep(m.settings.DrainTime)
			d.checkClosed(m)
			earlier.Sequence = 9
			d.c.Assert(m.node.Report(earlier), qt.IsTrue)
			if isSeen {
				d.checkClosed(m)
				return
			}
			// The node cannot know which of the two runs; this one has not left.
			d.eventually("the gate is open again", func() bool { return strings.HasPrefix(d.sendAttempt(m, registryCall), "answered") })
		})
	}
}

// TestManyDepartures guards against a departure that is dropped at the start of a node because the store has many others of its machine, and
// against a write of more removals than the store takes at once.
func TestManyDepartures(t *testing.T) {
	d := newDeployment(t, ledgerConfiguration(1, birdsRoute()))
	d.logOnFailure(t)
	leaving := d.start("registry", "a", 0)
	d.waitUntilServing("/birds/1")
	d.depart(leaving, "delete")
	leaving.stopNode()
	now := time.Now()
	var others []departure.Departure
	for i := range 200 {
		age := time.Duration(1+i) * time.Minute // most have expired
		others = append(others, departure.Departure{Incarnation: request.InstanceID(fmt.Sprint("odd", i)), Time: now.Add(-age)})
	}
	d.c.Assert(d.store.WriteDepartures(t.Context(), leaving.address, others, nil), qt.IsNil)
	d.store.mu.Lock()
	d.store.limitsWrites = true
	d.store.mu.Unlock()
	d.startNode(leaving) // hears the late report at once
	d.eventually("the gate refuses", func() bool { return strings.HasPrefix(d.sendAttempt(leaving, registryCall), "not_run leaving") })
	d.eventually("expired departures are removed", func() bool {
		kept, err := d.store.Departures(t.Context(), leaving.address)
		return err == nil && len(kept) <= 61
	})
}
