package mesh_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sapphiretack/sapphiretack/mesh"
	"github.com/sapphiretack/sapphiretack/platform"
	"github.com/sapphiretack/sapphiretack/standin"
)

// restoredDeployment is a deployment at a stand-in platform whose store can come back from a copy.
type restoredDeployment struct {
	*deployment
	platform *standin.Platform
	server   *httptest.Server
	isAway   atomic.Bool // whether the store responds with status 503
}

// newRestoredDeployment returns a deployment without machines, whose store has version 1 of the configuration.
func newRestoredDeployment(t *testing.T) *restoredDeployment {
	t.Parallel()
	d := &restoredDeployment{platform: standin.NewPlatform()}
	handler := d.platform.Handler()
	d.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.isAway.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		handler.ServeHTTP(w, r)
	}))
	t.Cleanup(d.server.Close)
	d.deployment = newSerialDeployment(t, ledgerConfiguration(1, birdsRoute()))
	d.logOnFailure(t)
	d.newStore = func() mesh.Store { return d.client() }
	d.configure(1)
	return d
}

// client returns a client of the store, as each node has one.
func (d *restoredDeployment) client() *platform.MeshStore {
	client, err := platform.NewClient(d.server.URL, 0)
	d.c.Assert(err, qt.IsNil)
	return platform.NewMeshStore(client, d.log)
}

// restore lets the store go away and come back from its copy; meanwhile is called before it responds again.
func (d *restoredDeployment) restore(meanwhile func()) {
	d.isAway.Store(true)
	d.server.CloseClientConnections()
	d.platform.Restore()
	meanwhile()
	d.isAway.Store(false)
}

// configure writes a version of the configuration, in which a route for each version from 1 on leads to the registry.
func (d *restoredDeployment) configure(version int) {
	d.c.Helper()
	routes := []standin.ApplicationRoute{{Name: "birds", Prefix: "/birds/", Service: "registry", IsIdempotent: true, MaxAttempts: 2}}
	for v := range version {
		routes = append(routes, standin.ApplicationRoute{
			Name: fmt.Sprint("route", v+1), Prefix: fmt.Sprintf("/v%d/", v+1), Service: "registry", IsIdempotent: true, MaxAttempts: 2,
		})
	}
	document := standin.ApplicationConfiguration(version, "ledger.example", routes)
	d.c.Assert(d.platform.WriteRow(d.c.Context(), "op", "config", document), qt.IsNil)
}

// countUp writes other rows of the operator's table, so that the version of the store rises.
func (d *restoredDeployment) countUp(writes int) {
	for i := range writes {
		d.c.Assert(d.platform.WriteRow(d.c.Context(), "op", fmt.Sprint("other", i), nil), qt.IsNil)
	}
}

// waitForVersion waits until a node uses a version of the configuration.
func (d *restoredDeployment) waitForVersion(m *machine, version int) {
	d.c.Helper()
	path := fmt.Sprintf("/v%d/", version)
	d.eventually("the node has the version", func() bool { return d.get(m, path, "version").status == http.StatusOK })
}

// TestWatchAfterRestore guards against a node that goes on watching the store from a version of before the store came back from a copy, and
// misses the changes with lower versions.
func TestWatchAfterRestore(t *testing.T) {
	d := newRestoredDeployment(t)
	d.platform.SaveCopy()
	d.countUp(20)
	m := d.start("registry", "a", time.Millisecond)
	d.waitForVersion(m, 1)
	d.restore(func() {
		d.configure(2)
		d.countUp(40)
	})
	d.waitForVersion(m, 2)
}

// TestAddressesAfterRestore guards against nodes that registered shortly before the store came back from a copy, and that a node which starts
// later does not find.
func TestAddressesAfterRestore(t *testing.T) {
	d := newRestoredDeployment(t)
	d.platform.SaveCopy()
	for i := range 4 {
		d.start("registry", string(rune('a'+i%2)), time.Millisecond)
	}
	for _, m := range d.machines {
		d.waitForVersion(m, 1)
	}
	store := d.client()
	hasAll := func() bool {
		addresses, err := store.Addresses(t.Context())
		return err == nil && len(addresses) == len(d.machines)
	}
	d.eventually("all nodes are registered", hasAll)
	d.restore(func() {})
	d.eventually("all nodes are registered again", hasAll)
}

// TestWatchIsNotSentAgain guards against a watch that net/http sends again by itself when its connection breaks, and that goes on unnoticed at a
// store that has come back from a copy.
func TestWatchIsNotSentAgain(t *testing.T) {
	d := newRestoredDeployment(t)
	d.platform.SaveCopy()
	for range 4 {
		d.start("registry", "a", time.Millisecond)
	}
	for _, m := range d.machines {
		d.waitForVersion(m, 1)
	}
	d.server.CloseClientConnections()
	d.eventually("all nodes have lost their watch", func() bool {
		for _, m := range d.machines {
			if !strings.Contains(d.metrics(m), "store.watch.failed 1\n") {
				return false
			}
		}
		return true
	})
}

// hasCrashes reports whether the store has the given number of crashes of requests.
func (d *restoredDeployment) hasCrashes(store *platform.MeshStore, count int) func() bool {
	return func() bool {
		reports, err := store.Crashes(d.c.Context())
		return err == nil && len(reports) == count
	}
}

// TestQuarantineAfterRestore guards against a quarantine that is forgotten with the rows of a store that comes back from a copy, and against
// one that was lifted and is back with them.
func TestQuarantineAfterRestore(t *testing.T) {
	d := newRestoredDeployment(t)
	d.platform.SaveCopy()
	runs, lift := atomic.Int32{}, make(chan struct{})
	d.restartAfter = 150 * time.Millisecond
	d.crashes = func(r standin.ApplicationRun) bool {
		if r.Target != crashPath {
			return false
		}
		if runs.Add(1) == 1 {
			<-lift // the request completes here at last
			return false
		}
		return true
	}
	for i := range 3 {
		d.start("registry", string(rune('a'+i)), time.Millisecond)
	}
	d.waitUntilServing("/birds/1")
	store := d.client()
	first := d.machines[0]
	d.group.Go(func() error { d.get(first, crashPath, "completes"); return nil })
	d.eventually("the request runs", func() bool { return runs.Load() == 1 })
	for i, m := range d.machines[1:] {
		d.get(m, crashPath, fmt.Sprint("crash", i))
		d.eventually("the backend server is back", func() bool { return !m.isDown() })
	}
	d.waitForQuarantine()
	d.eventually("the quarantine is stored", d.hasCrashes(store, 2))
	d.restore(func() {})
	d.eventually("the quarantine is stored again", d.hasCrashes(store, 2))
	d.platform.SaveCopy()
	close(lift)
	d.eventually("the quarantine is lifted", d.hasCrashes(store, 0))
	d.restore(func() {})
	d.eventually("the quarantine is not back", d.hasCrashes(store, 0))
}

// TestCostsAfterRestore guards against route costs that are gone with the rows of a store that comes back from a copy, and are not written again
// because they have not changed.
func TestCostsAfterRestore(t *testing.T) {
	d := newRestoredDeployment(t)
	d.platform.SaveCopy()
	m := d.start("registry", "a", 20*time.Millisecond)
	d.waitForVersion(m, 1)
	store := d.client()
	hasCosts := func() bool {
		d.get(m, "/birds/1", "cost")
		costs, err := store.Costs(t.Context())
		return err == nil && len(costs) > 0
	}
	d.eventually("the costs are stored", hasCosts)
	d.restore(func() {})
	d.eventually("the costs are stored again", hasCosts)
}

// TestStartAfterRestore guards against a node that starts when the store has come back from a copy, and accepts clients with the older
// configuration from there.
func TestStartAfterRestore(t *testing.T) {
	d := newRestoredDeployment(t)
	d.platform.SaveCopy()
	first := d.start("registry", "a", time.Millisecond)
	d.waitForVersion(first, 1)
	d.configure(2)
	d.waitForVersion(first, 2)
	store := d.client()
	d.restore(func() {})
	d.eventually("the first node is registered again", func() bool {
		addresses, err := store.Addresses(t.Context())
		return err == nil && len(addresses) == 1
	})
	for range 5 {
		m := d.start("registry", "a", time.Millisecond)
		d.eventually("the node is ready", func() bool {
			response, err := http.Get("http://" + m.settings.Readiness.String() + "/-/readiness")
			if err != nil {
				return false
			}
			_ = response.Body.Close()
			return response.StatusCode == http.StatusOK
		})
		d.c.Check(d.get(m, "/v2/", "added").status, qt.Equals, http.StatusOK)
	}
	d.c.Check(d.get(first, "/v2/", "added").status, qt.Equals, http.StatusOK, qt.Commentf("the node that was ahead of the store went back"))
}

// TestDepartureAfterRestore guards against a departure that the store has lost because it came back from a copy, and that its node forgets in its
// next restart.
func TestDepartureAfterRestore(t *testing.T) {
	d := newRestoredDeployment(t)
	d.platform.SaveCopy()
	leaving := d.start("registry", "a", time.Millisecond)
	d.waitForVersion(leaving, 1)
	d.depart(leaving, "delete")
	store := d.client()
	isStored := func() bool {
		departures, err := store.Departures(t.Context(), leaving.address)
		return err == nil && len(departures) == 1
	}
	d.c.Assert(isStored(), qt.IsTrue) // before the acknowledgement
	d.restore(func() {})
	d.eventually("the store has the departure again", isStored)
	leaving.stopNode()
	d.startNode(leaving) // hears the late report at once
	d.eventually("the gate refuses", func() bool { return strings.HasPrefix(d.sendAttempt(leaving, registryCall), "not_run leaving") })
}
