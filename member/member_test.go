package member_test

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	qt "github.com/frankban/quicktest"

	"github.com/sapphiretack/sapphiretack/member"
	"github.com/sapphiretack/sapphiretack/quarantine"
	"github.com/sapphiretack/sapphiretack/request"
)

// TestScripts guards against members that are lost, kept after their death, declared dead while alive, or updated too
// late; each script names the failure of its cases.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		s := script{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string { return runCommands(t, d, s.run) })
	})
}

// runCommands runs the commands of a directive and returns their output.
func runCommands(t *testing.T, d *datadriven.TestData, step func(*testing.T, *datadriven.TestData) string) string {
	var b strings.Builder
	for line := range strings.SplitSeq(d.Input, "\n") {
		var command datadriven.TestData
		var err error
		command.Pos = d.Pos
		command.Cmd, command.CmdArgs, err = datadriven.ParseLine(line)
		qt.Assert(t, err, qt.IsNil)
		if out := step(t, &command); out != "" {
			fmt.Fprintf(&b, "%s: %s", line, out)
		}
	}
	return b.String()
}

type script struct{ c *cluster }

// run runs one command of a script.
func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "cluster":
		settings := member.DefaultSettings()
		if d.HasArg("tombstone") {
			settings.TombstoneTTL = duration(t, d, "tombstone")
		}
		s.c = newCluster(settings, uint64(number(t, d, "seed")))
		s.c.loss, s.c.duplication = number(t, d, "loss"), number(t, d, "copies")
		s.c.jitter = duration(t, d, "jitter")
		s.c.add(int(number(t, d, "zones")), int(number(t, d, "per-zone")))
	case "run":
		s.c.runFor(duration(t, d, "for"))
	case "crash":
		s.forEachNode(t, d, func(n *node) { n.running = false })
	case "freeze":
		s.forEachNode(t, d, func(n *node) { n.frozen = true })
	case "resume":
		s.forEachNode(t, d, s.c.resume)
	case "restart":
		// The new process reads the rows of the first instances only, as if the others had not written theirs yet.
		var rows []member.Member
		for i := range int(number(t, d, "rows")) {
			rows = append(rows, s.c.row(i, i%s.c.zones))
		}
		for _, id := range s.ids(t, d, "seeds") {
			rows = append(rows, member.Member{Address: s.c.byID[id].Self().Address})
		}
		s.forEachNode(t, d, func(n *node) { s.c.restart(n, rows) })
	case "cut":
		s.setSide(d, 1)
	case "heal":
		s.setSide(d, 0)
	case "leave":
		s.forEachNode(t, d, func(n *node) { s.c.handle(n, member.Leave{Sources: s.ids(t, d, "sources")}) })
	case "apply":
		version := uint64(number(t, d, "version"))
		s.forEachNode(t, d, func(n *node) { s.c.handle(n, member.ConfigurationApplied{Version: version}) })
	case "watch":
		s.c.falseDeaths = map[[2]request.InstanceID]bool{}
	case "false-deaths":
		return s.falseDeaths()
	case "report":
		return s.report(t, d)
	case "view":
		return s.view(t, d)
	case "wait":
		return s.wait(t, d)
	default:
		d.Fatalf(t, "unknown command %q", d.Cmd)
	}
	return ""
}

func number(t *testing.T, d *datadriven.TestData, key string) float64 {
	if !d.HasArg(key) {
		return 0
	}
	var v string
	d.ScanArgs(t, key, &v)
	f, err := strconv.ParseFloat(v, 64)
	qt.Assert(t, err, qt.IsNil)
	return f
}

func duration(t *testing.T, d *datadriven.TestData, key string) time.Duration {
	if !d.HasArg(key) {
		return 0
	}
	var v string
	d.ScanArgs(t, key, &v)
	parsed, err := time.ParseDuration(v)
	qt.Assert(t, err, qt.IsNil)
	return parsed
}

// ids returns the instances named by an argument: numbers and ranges such as 3-7. For nodes, zone=N adds those of a zone.
func (s *script) ids(t *testing.T, d *datadriven.TestData, key string) []request.InstanceID {
	var ids []request.InstanceID
	for _, arg := range d.CmdArgs {
		if arg.Key == "zone" && key == "nodes" {
			for _, n := range s.c.nodes {
				if string(n.zone) == "zone-"+arg.Vals[0] {
					ids = append(ids, n.id)
				}
			}
		}
		if arg.Key != key {
			continue
		}
		for v := range strings.SplitSeq(strings.Join(arg.Vals, ","), ",") {
			first, last, isRange := strings.Cut(v, "-")
			if !isRange {
				last = first
			}
			from, err := strconv.Atoi(first)
			qt.Assert(t, err, qt.IsNil)
			to, err := strconv.Atoi(last)
			qt.Assert(t, err, qt.IsNil)
			for i := from; i <= to; i++ {
				ids = append(ids, s.c.nodes[i].id)
			}
		}
	}
	return ids
}

func (s *script) forEachNode(t *testing.T, d *datadriven.TestData, do func(*node)) {
	for _, id := range s.ids(t, d, "nodes") {
		do(s.c.byID[id])
	}
}

func (s *script) setSide(d *datadriven.TestData, side int) {
	for _, arg := range d.CmdArgs {
		for zone := range strings.SplitSeq(strings.Join(arg.Vals, ","), ",") {
			s.c.partitionSide[request.ZoneID("zone-"+zone)] = side
		}
	}
}

// falseDeaths returns the live members that were held dead, each with the number of its observers.
func (s *script) falseDeaths() string {
	observers := map[request.InstanceID]int{}
	for pair := range s.c.falseDeaths {
		observers[pair[1]]++
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%d members\n", len(observers))
	for _, n := range s.c.nodes {
		if observers[n.id] > 0 {
			fmt.Fprintf(&b, "%s by %d\n", n.id, observers[n.id])
		}
	}
	return b.String()
}

// report makes nodes observe the same crash of a backend server and, after some time, returns the number of nodes per
// quarantine state.
func (s *script) report(t *testing.T, d *datadriven.TestData) string {
	f := request.Fingerprint(number(t, d, "fingerprint"))
	crash := quarantine.Crash{Instance: "crashed", Incarnation: request.Incarnation(number(t, d, "incarnation"))}
	s.forEachNode(t, d, func(n *node) {
		if r, changed := n.table.ReportCrash(s.c.now, f, n.Self().Service, crash); changed {
			s.c.handle(n, member.CrashObserved{Record: r})
		}
	})
	s.c.runFor(duration(t, d, "after"))
	states := map[quarantine.State]int{}
	for _, n := range s.c.nodes {
		states[n.table.State(s.c.now, f)]++
	}
	return fmt.Sprintf("clear=%d suspect=%d quarantined=%d\n",
		states[quarantine.Clear], states[quarantine.Suspect], states[quarantine.Quarantined])
}

// view returns, for each given node, the number of running nodes that hold it in each state.
func (s *script) view(t *testing.T, d *datadriven.TestData) string {
	var b strings.Builder
	s.forEachNode(t, d, func(n *node) {
		counts := map[member.State]int{}
		for st := member.Alive; st <= member.Dead; st++ {
			counts[st] = s.c.count(n.id, st)
		}
		fmt.Fprintf(&b, "%s alive=%d suspect=%d leaving=%d dead=%d\n", n.id,
			counts[member.Alive], counts[member.Suspect], counts[member.Leaving], counts[member.Dead])
	})
	return b.String()
}

// wait runs until all running nodes hold the given ones in a state and have reached a configuration version.
func (s *script) wait(t *testing.T, d *datadriven.TestData) string {
	state := member.Alive
	for st := member.Alive; st <= member.Dead; st++ {
		if d.HasArg(st.String()) {
			state = st
		}
	}
	version := uint64(number(t, d, "version"))
	ids := s.ids(t, d, "nodes")
	done := func() bool {
		for _, id := range ids {
			if s.c.count(id, state) != s.c.observers(id) {
				return false
			}
		}
		for _, n := range s.c.nodes {
			if n.running && n.Self().ConfigurationVersion < version {
				return false
			}
		}
		return true
	}
	if s.c.runUntil(s.c.now.Add(duration(t, d, "within")), done) {
		return "reached\n"
	}
	return "not reached\n" + s.view(t, d)
}

// observers returns the number of running, unfrozen nodes except id.
func (c *cluster) observers(id request.InstanceID) int {
	total := 0
	for _, n := range c.nodes {
		if n.running && !n.frozen && n.id != id {
			total++
		}
	}
	return total
}

// TestChangedRateIsLimited guards against a rebuild of the route table for every message during a failure, and against
// a final change that is never reported.
func TestChangedRateIsLimited(t *testing.T) {
	c := newCluster(member.DefaultSettings(), 1)
	settings := member.DefaultSettings()
	m := member.New(c.row(0, 0), settings, rand.New(rand.NewPCG(1, 1)))
	changes := 0
	var last, announced request.Instant
	for i := range 100 {
		now := request.Instant(i) * request.Instant(settings.TickInterval) / 4
		event := member.Event(member.Tick{})
		if i%4 != 0 && i < 80 {
			event, last = member.Bootstrap{Rows: []member.Member{c.row(1+i, 0)}}, now
		}
		for _, a := range m.Handle(now, event, nil) {
			if _, ok := a.(member.Changed); ok {
				changes++
				announced = now
			}
		}
	}
	limit := int(100*settings.TickInterval/4/settings.MinChangedInterval) + 1
	qt.Check(t, changes <= limit, qt.IsTrue, qt.Commentf("%d changes in %v", changes, 25*settings.TickInterval))
	qt.Check(t, announced > last, qt.IsTrue)
}

// TestOldUpdateNeverReplacesNewer guards against a delayed or duplicated update that overwrites a later incarnation or
// revision.
func TestOldUpdateNeverReplacesNewer(t *testing.T) {
	c := newCluster(member.DefaultSettings(), 1)
	random := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		m := member.New(c.row(0, 0), c.settings, rand.New(rand.NewPCG(1, 1)))
		var last member.Member
		for i := range 60 {
			u := c.row(1, 0)
			u.Incarnation += request.Incarnation(random.IntN(3))
			u.Revision, u.State = random.Uint32N(3), member.State(random.IntN(4))
			if random.IntN(2) == 0 {
				u = member.Member{Instance: u.Instance, Incarnation: u.Incarnation, Revision: u.Revision, State: u.State}
			}
			now := request.Instant(i) * request.Instant(c.settings.TickInterval)
			m.Handle(now, member.Received{Kind: member.Notice, Message: member.Message{Members: []member.Member{u}}}, nil)
			got, _ := m.Member(u.Instance)
			older := got.Incarnation < last.Incarnation || got.Incarnation == last.Incarnation && got.Revision < last.Revision
			qt.Assert(t, older, qt.IsFalse, qt.Commentf("%+v after %+v and %+v", got, last, u))
			qt.Assert(t, got.Instance == "" || got.Address != "", qt.IsTrue)
			last = got
		}
		qt.Assert(t, last.Incarnation, qt.Equals, c.row(1, 0).Incarnation+2)
	}
}
