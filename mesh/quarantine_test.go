package mesh_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/sapphiretack/sapphiretack/routing"
	"github.com/sapphiretack/sapphiretack/standin"
)

// maxCrashRuns is the users' bound on the backend servers that run a request that crashes them: three crashes, and three more attempts by
// nodes that have not heard of them.
const maxCrashRuns = 6

// crashRuns returns the number of backend servers that began to run a request for crashPath.
func (d *deployment) crashRuns() int {
	n := 0
	for _, m := range d.machines {
		for _, r := range m.runs() {
			if r.Target == crashPath {
				n++
			}
		}
	}
	return n
}

func (d *deployment) checkCrashRuns() {
	runs := d.crashRuns()
	d.c.Check(runs <= maxCrashRuns, qt.IsTrue, qt.Commentf("%d backend servers ran it", runs))
}

// TestCrashingRequestIsSentAgain guards against a request that is sent to one backend server after another although it has crashed
// three of them.
func TestCrashingRequestIsSentAgain(t *testing.T) {
	d := newCrashDeployment(t)
	for round := range 3 {
		for i, m := range d.machines {
			d.get(m, crashPath, fmt.Sprintf("crash%d.%d", round, i))
			d.waitForRestarts()
		}
	}
	d.checkCrashRuns()
	for i, m := range d.machines {
		d.eventually("other requests are served", func() bool { return d.get(m, "/birds/2", fmt.Sprintf("other%d", i)).status == http.StatusOK })
	}
}

// waitForQuarantine waits until each node has one request in quarantine.
func (d *deployment) waitForQuarantine() {
	for _, m := range d.machines {
		d.eventually("the node knows of the quarantine", func() bool { return strings.Contains(d.metrics(m), "quarantined 1\n") })
	}
}

// crashTwice sends a request that crashes backend servers until it is in quarantine at each node.
func (d *deployment) crashTwice(send func(m *machine, id string) reply) {
	for i, m := range d.machines[:2] {
		send(m, fmt.Sprintf("crash%d", i))
		d.waitForRestarts()
	}
	d.waitForQuarantine()
}

// TestQuarantinedIsRefused guards against a caller that is told anything but that its request has not run and when to come back, and
// against a request in quarantine that runs after all.
func TestQuarantinedIsRefused(t *testing.T) {
	d := newCrashDeployment(t)
	d.crashTwice(func(m *machine, id string) reply { return d.get(m, crashPath, id) })
	d.c.Check(d.crashRuns(), qt.Equals, 2)
	for i, m := range d.machines {
		r := d.get(m, crashPath, fmt.Sprintf("again%d", i))
		d.c.Check(r.status, qt.Equals, http.StatusServiceUnavailable)
		after, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
		d.c.Check(err, qt.IsNil)
		d.c.Check(after > 0 && after <= time.Minute.Seconds(), qt.IsTrue, qt.Commentf("Retry-After %v", after))
	}
	d.c.Check(d.crashRuns(), qt.Equals, 2)
}

// TestRefusalLeadsToQuarantine guards against a refusal in the log that does not lead to the quarantine that it is due to.
func TestRefusalLeadsToQuarantine(t *testing.T) {
	d := newDeployment(t, ledgerConfiguration(1, birdsRoute()))
	refusals, quarantines := &lineWriter{event: "refused"}, &lineWriter{event: "quarantined"}
	d.log = zerolog.New(io.MultiWriter(refusals, quarantines))
	d.startCrashing()
	d.crashTwice(func(m *machine, id string) reply { return d.get(m, crashPath, id) })
	d.get(d.machines[0], crashPath, "again")
	content := func(w *lineWriter, requestID string) string {
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, line := range w.lines {
			var l struct {
				Content   string `json:"content"`
				RequestID string `json:"request_id"`
			}
			d.c.Assert(json.Unmarshal(line, &l), qt.IsNil)
			if l.RequestID == requestID {
				return l.Content
			}
		}
		return ""
	}
	refused := content(refusals, "again")
	d.c.Check(refused, qt.Not(qt.Equals), "")
	d.c.Check(content(quarantines, ""), qt.Equals, refused)
}

// TestInnocentRequestsAreServed guards against requests that are refused because they were in flight when another request crashed their
// backend servers.
func TestInnocentRequestsAreServed(t *testing.T) {
	d := newCrashDeployment(t)
	for round := range 3 {
		for i, m := range d.machines {
			for j := range 4 {
				d.group.Go(func() error {
					d.get(m, fmt.Sprintf("/birds/%d", j), fmt.Sprintf("other%d.%d.%d", round, i, j))
					return nil
				})
			}
			d.get(m, crashPath, fmt.Sprintf("crash%d.%d", round, i))
			d.waitForRestarts()
		}
	}
	d.checkCrashRuns()
	for i, m := range d.machines {
		for j := range 4 {
			r := d.get(m, fmt.Sprintf("/birds/%d", j), fmt.Sprintf("later%d.%d", i, j))
			d.c.Check(r.status, qt.Equals, http.StatusOK, qt.Commentf("%s", r.body))
		}
	}
}

// TestCrashingCall guards against a call that crashes one backend server after another, and against the quarantine of the requests that
// make it.
func TestCrashingCall(t *testing.T) {
	d := newDeployment(t, ledgerConfiguration(1, birdsRoute(), routing.Route{Name: "tree", Prefix: "/call/", Services: toService("transfers"), IsIdempotent: true}))
	d.logOnFailure(t)
	d.crashes = func(r standin.ApplicationRun) bool { return r.Target == crashPath }
	d.restartAfter = 150 * time.Millisecond
	for _, zone := range []string{"a", "b"} {
		d.start("registry", zone, time.Millisecond)
		d.start("transfers", zone, time.Millisecond)
	}
	d.waitUntilServing("/birds/1")
	callers := []*machine{d.machines[1], d.machines[3]}
	for i := range 4 {
		d.get(callers[i%2], "/call/ledger.example"+crashPath, fmt.Sprintf("crash%d", i))
		for _, m := range []*machine{d.machines[0], d.machines[2]} {
			d.eventually("the backend server is back", func() bool {
				return !m.isDown() && strings.HasPrefix(d.sendAttempt(m, "1 0 -s /registry"), "answered")
			})
		}
	}
	d.checkCrashRuns()
	for i, m := range callers {
		parent := fmt.Sprintf("parent%d", i)
		d.get(m, "/call/ledger.example"+crashPath, parent)
		isRun := false
		for _, c := range callers {
			for _, r := range c.runs() {
				isRun = isRun || r.ID == parent
			}
		}
		d.c.Check(isRun, qt.IsTrue, qt.Commentf("a request whose call is in quarantine was refused"))
		d.c.Check(d.get(m, "/call/ledger.example/birds/1", fmt.Sprintf("other%d", i)).status, qt.Equals, http.StatusOK)
	}
}

// TestCrashingBody guards against a long body that crashes backend servers and is not recognized because it is not kept, and against the
// quarantine of other bodies sent to the same path.
func TestCrashingBody(t *testing.T) {
	d := newDeployment(t, ledgerConfiguration(1, birdsRoute()))
	d.crashes = func(r standin.ApplicationRun) bool { return strings.HasPrefix(r.Body, "crash") }
	d.restartAfter = 150 * time.Millisecond
	for i := range 4 {
		d.start("registry", string(rune('a'+i%2)), time.Millisecond)
	}
	d.waitUntilServing("/birds/1")
	crash, harmless := strings.Repeat("crash", 10_000), strings.Repeat("ring ", 10_000)
	post := func(m *machine, id, body string) reply {
		return d.send(m, http.MethodPost, "ledger.example", "/birds/1", id, 5*time.Second, strings.NewReader(body))
	}
	d.crashTwice(func(m *machine, id string) reply { return post(m, id, crash) })
	for i, m := range d.machines {
		d.c.Check(post(m, fmt.Sprintf("again%d", i), crash).status, qt.Equals, http.StatusServiceUnavailable)
		d.c.Check(post(m, fmt.Sprintf("other%d", i), harmless).status, qt.Equals, http.StatusOK)
	}
}

// TestCrashWithinResponse guards against a request that ends one backend server after another because it does so only when the response has
// begun, be the response short enough to be kept or passed on as it comes.
func TestCrashWithinResponse(t *testing.T) {
	for name, length := range map[string]int{"kept": 1 << 10, "passed on": 1 << 20} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, ledgerConfiguration(1, birdsRoute()))
			d.crashes = func(standin.ApplicationRun) bool { return false }
			d.crashesWithin = func(id string) bool { return strings.HasPrefix(id, "crash") }
			d.responseLength = length
			d.startServers()
			for round := range 3 {
				for i, m := range d.machines {
					d.get(m, crashPath, fmt.Sprintf("crash%d.%d", round, i))
					d.waitForRestarts()
				}
			}
			d.checkCrashRuns()
			d.c.Check(d.get(d.machines[0], "/birds/1", "other").status, qt.Equals, http.StatusOK)
		})
	}
}

// TestQuarantineAfterRestart guards against a node that forgets in a restart which requests crash backend servers.
func TestQuarantineAfterRestart(t *testing.T) {
	d := newCrashDeployment(t)
	d.crashTwice(func(m *machine, id string) reply { return d.get(m, crashPath, id) })
	late := d.start("registry", "a", time.Millisecond) // as a node that has restarted, it begins without any record
	d.eventually("the node serves", func() bool { return d.get(late, "/birds/1", "settle").status == http.StatusOK })
	d.eventually("the node hears of the quarantine", func() bool { return strings.Contains(d.metrics(late), "quarantined 1\n") })
	d.c.Check(d.get(late, crashPath, "again").status, qt.Equals, http.StatusServiceUnavailable)
	d.c.Check(d.crashRuns(), qt.Equals, 2)
}

// TestQuarantineAfterRestartOfAll guards against a restart of all nodes at once after which a request may crash the next servers.
func TestQuarantineAfterRestartOfAll(t *testing.T) {
	d := newCrashDeployment(t)
	d.crashTwice(func(m *machine, id string) reply { return d.get(m, crashPath, id) })
	d.eventually("the quarantine is stored", func() bool {
		reports, err := d.store.Crashes(t.Context())
		return err == nil && len(reports) == 2
	})
	after := newSerialDeployment(t, ledgerConfiguration(1, birdsRoute()))
	after.store = d.store
	after.crashes = d.crashes
	after.start("registry", "a", time.Millisecond)
	after.waitUntilServing("/birds/1")
	after.waitForQuarantine()
	after.c.Check(after.get(after.machines[0], crashPath, "again").status, qt.Equals, http.StatusServiceUnavailable)
	after.c.Check(after.crashRuns(), qt.Equals, 0)
}

// TestSimultaneousCrashes guards against a request that comes to all nodes at once, before any has heard of a crash, and still runs when it
// comes to all of them again.
func TestSimultaneousCrashes(t *testing.T) {
	d := newCrashDeployment(t)
	sendToAll := func(round string) {
		var sends errgroup.Group
		for i, m := range d.machines {
			sends.Go(func() error { d.get(m, crashPath, fmt.Sprint(round, i)); return nil })
		}
		d.c.Assert(sends.Wait(), qt.IsNil)
	}
	sendToAll("first")
	d.waitForRestarts()
	d.waitForQuarantine()
	before := d.crashRuns()
	sendToAll("second")
	d.c.Check(d.crashRuns(), qt.Equals, before)
}

// TestCrashesInZonesCutOff guards against two zones that do not hear of each other and each send a request to servers that crash under it
// more often than the users allow in both together.
func TestCrashesInZonesCutOff(t *testing.T) {
	configuration := ledgerConfiguration(1, birdsRoute())
	sides := []*deployment{newSerialDeployment(t, configuration), newSerialDeployment(t, configuration)}
	for i, d := range sides {
		d.crashes = func(r standin.ApplicationRun) bool { return r.Target == crashPath }
		d.restartAfter = 150 * time.Millisecond
		for range 2 {
			d.start("registry", string(rune('a'+i)), time.Millisecond)
		}
		d.waitUntilServing("/birds/1")
	}
	runs := 0
	for round := range 3 {
		for _, d := range sides {
			for i, m := range d.machines {
				d.get(m, crashPath, fmt.Sprintf("crash%d.%d", round, i))
				d.waitForRestarts()
			}
		}
	}
	for _, d := range sides {
		runs += d.crashRuns()
	}
	qt.Check(t, runs <= maxCrashRuns, qt.IsTrue, qt.Commentf("%d backend servers ran it", runs))
}

// TestCrashingParent guards against the quarantine of a call that was in flight when the request that made it crashed its backend server,
// and against a parent that is not recognized because its call failed.
func TestCrashingParent(t *testing.T) {
	d := newDeployment(t, ledgerConfiguration(1, birdsRoute(), routing.Route{Name: "tree", Prefix: "/call/", Services: toService("transfers"), IsIdempotent: true}))
	d.logOnFailure(t)
	const crashing = "/call/ledger.example/birds/1"
	d.crashes = func(r standin.ApplicationRun) bool { return r.Target == crashing }
	d.restartAfter = 150 * time.Millisecond
	for _, zone := range []string{"a", "b"} {
		d.start("registry", zone, time.Millisecond)
		d.start("transfers", zone, time.Millisecond)
	}
	d.waitUntilServing("/birds/1")
	for i := range 8 {
		d.get(d.machines[i%4], crashing, fmt.Sprintf("crash%d", i))
		for _, m := range d.machines {
			d.eventually("the backend server is back", func() bool { return !m.isDown() })
		}
	}
	runs := 0
	for _, m := range d.machines {
		for _, r := range m.runs() {
			if r.Target == crashing {
				runs++
			}
		}
	}
	d.c.Check(runs <= maxCrashRuns, qt.IsTrue, qt.Commentf("%d backend servers ran it", runs))
	for i, m := range d.machines {
		d.c.Check(d.get(m, "/birds/1", fmt.Sprintf("call%d", i)).status, qt.Equals, http.StatusOK)
	}
}

// TestServedWhenServersAreBack guards against requests that are refused after all backend servers of a service were down, because their node
// has not heard yet that the servers are back.
func TestServedWhenServersAreBack(t *testing.T) {
	d := newDeployment(t, ledgerConfiguration(1, birdsRoute(), routing.Route{Name: "tree", Prefix: "/call/", Services: toService("transfers"), IsIdempotent: true}))
	d.logOnFailure(t)
	d.crashes = func(r standin.ApplicationRun) bool { return r.Target == crashPath }
	d.restartAfter = 700 * time.Millisecond
	for _, zone := range []string{"a", "b"} {
		d.start("registry", zone, time.Millisecond)
		d.start("transfers", zone, time.Millisecond)
	}
	d.waitUntilServing("/birds/1")
	d.get(d.machines[1], "/call/ledger.example"+crashPath, "crash") // crashes both, since its node retries it
	servers := []*machine{d.machines[0], d.machines[2]}
	for _, m := range servers {
		d.eventually("the backend server is back", func() bool {
			return !m.isDown() && strings.HasPrefix(d.sendAttempt(m, "1 0 -s /registry"), "answered")
		})
	}
	for i, m := range []*machine{d.machines[1], d.machines[3]} {
		d.c.Check(d.get(m, "/call/ledger.example/birds/1", fmt.Sprintf("other%d", i)).status, qt.Equals, http.StatusOK)
	}
}

// TestGivenUpOnSilentServer guards against a request that makes one backend server after another go silent and is not recognized because its
// client gives up before its server is replaced.
func TestGivenUpOnSilentServer(t *testing.T) {
	d := newDeployment(t, ledgerConfiguration(1, birdsRoute()))
	d.logOnFailure(t)
	d.silences = func(r standin.ApplicationRun) bool { return r.Target == crashPath }
	d.startServers()
	for round := range 3 {
		for i, m := range d.machines {
			d.abandon(m, crashPath, fmt.Sprintf("crash%d.%d", round, i), 50*time.Millisecond)
			d.waitForRestarts()
		}
	}
	d.checkCrashRuns()
	d.c.Check(d.get(d.machines[0], "/birds/1", "other").status, qt.Equals, http.StatusOK)
}
