package tree_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sapphiretack/sapphiretack/routing"
	"github.com/sapphiretack/sapphiretack/tree"
)

// TestParent guards against a client that obtains the rank of a running request by forging an identifier, and against nested
// calls that are not associated with their execution.
func TestParent(t *testing.T) {
	c := qt.New(t)
	executions := tree.NewExecutions()
	executions.Begin("9c41", tree.Execution{Rank: 1})
	execution, id, ok := executions.Parent("9c41.2")
	c.Check(ok, qt.IsTrue)
	c.Check(id, qt.Equals, "9c41")
	c.Check(execution.Rank, qt.Equals, tree.Execution{Rank: 1}.Rank)
	for _, other := range []string{"9c41", "77aa.2", ".2", "", "9c41.2.1"} {
		_, _, ok := executions.Parent(other)
		c.Check(ok, qt.IsFalse, qt.Commentf("%q", other))
	}
	executions.End("9c41")
	_, _, ok = executions.Parent("9c41.2")
	c.Check(ok, qt.IsFalse)
}

// TestCost guards against nested calls that are missing from the cost of their call tree or counted twice.
func TestCost(t *testing.T) {
	c := qt.New(t)
	executions := tree.NewExecutions()
	executions.Begin("r", tree.Execution{})
	executions.AddCost("r", tree.Cost{"racedesk": 50 * time.Millisecond, "archives": 10 * time.Millisecond})
	executions.AddCost("r", tree.Cost{"racedesk": 30 * time.Millisecond})
	executions.AddCost("gone", tree.Cost{"racedesk": time.Hour})
	cost, failed := executions.End("r")
	c.Check(failed, qt.IsFalse)
	c.Check(cost, qt.DeepEquals, tree.Cost{"racedesk": 80 * time.Millisecond, "archives": 10 * time.Millisecond})
	c.Check(tree.DecodeCost(cost.Encode()), qt.DeepEquals, cost)
	cost, failed = executions.End("r")
	c.Check(len(cost), qt.Equals, 0)
	c.Check(failed, qt.IsFalse)
}

// TestFailedCall guards against attributing the failure of a nested call to the backend server that made the call.
func TestFailedCall(t *testing.T) {
	executions := tree.NewExecutions()
	executions.Begin("r", tree.Execution{})
	executions.FailCall("r")
	_, failed := executions.End("r")
	qt.Check(t, failed, qt.IsTrue)
}

// TestDecodeCost guards against a node that fails on a malformed cost from another node.
func TestDecodeCost(t *testing.T) {
	c := qt.New(t)
	c.Check(tree.DecodeCost(""), qt.DeepEquals, tree.Cost{})
	c.Check(tree.DecodeCost("a=5,b=x,c=-1,=,d"), qt.DeepEquals, tree.Cost{"a": 500 * time.Microsecond})
}

// TestCosts guards against a mean that does not follow a change in the calls of a route.
func TestCosts(t *testing.T) {
	c := qt.New(t)
	costs := tree.NewCosts()
	c.Check(costs.Of(1), qt.IsNil)
	costs.Observe(1, tree.Cost{"a": 100 * time.Millisecond})
	c.Check(costs.Of(1), qt.DeepEquals, tree.Cost{"a": 100 * time.Millisecond})
	for range 300 {
		costs.Observe(1, tree.Cost{"b": 10 * time.Millisecond})
	}
	got := costs.Of(1)
	c.Check(got["a"] < time.Millisecond, qt.IsTrue, qt.Commentf("%v", got))
	c.Check(got["b"] > 9*time.Millisecond, qt.IsTrue, qt.Commentf("%v", got))
}

// TestSeed guards against a node that knows no costs after a restart and so admits everything, and against seeded costs that
// outweigh local samples.
func TestSeed(t *testing.T) {
	c := qt.New(t)
	costs := tree.NewCosts()
	costs.Observe(1, tree.Cost{"racedesk": 100 * time.Millisecond})
	costs.Seed(map[routing.RouteID]tree.Cost{
		1: {"racedesk": time.Second}, 2: {"racedesk": 440 * time.Millisecond, "registry": 700 * time.Millisecond}, 3: {},
	})
	c.Check(costs.Of(1), qt.DeepEquals, tree.Cost{"racedesk": 100 * time.Millisecond})
	c.Check(costs.Of(2), qt.DeepEquals, tree.Cost{"racedesk": 440 * time.Millisecond, "registry": 700 * time.Millisecond})
	c.Check(costs.Of(3), qt.IsNil)
	for range 64 {
		costs.Observe(2, tree.Cost{"racedesk": 40 * time.Millisecond})
	}
	c.Check(costs.Of(2)["racedesk"] < 100*time.Millisecond, qt.IsTrue)
}

// TestChanged guards against writing unchanged costs to the store repeatedly, and against not writing changed ones.
func TestChanged(t *testing.T) {
	c := qt.New(t)
	costs := tree.NewCosts()
	observe := func(r routing.RouteID, n int, cost tree.Cost) {
		for range n {
			costs.Observe(r, cost)
		}
	}
	observe(1, 20, tree.Cost{"racedesk": 100 * time.Millisecond})
	observe(2, 20, tree.Cost{"racedesk": 100 * time.Millisecond, "archives": 10 * time.Millisecond})
	observe(3, 2, tree.Cost{"racedesk": 100 * time.Millisecond})
	known := map[routing.RouteID]tree.Cost{}
	first := costs.Changed(known, 0.3)
	c.Check(first, qt.DeepEquals, map[routing.RouteID]tree.Cost{1: costs.Of(1), 2: costs.Of(2)}, qt.Commentf("route 3 has too few samples"))
	c.Check(costs.Changed(first, 0.3), qt.HasLen, 0)
	observe(1, 64, tree.Cost{"racedesk": 120 * time.Millisecond})
	observe(2, 200, tree.Cost{"racedesk": 100 * time.Millisecond})
	c.Check(costs.Changed(first, 0.3), qt.DeepEquals, map[routing.RouteID]tree.Cost{2: costs.Of(2)}, qt.Commentf("archives is no longer called"))
}
