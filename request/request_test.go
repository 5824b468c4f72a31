package request_test

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/sapphiretack/sapphiretack/request"
)

// TestPriorityStaysInClass guards against a priority outside its class, which would let bulk requests displace
// essential ones.
func TestPriorityStaysInClass(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 1000 {
		id := request.NewID(random)
		for c := request.Essential; c <= request.Bulk; c++ {
			p := request.PriorityOf(c, id)
			qt.Assert(t, p.Class(), qt.Equals, c)
			qt.Assert(t, p.Demote().Class(), qt.Equals, c)
			qt.Assert(t, p.Demote() >= p, qt.IsTrue)
		}
	}
}

// TestPriorityIsUniform guards against a biased hash, with which the admission level would not correspond to the
// admitted share of requests.
func TestPriorityIsUniform(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var counts [request.PrioritiesPerClass]int
	const perPriority = 400
	for range perPriority * int(request.PrioritiesPerClass) {
		counts[request.PriorityOf(request.Essential, request.NewID(random))]++
	}
	for p, n := range counts {
		qt.Check(t, n > perPriority*7/10 && n < perPriority*13/10, qt.IsTrue, qt.Commentf("priority %d has %d requests", p, n))
	}
}

// TestEachReasonHasRemedy guards against a reason without advice for the caller.
func TestEachReasonHasRemedy(t *testing.T) {
	for r := request.Overloaded; r <= request.LimitReached; r++ {
		qt.Check(t, r.Remedy(), qt.Not(qt.Equals), "", qt.Commentf("reason %v", r))
	}
}

// TestParseID guards against malformed IDs that are accepted, and against IDs that change between String and ParseID.
func TestParseID(t *testing.T) {
	id := request.NewID(rand.New(rand.NewPCG(3, 4)))
	parsed, err := request.ParseID(id.String())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, parsed, qt.Equals, id)
	for _, bad := range []string{"", "00", id.String() + "0", "zz" + id.String()[2:]} {
		_, err := request.ParseID(bad)
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%q", bad))
	}
}
