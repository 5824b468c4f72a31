package member_test

import (
	"fmt"
	"math"
	"runtime"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sapphiretack/sapphiretack/member"
	"github.com/sapphiretack/sapphiretack/request"
)

// The benchmarks of this file run one scenario each in virtual time. Their metrics refer to virtual time, except for cpu_us,
// which is the CPU time per node and virtual second, including the overhead of the simulation. Run them with -benchtime=1x:
//
//	go test ./member -run xxx -bench Scale/steady/2800 -benchtime=1x

var scaleSizes = []struct{ zones, perZone int }{{4, 25}, {4, 175}, {16, 175}}

var scaleScenarios = []struct {
	name string
	run  func(*scaleRun)
}{
	{"steady", (*scaleRun).steady},
	{"leave", (*scaleRun).leave},
	{"crash", (*scaleRun).crash},
	{"version", (*scaleRun).version},
	{"frozen", (*scaleRun).frozen},
	{"rack", (*scaleRun).rackFailure},
	{"zone", (*scaleRun).zoneFailure},
	{"regions", (*scaleRun).regionPartition},
	{"join", (*scaleRun).join},
}

func BenchmarkScale(b *testing.B) {
	for _, scenario := range scaleScenarios {
		for _, size := range scaleSizes {
			b.Run(fmt.Sprintf("%s/%d", scenario.name, size.zones*size.perZone), func(b *testing.B) {
				for range b.N {
					s := &scaleRun{report: b.ReportMetric, size: size.zones * size.perZone}
					s.c = newCluster(member.DefaultSettings(), 1)
					s.c.add(size.zones, size.perZone)
					s.c.runFor(20 * time.Second)
					scenario.run(s)
				}
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// TestScaleTargets guards against missing a target at a cluster size that CI can run: at most 11 KB/s of control
// traffic per node in both directions together, a configuration version on all nodes within 9 s, and no live member
// held dead.
func TestScaleTargets(t *testing.T) {
	const bytesPerSecond, versionSeconds = 11 << 10, 9
	metrics := map[string]float64{}
	for _, scenario := range scaleScenarios {
		s := &scaleRun{size: 100, report: func(v float64, unit string) { metrics[scenario.name+" "+unit] = v }}
		s.c = newCluster(member.DefaultSettings(), 1)
		s.c.add(4, 25)
		s.c.runFor(20 * time.Second)
		scenario.run(s)
	}
	qt.Check(t, metrics["steady busiest_in+out_B/s"] <= bytesPerSecond, qt.IsTrue)
	qt.Check(t, metrics["version version_s"] <= versionSeconds, qt.IsTrue)
	qt.Check(t, metrics["frozen false_deaths"], qt.Equals, 0.0)
	qt.Check(t, metrics["regions wrong_pairs"], qt.Equals, 0.0)
	for name := range metrics {
		qt.Check(t, strings.HasSuffix(name, "_not_reached") || strings.HasSuffix(name, "_missing"), qt.IsFalse, qt.Commentf("%s", name))
	}
}

// scaleRun measures one scenario.
type scaleRun struct {
	c               *cluster
	size            int
	report          func(float64, string)
	bytesAtStart    int
	messagesAtStart int
	startedAt       request.Instant
	wallStart       time.Time
	// members is a buffer reused by wrongPairs.
	members []member.Member
}

// resetCounters sets the traffic counters to zero and records the start of a measurement.
func (s *scaleRun) resetCounters() {
	s.bytesAtStart, s.messagesAtStart, s.startedAt = s.c.bytes, s.c.messages, s.c.now
	for _, n := range s.c.nodes {
		n.bytesOut, n.bytesIn = 0, 0
	}
	s.wallStart = time.Now()
}

// traffic reports the bytes and messages sent per node and second since resetCounters, and the traffic of the busiest node.
func (s *scaleRun) traffic() {
	seconds := s.c.now.Sub(s.startedAt).Seconds()
	nodes := float64(len(s.c.nodes))
	s.report(float64(s.c.bytes-s.bytesAtStart)/nodes/seconds, "sent_B/s")
	s.report(float64(s.c.messages-s.messagesAtStart)/nodes/seconds, "sent_msg/s")
	busiest := 0
	for _, n := range s.c.nodes {
		busiest = max(busiest, n.bytesOut+n.bytesIn)
	}
	s.report(float64(busiest)/seconds, "busiest_in+out_B/s")
	s.report(time.Since(s.wallStart).Seconds()*1e6/nodes/seconds, "cpu_us")
}

// reportTimeUntil reports the time until done returns true; on a timeout it reports the limit and a failure metric.
func (s *scaleRun) reportTimeUntil(limit time.Duration, unit string, done func() bool) {
	start := s.c.now
	if !s.c.runUntil(start.Add(limit), done) {
		s.report(1, unit+"_not_reached")
	}
	s.report(s.c.now.Sub(start).Seconds(), unit)
}

func (s *scaleRun) steady() {
	s.resetCounters()
	s.c.runFor(60 * time.Second)
	s.traffic()
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	s.report(float64(stats.HeapAlloc)/float64(s.size)/float64(s.size), "heap_B/member")
}

// reportSpread reports the times at which half, 99% and all of the observers hold the instance in the state.
func (s *scaleRun) reportSpread(id request.InstanceID, st member.State, limit time.Duration, name string) {
	start := s.c.now
	total := s.c.observers(id)
	for _, share := range []int{50, 99, 100} {
		want := (total*share + 99) / 100
		done := func() bool { return s.c.count(id, st) >= want }
		if !s.c.runUntil(start.Add(limit), done) {
			s.report(float64(total-s.c.count(id, st)), fmt.Sprintf("%s_missing", name))
			return
		}
		s.report(s.c.now.Sub(start).Seconds(), fmt.Sprintf("%s_%d%%_s", name, share))
	}
}

func (s *scaleRun) leave() {
	s.resetCounters()
	s.c.handle(s.c.nodes[3], member.Leave{})
	s.reportSpread(s.c.nodes[3].id, member.Leaving, 60*time.Second, "leaving")
	s.traffic()
}

func (s *scaleRun) crash() {
	s.c.loss = 0.01
	s.resetCounters()
	s.c.nodes[3].running = false
	start := s.c.now
	s.reportTimeUntil(60*time.Second, "first_suspect_s", func() bool { return s.c.count(s.c.nodes[3].id, member.Suspect) > 0 })
	s.c.now = max(s.c.now, start)
	s.reportSpread(s.c.nodes[3].id, member.Dead, 120*time.Second, "dead")
	s.traffic()
}

func (s *scaleRun) version() {
	s.resetCounters()
	s.c.handle(s.c.nodes[3], member.ConfigurationApplied{Version: 7})
	s.reportTimeUntil(60*time.Second, "version_s", func() bool {
		for _, n := range s.c.nodes {
			if n.Self().ConfigurationVersion < 7 {
				return false
			}
		}
		return true
	})
	s.traffic()
}

func (s *scaleRun) frozen() {
	s.c.loss = 0.01
	s.c.falseDeaths = map[[2]request.InstanceID]bool{}
	s.resetCounters()
	s.c.nodes[3].frozen = true
	s.c.runFor(30 * time.Second)
	s.c.resume(s.c.nodes[3])
	s.reportSpread(s.c.nodes[3].id, member.Alive, 60*time.Second, "refuted")
	s.c.runFor(30 * time.Second)
	s.report(float64(len(s.c.falseDeaths)), "false_deaths")
	s.traffic()
}

// reduceChecks lowers the check rate of large clusters, to avoid comparing millions of pairs every 100 ms.
func (s *scaleRun) reduceChecks() {
	if s.size > 1000 {
		s.c.checkInterval = time.Second
	}
}

// reportDeaths reports the times until half, 99% and all pairs of a running and a stopped node are correct.
func (s *scaleRun) reportDeaths(limit time.Duration) {
	s.reduceChecks()
	start := s.c.now
	pairs := s.wrongPairs(math.MaxInt)
	for _, share := range []int{50, 99, 100} {
		left := pairs * (100 - share) / 100
		if !s.c.runUntil(start.Add(limit), func() bool { return s.wrongPairs(left+1) <= left }) {
			s.report(float64(s.wrongPairs(math.MaxInt)), "dead_missing")
		}
		s.report(s.c.now.Sub(start).Seconds(), fmt.Sprintf("dead_%d%%_s", share))
	}
}

// converged reports whether no pair is wrong.
func (s *scaleRun) converged() bool { return s.wrongPairs(1) == 0 }

// wrongPairs counts the pairs of a running observer and a member that it holds in a wrong state: dead although running, not
// dead although stopped, or unknown. It counts no further observers once the count has reached the limit.
func (s *scaleRun) wrongPairs(limit int) int {
	total := 0
	for _, n := range s.c.nodes {
		if !n.running {
			continue
		}
		if total >= limit {
			break
		}
		held := 0
		s.members = n.Members(s.members[:0])
		for _, m := range s.members {
			if (m.State == member.Dead) == s.c.byID[m.Instance].running {
				total++
			}
			held++
		}
		total += len(s.c.nodes) - held
	}
	return total
}

func (s *scaleRun) rackFailure() {
	s.resetCounters()
	for i := range 20 {
		s.c.nodes[i*s.zoneCount()].running = false
	}
	s.reportDeaths(120 * time.Second)
	s.traffic()
}

func (s *scaleRun) zoneCount() int {
	if s.size > 1000 {
		return 16
	}
	return 4
}

// zoneFailure stops a sixteenth of all members, all in one zone, and restarts them once all running nodes hold them dead,
// or after five minutes.
func (s *scaleRun) zoneFailure() {
	var stopped []*node
	for _, n := range s.c.nodes {
		if n.zone == s.c.nodes[0].zone && len(stopped) < s.size/16 {
			stopped = append(stopped, n)
			n.running = false
		}
	}
	s.resetCounters()
	s.reportDeaths(300 * time.Second)
	s.traffic()
	rows := s.c.nodes[1].Members(nil)
	s.resetCounters()
	for _, n := range stopped {
		s.c.restart(n, rows)
	}
	s.reportTimeUntil(300*time.Second, "back_s", s.converged)
	s.report(float64(s.c.bytes-s.bytesAtStart)/float64(s.size)/s.c.now.Sub(s.startedAt).Seconds(), "back_sent_B/s")
}

// regionPartition separates a quarter of the zones from the others for five minutes.
func (s *scaleRun) regionPartition() {
	for _, n := range s.c.nodes {
		if n.zone < request.ZoneID(fmt.Sprintf("zone-%02d", s.zoneCount()/4)) {
			s.c.partitionSide[n.zone] = 1
		}
	}
	s.resetCounters()
	s.c.runFor(300 * time.Second)
	s.traffic()
	s.report(float64(s.wrongPairs(math.MaxInt)), "held_dead_pairs")
	clear(s.c.partitionSide)
	s.reduceChecks()
	s.resetCounters()
	s.reportTimeUntil(300*time.Second, "healed_s", s.converged)
	s.report(float64(s.wrongPairs(math.MaxInt)), "wrong_pairs")
	s.report(float64(s.c.bytes-s.bytesAtStart)/float64(s.size), "healed_sent_B")
	s.report(float64(s.c.bytes-s.bytesAtStart)/float64(s.size)/s.c.now.Sub(s.startedAt).Seconds(), "healed_sent_B/s")
}

// join restarts one instance with 16 rows of the platform's table and reports when it knows all members.
func (s *scaleRun) join() {
	rows := s.c.nodes[0].Members(nil)[:16]
	s.resetCounters()
	n := s.c.nodes[3]
	s.c.restart(n, rows)
	s.reportTimeUntil(300*time.Second, "joined_s", func() bool { return n.Len() == s.size })
	s.report(float64(n.bytesIn+n.bytesOut)/s.c.now.Sub(s.startedAt).Seconds(), "joiner_in+out_B/s")
	s.reportTimeUntil(60*time.Second, "known_s", s.converged)
}
