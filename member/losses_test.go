package member_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sapphiretack/sapphiretack/member"
	"github.com/sapphiretack/sapphiretack/quarantine"
	"github.com/sapphiretack/sapphiretack/request"
)

// TestLossesSentAfterCrashes guards against loss records that delay crash records or use up the byte budget, as after a
// partition that breaks many streams. Loss records are sent after crash records, at most 2 per message and twice per
// node, and without notices.
func TestLossesSentAfterCrashes(t *testing.T) {
	const losses = 600 // more than a node queues
	c := newCluster(member.DefaultSettings(), 1)
	m := member.New(c.row(0, 0), member.DefaultSettings(), rand.New(rand.NewPCG(1, 1)))
	var rows []member.Member
	for i := range 12 {
		rows = append(rows, c.row(i+1, i%3))
	}
	var now request.Instant
	m.Handle(now, member.Bootstrap{Rows: rows}, nil)
	m.Handle(now, member.CrashesMerged{Records: []quarantine.Record{{
		Fingerprint: 1,
		Service:     "racedesk",
		Count:       1,
		Crashes:     []quarantine.Crash{{Instance: "racedesk-1", Incarnation: 1}},
		Remaining:   time.Minute,
	}}}, nil)
	for f := range losses {
		actions := m.Handle(now, member.CrashesMerged{Records: []quarantine.Record{{
			Fingerprint: request.Fingerprint(1000 + f),
			Service:     "racedesk",
			Losses:      []quarantine.Loss{{Instance: "racedesk-2", Incarnation: 1, Remaining: time.Minute}},
		}}}, nil)
		for _, a := range actions {
			_, notice := a.(member.SendNotice)
			qt.Assert(t, notice, qt.IsFalse)
		}
	}
	sends := map[request.Fingerprint]int{}
	first := true
	for range 600 {
		now = now.Add(member.DefaultSettings().TickInterval)
		for _, a := range m.Handle(now, member.Tick{}, nil) {
			var records []quarantine.Record
			switch a := a.(type) {
			case member.SendGossip:
				records = a.Message.Crashes
			case member.Probe:
				records = a.Message.Crashes
			}
			count := 0
			for i, r := range records {
				sends[r.Fingerprint]++
				if r.Count == 0 {
					count++
					continue
				}
				qt.Assert(t, i, qt.Equals, 0, qt.Commentf("a loss was sent before the crash"))
			}
			qt.Assert(t, count <= 2, qt.IsTrue, qt.Commentf("%d losses in one message", count))
			if first && len(records) > 0 {
				first = false
				qt.Assert(t, records[0].Count, qt.Equals, 1)
			}
		}
	}
	qt.Assert(t, sends[1] > 2, qt.IsTrue, qt.Commentf("the crash was sent %d times", sends[1]))
	qt.Assert(t, len(sends) > 2, qt.IsTrue, qt.Commentf("no loss was sent, so the test checks nothing"))
	for f, n := range sends {
		qt.Assert(t, f == 1 || n <= 2, qt.IsTrue, qt.Commentf("loss of %d was sent %d times", f, n))
	}
}
