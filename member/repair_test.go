package member_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sapphiretack/sapphiretack/member"
	"github.com/sapphiretack/sapphiretack/request"
)

var (
	repairSizes       = []int{100, 700, 2800}
	repairDifferences = []int{0, 1, 10, 300}
)

// repairCost is the cost of repairing two lists, without message headers.
type repairCost struct {
	bytes, rounds int
	converged     bool
}

// differingRows returns the member lists of two nodes; each list is newer in half of the differing members.
func differingRows(size, differences int) (a, b []member.Member) {
	c := newCluster(member.DefaultSettings(), 1)
	random := rand.New(rand.NewPCG(uint64(size), uint64(differences)))
	for i := range size {
		row := c.row(i, i%16)
		a, b = append(a, row), append(b, row)
	}
	// The first two rows are the two nodes themselves.
	order := random.Perm(size - 2)
	for n := range min(differences, size-2) {
		i := order[n] + 2
		if n%2 == 0 {
			a[i].Revision++
		} else {
			b[i].Revision++
		}
	}
	return a, b
}

// repairByRange runs the implemented repair between two nodes that exchange nothing else.
func repairByRange(s member.Settings, size, differences int) repairCost {
	s.ProbeInterval, s.ReconnectInterval = 1000*time.Hour, 1000*time.Hour
	s.CrossZoneRepairProbability, s.ZonePeers = 1, 1
	rowsA, rowsB := differingRows(size, differences)
	// Node a has no other member in its zone, and only b is running.
	a := member.New(rowsA[0], s, rand.New(rand.NewPCG(1, 1)))
	b := member.New(rowsB[1], s, rand.New(rand.NewPCG(2, 2)))
	a.Handle(0, member.Received{Kind: member.Notice, Message: member.Message{Members: rowsA}}, nil)
	b.Handle(0, member.Received{Kind: member.Notice, Message: member.Message{Members: rowsB}}, nil)
	now := drainUpdates(s, a, b)
	return exchangeRepair(s, now, a, b, func() bool { return sameRevisions(a, b) })
}

// drainUpdates runs both nodes without delivery until their update queues are empty, so that only repair is left.
func drainUpdates(s member.Settings, a, b *member.Membership) request.Instant {
	var now request.Instant
	for range 100 {
		now = now.Add(s.TickInterval)
		a.Handle(now, member.Tick{}, nil)
		b.Handle(now, member.Tick{}, nil)
	}
	return now
}

// TestRepairPropagatesDeath guards against a death that is known to one side of a repair and does not reach the other,
// whichever side initiates it.
func TestRepairPropagatesDeath(t *testing.T) {
	s := member.DefaultSettings()
	s.ProbeInterval, s.ReconnectInterval = 1000*time.Hour, 1000*time.Hour
	// With 700 members, the member hashes are sent by the other side than with 100.
	for _, size := range []int{100, 700} {
		checkDeathRepaired(t, s, size)
	}
}

func checkDeathRepaired(t *testing.T, s member.Settings, size int) {
	rows, _ := differingRows(size, 0)
	for _, deadAtInitiator := range []bool{true, false} {
		var nodes [2]*member.Membership
		for i := range nodes {
			nodes[i] = member.New(rows[i], s, rand.New(rand.NewPCG(1, uint64(i))))
			nodes[i].Handle(0, member.Received{Kind: member.Notice, Message: member.Message{Members: rows}}, nil)
		}
		// A death that follows a leave is accepted without a suspicion.
		left := rows[50]
		left.Revision, left.State = 1, member.Leaving
		states := []member.State{member.Leaving, member.Dead}
		for i := range nodes {
			for _, left.State = range states[:1+i] {
				nodes[i].Handle(0, member.Received{Kind: member.Notice, Message: member.Message{Members: []member.Member{left}}}, nil)
			}
		}
		initiator, other := nodes[0], nodes[1]
		if deadAtInitiator {
			initiator, other = nodes[1], nodes[0]
		}
		cost := exchangeRepair(s, drainUpdates(s, initiator, other), initiator, other, func() bool {
			m, _ := nodes[0].Member(left.Instance)
			return m.State == member.Dead
		})
		qt.Check(t, cost.converged, qt.IsTrue, qt.Commentf("%d members, dead at initiator: %v, %+v", size, deadAtInitiator, cost))
	}
}

// exchangeRepair delivers the repair messages of a to b, whichever member they are addressed to, until done.
func exchangeRepair(s member.Settings, now request.Instant, a, b *member.Membership, done func() bool) repairCost {
	var cost repairCost
	for range 2000 {
		now = now.Add(s.TickInterval)
		b.Handle(now, member.Tick{}, nil)
		for _, action := range a.Handle(now, member.Tick{}, nil) {
			gossip, ok := action.(member.SendGossip)
			if !ok || len(gossip.Message.Digests) == 0 && len(gossip.Message.Members) == 0 {
				continue
			}
			cost.rounds++
			cost.bytes += gossip.Message.Size()
			reply := replyOf(b.Handle(now, member.Received{Kind: member.GossipRequest, Message: gossip.Message, Exchange: 1}, nil))
			cost.bytes += reply.Size()
			reply.From = gossip.To
			a.Handle(now, member.Received{Kind: member.GossipResponse, Message: reply}, nil)
		}
		if cost.rounds > 0 && done() {
			cost.converged = true
			return cost
		}
	}
	return cost
}

func replyOf(actions []member.Action) member.Message {
	for _, a := range actions {
		if r, ok := a.(member.Reply); ok {
			return r.Message
		}
	}
	return member.Message{}
}

// sameRevisions reports whether two nodes hold the same members and revisions.
func sameRevisions(a, b *member.Membership) bool {
	membersA, membersB := a.Members(nil), b.Members(nil)
	if len(membersA) != len(membersB) {
		return false
	}
	for i := range membersA {
		if membersA[i].Instance != membersB[i].Instance || membersA[i].Revision != membersB[i].Revision {
			return false
		}
	}
	return true
}

// repairByFullDigest is the baseline: a sends the 8-byte key and a 4-byte hash of every member, b responds with its version
// of the members that differ, and a sends those that are newer on its side. With root, a single hash detects equal lists
// first.
func repairByFullDigest(size, differences int, root bool) repairCost {
	const entry, rootSize = 12, 22
	rowsA, rowsB := differingRows(size, differences)
	cost := repairCost{converged: true}
	if root {
		cost.bytes += 2 * rootSize
		cost.rounds++
		if differences == 0 {
			return cost
		}
	}
	cost.rounds++
	cost.bytes += size * entry
	var response, rest member.Message
	for i := range rowsA {
		if rowsA[i].Revision == rowsB[i].Revision {
			continue
		}
		response.Members = append(response.Members, rowsB[i])
		if rowsA[i].Revision > rowsB[i].Revision {
			rest.Members = append(rest.Members, rowsA[i])
		}
	}
	cost.bytes += response.Size()
	if len(rest.Members) > 0 {
		cost.rounds++
		cost.bytes += rest.Size()
	}
	return cost
}

// TestRepairConverges guards against a repair that leaves differences or does not terminate.
func TestRepairConverges(t *testing.T) {
	for _, size := range repairSizes {
		for _, differences := range repairDifferences {
			cost := repairByRange(member.DefaultSettings(), size, differences)
			qt.Check(t, cost.converged, qt.IsTrue, qt.Commentf("%d members, %d differences: %+v", size, differences, cost))
		}
	}
}

// BenchmarkRepair compares the bytes and rounds of repair by range with those of full digests. Run it with -benchtime=1x.
func BenchmarkRepair(b *testing.B) {
	methods := []struct {
		name string
		run  func(size, differences int) repairCost
	}{
		{"whole", func(size, d int) repairCost { return repairByFullDigest(size, d, false) }},
		{"root+whole", func(size, d int) repairCost { return repairByFullDigest(size, d, true) }},
	}
	for _, shape := range [][2]int{{8, 8}, {8, 16}, {16, 8}, {16, 16}, {16, 32}, {32, 16}, {64, 64}} {
		s := member.DefaultSettings()
		s.RangeFanout, s.MaxLeafMembers = shape[0], shape[1]
		methods = append(methods, struct {
			name string
			run  func(size, differences int) repairCost
		}{fmt.Sprintf("range-%d-%d", shape[0], shape[1]), func(size, d int) repairCost { return repairByRange(s, size, d) }})
	}
	for _, size := range repairSizes {
		for _, d := range repairDifferences {
			for _, m := range methods {
				b.Run(fmt.Sprintf("%d/%d/%s", size, d, m.name), func(b *testing.B) {
					var cost repairCost
					for range b.N {
						cost = m.run(size, d)
					}
					b.ReportMetric(float64(cost.bytes), "B")
					b.ReportMetric(float64(cost.rounds), "rounds")
					if !cost.converged {
						b.ReportMetric(1, "not_settled")
					}
					b.ReportMetric(0, "ns/op")
				})
			}
		}
	}
}
