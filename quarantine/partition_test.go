package quarantine_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sapphiretack/sapphiretack/quarantine"
	"github.com/sapphiretack/sapphiretack/request"
)

// TestNoLastingQuarantineAfterPartition guards against a lasting quarantine of requests that lost streams in a partition and
// were in flight at one unrelated crash. They may be refused only until the losses expire, also if nodes exchange their
// records continuously, which could extend the expiry.
func TestNoLastingQuarantineAfterPartition(t *testing.T) {
	const (
		requests  = 200
		lossLimit = 60 * time.Second // section 4.6 of the design
		step      = time.Second
		steps     = 720 // ends after the crashes have expired
	)
	random := rand.New(rand.NewPCG(1, 1))
	nodes := [2]*quarantine.Table{quarantine.New(quarantine.DefaultSettings()), quarantine.New(quarantine.DefaultSettings())}
	crashAt := make([]time.Duration, requests)
	for f := range requests {
		// At both sources, each request loses its streams to two nodes.
		for i, n := range nodes {
			n.ReportLoss(0, request.Fingerprint(f), "racedesk", quarantine.Loss{Instance: "racedesk-1", Incarnation: 1})
			n.ReportLoss(0, request.Fingerprint(f), "racedesk", quarantine.Loss{Instance: "racedesk-2", Incarnation: request.Incarnation(i + 1)})
		}
		crashAt[f] = time.Duration(random.Int64N(int64(2 * lossLimit)))
	}
	refused := 0
	for i := range steps {
		at := time.Duration(i) * step
		now := request.Instant(at)
		for f, c := range crashAt {
			if c >= at-step && c < at {
				crash := quarantine.Crash{Instance: "racedesk-3", Incarnation: 5}
				nodes[f%2].ReportCrash(now, request.Fingerprint(f), "racedesk", crash)
			}
		}
		nodes[0].Merge(now, nodes[1].Records(now))
		nodes[1].Merge(now, nodes[0].Records(now))
		for f, c := range crashAt {
			for _, n := range nodes {
				state := n.State(now, request.Fingerprint(f))
				if state == quarantine.Clear {
					continue
				}
				qt.Assert(t, c < at, qt.IsTrue, qt.Commentf("request %d is %v at %v, before its crash at %v", f, state, at, c))
				if state == quarantine.Quarantined {
					refused++
					qt.Assert(t, at < lossLimit, qt.IsTrue, qt.Commentf("request %d is quarantined at %v", f, at))
				}
			}
		}
	}
	qt.Assert(t, refused > 0, qt.IsTrue, qt.Commentf("no request was quarantined, so the test checks nothing"))
	for f := range requests {
		qt.Assert(t, nodes[0].State(steps*request.Instant(step), request.Fingerprint(f)), qt.Equals, quarantine.Clear)
	}
}
