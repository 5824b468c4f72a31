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

// The benchmarks of this file run one scenario each in virtual time, with -benchtime=1x. Their figures are metrics in
// virtual time, but for cpu_us, which is the processor time of a node per virtual second including the queue of the test.
//
//	go test ./member -run xxx -bench Scale/steady/2800 -benchtime=1x

var scaleSizes = []struct{ zones, perZone int }{{4, 25}, {4, 175}, {16, 175}}

var scaleScenarios = []struct {
	name string
	run  func(*scale)
}{
	{"steady", (*scale).steady},
	{"leave", (*scale).leave},
	{"crash", (*scale).crash},
	{"version", (*scale).version},
	{"frozen", (*scale).frozen},
	{"rack", (*scale).rack},
	{"zone", (*scale).zone},
	{"regions", (*scale).regions},
	{"join", (*scale).join},
}

func BenchmarkScale(b *testing.B) {
	for _, scenario := range scaleScenarios {
		for _, size := range scaleSizes {
			b.Run(fmt.Sprintf("%s/%d", scenario.name, size.zones*size.perZone), func(b *testing.B) {
				for range b.N {
					s := &scale{report: b.ReportMetric, size: size.zones * size.perZone}
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

// Guards against a change that breaks a stated target at a size that CI can run: 11 KB/s of control traffic for each node
// in both directions, a configuration version everywhere within 9 s, no live member held dead.
func TestScaleTargets(t *testing.T) {
	const bytesPerSecond, versionSeconds = 11 << 10, 9
	metrics := map[string]float64{}
	for _, scenario := range scaleScenarios {
		s := &scale{size: 100, report: func(v float64, unit string) { metrics[scenario.name+" "+unit] = v }}
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

// scale measures one scenario.
type scale struct {
	c      *cluster
	size   int
	report func(float64, string)
	bytes  int
	sent   int
	began  request.Instant
	wall   time.Time
	// members is reused by wrong.
	members []member.Member
}

func (s *scale) begin() {
	s.bytes, s.sent, s.began = s.c.bytes, s.c.messages, s.c.now
	for _, n := range s.c.nodes {
		n.bytesOut, n.bytesIn = 0, 0
	}
	s.wall = time.Now()
}

// traffic reports bytes and messages sent per node and second since begin, and of the busiest node.
func (s *scale) traffic() {
	seconds := s.c.now.Sub(s.began).Seconds()
	nodes := float64(len(s.c.nodes))
	s.report(float64(s.c.bytes-s.bytes)/nodes/seconds, "sent_B/s")
	s.report(float64(s.c.messages-s.sent)/nodes/seconds, "sent_msg/s")
	busiest := 0
	for _, n := range s.c.nodes {
		busiest = max(busiest, n.bytesOut+n.bytesIn)
	}
	s.report(float64(busiest)/seconds, "busiest_in+out_B/s")
	s.report(time.Since(s.wall).Seconds()*1e6/nodes/seconds, "cpu_us")
}

// until reports the time until done holds, or the limit and a failure mark.
func (s *scale) until(limit time.Duration, unit string, done func() bool) {
	start := s.c.now
	if !s.c.runUntil(start.Add(limit), done) {
		s.report(1, unit+"_not_reached")
	}
	s.report(s.c.now.Sub(start).Seconds(), unit)
}

func (s *scale) steady() {
	s.begin()
	s.c.runFor(60 * time.Second)
	s.traffic()
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	s.report(float64(stats.HeapAlloc)/float64(s.size)/float64(s.size), "heap_B/member")
}

// in reports when half, 99% and all of the observers hold the instance in the state.
func (s *scale) in(id request.InstanceID, st member.State, limit time.Duration, name string) {
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

func (s *scale) leave() {
	s.begin()
	s.c.handle(s.c.nodes[3], member.Leave{})
	s.in(s.c.nodes[3].id, member.Leaving, 60*time.Second, "leaving")
	s.traffic()
}

func (s *scale) crash() {
	s.c.loss = 0.01
	s.begin()
	s.c.nodes[3].running = false
	start := s.c.now
	s.until(60*time.Second, "first_suspect_s", func() bool { return s.c.count(s.c.nodes[3].id, member.Suspect) > 0 })
	s.c.now = max(s.c.now, start)
	s.in(s.c.nodes[3].id, member.Dead, 120*time.Second, "dead")
	s.traffic()
}

func (s *scale) version() {
	s.begin()
	s.c.handle(s.c.nodes[3], member.ConfigurationApplied{Version: 7})
	s.until(60*time.Second, "version_s", func() bool {
		for _, n := range s.c.nodes {
			if n.Self().ConfigurationVersion < 7 {
				return false
			}
		}
		return true
	})
	s.traffic()
}

func (s *scale) frozen() {
	s.c.loss = 0.01
	s.c.falseDeaths = map[[2]request.InstanceID]bool{}
	s.begin()
	s.c.nodes[3].frozen = true
	s.c.runFor(30 * time.Second)
	s.c.resume(s.c.nodes[3])
	s.in(s.c.nodes[3].id, member.Alive, 60*time.Second, "refuted")
	s.c.runFor(30 * time.Second)
	s.report(float64(len(s.c.falseDeaths)), "false_deaths")
	s.traffic()
}

// checkRarely spares the time of comparing millions of pairs every 100 ms.
func (s *scale) checkRarely() {
	if s.size > 1000 {
		s.c.checkEvery = time.Second
	}
}

// allDead reports the time until half, 99% and all pairs of a running node and a stopped one are right.
func (s *scale) allDead(limit time.Duration) {
	s.checkRarely()
	start := s.c.now
	pairs := s.wrong(math.MaxInt)
	for _, share := range []int{50, 99, 100} {
		left := pairs * (100 - share) / 100
		if !s.c.runUntil(start.Add(limit), func() bool { return s.wrong(left+1) <= left }) {
			s.report(float64(s.wrong(math.MaxInt)), "dead_missing")
		}
		s.report(s.c.now.Sub(start).Seconds(), fmt.Sprintf("dead_%d%%_s", share))
	}
}

// settled reports whether no pair is wrong.
func (s *scale) settled() bool { return s.wrong(1) == 0 }

// wrong counts, up to a limit, the pairs of a running observer and a member seen in a wrong state: dead while it runs on the same side,
// or not dead while it does not run.
func (s *scale) wrong(limit int) int {
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

func (s *scale) rack() {
	s.begin()
	for i := range 20 {
		s.c.nodes[i*s.zones()].running = false
	}
	s.allDead(120 * time.Second)
	s.traffic()
}

func (s *scale) zones() int {
	if s.size > 1000 {
		return 16
	}
	return 4
}

// zone stops a sixteenth of all members, all of one zone, and starts them again after five minutes.
func (s *scale) zone() {
	var stopped []*node
	for _, n := range s.c.nodes {
		if n.zone == s.c.nodes[0].zone && len(stopped) < s.size/16 {
			stopped = append(stopped, n)
			n.running = false
		}
	}
	s.begin()
	s.allDead(300 * time.Second)
	s.traffic()
	rows := s.c.nodes[1].Members(nil)
	s.begin()
	for _, n := range stopped {
		s.c.restart(n, rows)
	}
	s.until(300*time.Second, "back_s", s.settled)
	s.report(float64(s.c.bytes-s.bytes)/float64(s.size)/s.c.now.Sub(s.began).Seconds(), "back_sent_B/s")
}

// regions cuts a quarter of the zones off for five minutes.
func (s *scale) regions() {
	for _, n := range s.c.nodes {
		if n.zone < request.ZoneID(fmt.Sprintf("zone-%02d", s.zones()/4)) {
			s.c.side[n.zone] = 1
		}
	}
	s.begin()
	s.c.runFor(300 * time.Second)
	s.traffic()
	s.report(float64(s.wrong(math.MaxInt)), "held_dead_pairs")
	clear(s.c.side)
	s.checkRarely()
	s.begin()
	s.until(300*time.Second, "healed_s", s.settled)
	s.report(float64(s.wrong(math.MaxInt)), "wrong_pairs")
	s.report(float64(s.c.bytes-s.bytes)/float64(s.size), "healed_sent_B")
	s.report(float64(s.c.bytes-s.bytes)/float64(s.size)/s.c.now.Sub(s.began).Seconds(), "healed_sent_B/s")
}

// join starts one instance again with 16 rows of the platform and reports when it knows all.
func (s *scale) join() {
	rows := s.c.nodes[0].Members(nil)[:16]
	s.begin()
	n := s.c.nodes[3]
	s.c.restart(n, rows)
	s.until(300*time.Second, "joined_s", func() bool { return n.Len() == s.size })
	s.report(float64(n.bytesIn+n.bytesOut)/s.c.now.Sub(s.began).Seconds(), "joiner_in+out_B/s")
	s.until(60*time.Second, "known_s", s.settled)
}
