package configuration_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	qt "github.com/frankban/quicktest"

	"github.com/sapphiretack/sapphiretack/configuration"
	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/store"
)

// The delays in the scripts: messageDelay of a gossip message or a poll, fetchDelay of a fetch from a peer. A fetch takes
// longer, so that the test detects a node that does not wait for it.
const (
	messageDelay = 5 * time.Millisecond
	fetchDelay   = 40 * time.Millisecond
)

// maxSteps is the maximum number of events in one test.
const maxSteps = 1_000_000

// instance is a node of the simulated cluster with its replica and its poller.
type instance struct {
	name                 string
	zone                 string
	partitioned          bool                  // partitioned from the platform and from other zones
	version              configuration.Version // of the replica, to detect a decrease
	startZoneVersion     configuration.Version // highest version of the zone at the start of the incarnation
	startPlatformVersion configuration.Version // version of the platform at the start of the incarnation; 0 unless it was healthy and reachable since
	replica              *configuration.Replica
	poller               *configuration.Poller
	timer                request.Instant
	incarnation          int                   // number of the current incarnation; messages to an earlier one are dropped
	announced            configuration.Version // last announced version
}

// message is an event in transit to one incarnation of an instance.
type message struct {
	at          request.Instant
	to          *instance
	incarnation int
	event       func() configuration.PollEvent // evaluated on arrival
}

// cluster simulates pollers and replicas with one fake platform in virtual time.
type cluster struct {
	t            testing.TB
	now          request.Instant
	fake         *store.Fake
	fault        store.Fault // of every request that a poll sends
	store        *configuration.Store
	instances    map[string]*instance
	messages     []message
	random       *rand.Rand
	pollDelay    time.Duration
	randomDelays bool // delays are random, up to a second
	steps        int
	log          []string
}

func newCluster(t testing.TB, seed uint64) *cluster {
	fake := store.NewFake()
	c := &cluster{
		t: t, fake: fake, store: configuration.NewWithLogLength(fake, 6),
		instances: map[string]*instance{}, random: rand.New(rand.NewPCG(seed, 1)),
		pollDelay: messageDelay,
	}
	publishTemplate(t, c.store)
	return c
}

func (c *cluster) names() []string { return slices.Sorted(maps.Keys(c.instances)) }

// reachable reports whether two instances can exchange messages: a partition separates a zone from the others.
func reachable(a, b *instance) bool { return a.zone == b.zone || !a.partitioned && !b.partitioned }

func (c *cluster) start(name, zone string) {
	n := c.instances[name]
	if n == nil {
		n = &instance{name: name, zone: zone}
		c.instances[name] = n
	}
	n.incarnation++
	n.version, n.announced = 0, 0
	n.startZoneVersion = c.zoneVersion(n)
	n.startPlatformVersion = 0
	if c.fault == store.NoFault && !n.partitioned {
		u, err := c.store.Since(context.Background(), 1<<60)
		qt.Assert(c.t, err, qt.IsNil)
		n.startPlatformVersion = u.Version
	}
	n.replica = configuration.NewReplica()
	s := configuration.PollSettings{Instance: request.InstanceID(name), Zone: request.ZoneID(n.zone)}
	n.poller = configuration.NewPoller(s, c.now, c.random)
	n.timer = -1
	c.send(n, 0, event(configuration.PollTick{}))
	c.sendMembers()
}

// setFault sets the fault of every request that a poll sends. It clears the platform versions that instances must reach, which a fault makes
// unknown.
func (c *cluster) setFault(f store.Fault) {
	c.fault = f
	for _, n := range c.instances {
		n.startPlatformVersion = 0
	}
}

// setPartitioned partitions a zone from the platform and the other zones, or heals the partition.
func (c *cluster) setPartitioned(zone string, partitioned bool) {
	for _, n := range c.instances {
		if n.zone == zone {
			n.partitioned, n.startPlatformVersion = partitioned, 0
		}
	}
	c.sendMembers()
}

// zoneVersion returns the highest version of the other instances in the zone.
func (c *cluster) zoneVersion(n *instance) (v configuration.Version) {
	for _, o := range c.instances {
		if o != n && o.zone == n.zone {
			v = max(v, o.replica.Version())
		}
	}
	return v
}

// sendMembers sends each instance the peers that it can reach, half of them with their versions.
func (c *cluster) sendMembers() {
	for _, name := range c.names() {
		n := c.instances[name]
		var peers []configuration.Peer
		for _, other := range c.names() {
			if o := c.instances[other]; o != n && reachable(n, o) {
				peer := configuration.Peer{Instance: request.InstanceID(other), Zone: request.ZoneID(o.zone)}
				if c.random.IntN(2) == 0 { // otherwise the peer is known only from its platform row
					peer.Version = o.replica.Version()
				}
				peers = append(peers, peer)
			}
		}
		c.send(n, messageDelay, event(configuration.MembersChanged{Peers: peers}))
	}
}

// send schedules an event for the current incarnation of an instance.
func (c *cluster) send(to *instance, delay time.Duration, e func() configuration.PollEvent) {
	if c.randomDelays {
		delay = time.Duration(c.random.IntN(1000)) * time.Millisecond
	}
	c.messages = append(c.messages, message{c.now.Add(delay), to, to.incarnation, e})
}

func event(e configuration.PollEvent) func() configuration.PollEvent {
	return func() configuration.PollEvent { return e }
}

// handle passes an event to an instance, carries out the actions and checks that versions never decrease.
func (c *cluster) handle(n *instance, e configuration.PollEvent) {
	ready := n.poller.Ready()
	for _, a := range n.poller.Handle(c.now, e, nil) {
		switch a := a.(type) {
		case configuration.PollPlatform:
			c.send(n, c.pollDelay, c.pollPlatform(n))
		case configuration.FetchPeer:
			c.send(n, fetchDelay, c.fetchPeer(n, a.Instance))
		case configuration.Announce:
			qt.Assert(c.t, a.Version > n.announced, qt.IsTrue, qt.Commentf("%s announces a version twice or a lower one", n.name))
			n.announced = a.Version
			for _, name := range c.names() {
				if o := c.instances[name]; o != n && reachable(n, o) {
					c.send(o, messageDelay, event(configuration.VersionReported{Instance: request.InstanceID(n.name), Version: a.Version}))
				}
			}
		case configuration.Ready:
			qt.Assert(c.t, ready, qt.IsFalse)
			qt.Assert(c.t, a.Version >= min(n.startZoneVersion, c.zoneVersion(n)), qt.IsTrue, qt.Commentf("%s serves an older version than its zone", n.name))
			qt.Assert(c.t, a.Version >= n.startPlatformVersion, qt.IsTrue, qt.Commentf("%s serves an older version than the platform", n.name))
			c.log = append(c.log, fmt.Sprintf("%s ready at version %d", n.name, a.Version))
		case configuration.SetPollTimer:
			n.timer = a.At
		}
	}
	qt.Assert(c.t, n.replica.Version() >= n.version, qt.IsTrue, qt.Commentf("the version of %s decreased", n.name))
	n.version = n.replica.Version()
}

// apply applies an update as package node does, and returns the replica's version.
func (n *instance) apply(u configuration.Update, err error) (configuration.Version, error) {
	if err == nil {
		err = n.replica.Apply(u.Version, u.Objects, u.Snapshot)
	}
	return n.replica.Version(), err
}

// pollPlatform reads the platform immediately; the returned event applies the update on arrival.
func (c *cluster) pollPlatform(n *instance) func() configuration.PollEvent {
	if n.partitioned {
		return event(configuration.Polled{Err: configuration.Unavailable.New("cut")})
	}
	c.fake.SetFaultHook(func(context.Context, store.OperationKind) store.Fault { return c.fault })
	defer c.fake.SetFaultHook(nil)
	u, err := c.store.Since(context.Background(), n.replica.Version())
	return func() configuration.PollEvent {
		v, err := n.apply(u, err)
		return configuration.Polled{Version: v, Err: err}
	}
}

// fetchPeer reads the peer's replica immediately; the returned event applies the update on arrival.
func (c *cluster) fetchPeer(n *instance, from request.InstanceID) func() configuration.PollEvent {
	o := c.instances[string(from)]
	if !reachable(n, o) {
		return event(configuration.Fetched{Instance: from, Err: configuration.Unavailable.New("cut")})
	}
	u := o.replica.Since(n.replica.Version())
	return func() configuration.PollEvent {
		v, err := n.apply(u, nil)
		return configuration.Fetched{Instance: from, Version: v, Err: err}
	}
}

// advance delivers messages and timers in order of time.
func (c *cluster) advance(d time.Duration) {
	until := c.now.Add(d)
	for ; ; c.steps++ {
		qt.Assert(c.t, c.steps < maxSteps, qt.IsTrue, qt.Commentf("the pollers did not settle within the maximum number of events"))
		next, timer := -1, (*instance)(nil)
		at := until
		for i, m := range c.messages {
			if m.at < at || m.at == at && next < 0 {
				next, at = i, m.at
			}
		}
		for _, name := range c.names() {
			if n := c.instances[name]; n.timer >= 0 && n.timer < at {
				timer, at = n, n.timer
			}
		}
		switch c.now = max(c.now, at); {
		case timer != nil:
			timer.timer = -1
			c.handle(timer, configuration.PollTick{})
		case next >= 0:
			m := c.messages[next]
			c.messages = slices.Delete(c.messages, next, next+1)
			if m.incarnation == m.to.incarnation {
				c.handle(m.to, m.event())
			}
		default:
			return
		}
	}
}

func (c *cluster) commit(t testing.TB, id string, revision configuration.Revision) string {
	o, err := c.store.Commit(context.Background(), customerChange(configuration.ChangeID(id), revision, 1+int(revision)))
	if err != nil {
		return err.Error()
	}
	return fmt.Sprintf("version %d", o.Version)
}

// versions returns the states of all instances, grouped by state.
func (c *cluster) versions() string {
	states := map[string][]string{}
	for _, name := range c.names() {
		n := c.instances[name]
		rate := "none"
		if p, err := n.replica.Policy("club-17", "racedesk", "record-arrival"); err == nil {
			rate = fmt.Sprint(p.RatePerSecond)
		}
		state := fmt.Sprintf("version %d rate %s ready %t", n.replica.Version(), rate, n.poller.Ready())
		states[state] = append(states[state], name)
	}
	var lines []string
	for state, names := range states {
		lines = append(lines, strings.Join(names, " ")+": "+state)
	}
	slices.Sort(lines)
	return strings.Join(lines, "; ")
}

// runLines runs scripts whose directives contain commands separated by ';'. For each line of commands it prints one line of
// results separated by '|'.
func runLines(t *testing.T, path string, run func(t *testing.T, d *datadriven.TestData) string) {
	datadriven.RunTest(t, path, func(t *testing.T, block *datadriven.TestData) string {
		var out strings.Builder
		for line := range strings.SplitSeq(block.Input, "\n") {
			var results []string
			for command := range strings.SplitSeq(strings.TrimSuffix(line, ";"), ";") {
				cmd, args, err := datadriven.ParseLine(command)
				qt.Assert(t, err, qt.IsNil)
				result := strings.TrimSpace(run(t, &datadriven.TestData{Pos: block.Pos, Cmd: cmd, CmdArgs: args}))
				results = append(results, strings.ReplaceAll(result, "\n", ", "))
			}
			fmt.Fprintln(&out, strings.Join(results, " | "))
		}
		return out.String()
	})
}

// TestCluster guards against a replica whose version decreases, a node that serves an older configuration than it can reach,
// and a change that does not propagate, under platform outages, stale reads, zone partitions and restarts.
func TestCluster(t *testing.T) {
	datadriven.Walk(t, "testdata/cluster", func(t *testing.T, path string) {
		c := newCluster(t, 1)
		revision := configuration.Revision(0)
		runLines(t, path, func(t *testing.T, d *datadriven.TestData) string {
			c.t = t
			c.log = nil
			switch d.Cmd {
			case "start":
				for _, a := range d.CmdArgs {
					c.start(a.Key, a.SingleVal(t))
				}
			case "commit":
				n := 1
				d.MaybeScanArgs(t, "changes", &n)
				result := ""
				for range n {
					result = c.commit(t, fmt.Sprint("c-", revision), revision)
					revision++
				}
				return result
			case "platform":
				c.setFault(map[string]store.Fault{"up": store.NoFault, "down": store.Down, "stale": store.StaleRead}[d.CmdArgs[0].Key])
			case "slow":
				c.pollDelay = 500 * time.Millisecond
			case "freeze":
				c.fake.SaveStaleState()
			case "cut", "heal":
				c.setPartitioned(d.CmdArgs[0].Key, d.Cmd == "cut")
			case "advance":
				duration, err := time.ParseDuration(d.CmdArgs[0].Key)
				qt.Assert(t, err, qt.IsNil)
				c.advance(duration)
				slices.Sort(c.log) // the order depends on the jitter only
				return strings.Join(append(c.log, c.versions()), "; ")
			default:
				t.Fatalf("unknown command %q", d.Cmd)
			}
			return "ok"
		})
	})
}

// TestClusterRandomFaults guards against a version that decreases, a node that starts with an older version than it can
// reach, and a change that is not in effect everywhere within 9 s after all faults end: 40 random runs with fixed seeds of
// outages, stale reads, partitions, restarts and changes.
func TestClusterRandomFaults(t *testing.T) {
	for seed := range uint64(40) {
		c := newCluster(t, seed)
		c.randomDelays = true
		zones := []string{"a", "b"}
		for i := range 8 {
			c.start(fmt.Sprint("n", i), zones[i%2])
		}
		revision := configuration.Revision(0)
		for range 60 {
			switch c.random.IntN(9) {
			case 0, 1:
				c.commit(t, fmt.Sprint("c-", revision), revision)
				revision++
			case 2:
				c.setFault(store.Down)
			case 3:
				c.setFault(store.StaleRead)
			case 8:
				c.fake.SaveStaleState()
			case 4:
				c.setFault(store.NoFault)
			case 5, 6:
				c.setPartitioned("a", c.random.IntN(2) == 0)
			case 7:
				c.start(fmt.Sprint("n", c.random.IntN(8)), "")
			}
			if c.random.IntN(3) > 0 { // otherwise the next fault comes at once
				c.advance(time.Duration(c.random.IntN(3000)) * time.Millisecond)
			}
		}
		c.setPartitioned("a", false)
		c.setFault(store.NoFault)
		c.advance(9 * time.Second)
		for _, n := range c.instances {
			qt.Assert(t, n.replica.Version(), qt.Equals, configuration.Version(revision)+1, qt.Commentf("seed %d, %s", seed, n.name))
			qt.Assert(t, n.poller.Ready(), qt.IsTrue)
		}
	}
}

// TestReadersStableUnderMembershipChanges guards against readers that change when other instances join or leave, and against
// a number of readers other than two.
func TestReadersStableUnderMembershipChanges(t *testing.T) {
	var present []request.InstanceID
	for i := range 175 {
		present = append(present, request.InstanceID(fmt.Sprintf("racedesk-%d", i)))
	}
	readers := func(present []request.InstanceID) (r []request.InstanceID) {
		for _, n := range present {
			if configuration.IsReader(n, "plovdiv-a", present) {
				r = append(r, n)
			}
		}
		return r
	}
	all := readers(present)
	qt.Assert(t, all, qt.HasLen, configuration.ReadersPerZone)
	for i, gone := range present {
		rest := readers(slices.Delete(slices.Clone(present), i, i+1))
		qt.Assert(t, rest, qt.HasLen, configuration.ReadersPerZone)
		for _, n := range all {
			if n != gone {
				qt.Assert(t, slices.Contains(rest, n), qt.IsTrue)
			}
		}
	}
	qt.Assert(t, readers(present[:1]), qt.HasLen, 1)
}

// TestStartWithUnresponsivePeers guards against a starting instance that waits forever for zone peers that do not respond,
// and against one that stops waiting after a single lost response.
func TestStartWithUnresponsivePeers(t *testing.T) {
	c := newCluster(t, 1)
	s := configuration.PollSettings{Instance: "n", Zone: "a"}
	p := configuration.NewPoller(s, 0, c.random)
	var peers []configuration.Peer
	for i := range 20 {
		peers = append(peers, configuration.Peer{Instance: request.InstanceID(fmt.Sprint("dead-", i)), Zone: "a"})
	}
	now, fetches := request.Instant(0), map[request.InstanceID]int{}
	queue := []configuration.PollEvent{
		configuration.PollTick{}, configuration.MembersChanged{Peers: peers}, configuration.Polled{Version: 3},
	}
	for !p.Ready() {
		qt.Assert(t, len(queue) > 0, qt.IsTrue, qt.Commentf("the poller is not ready but waits for no event"))
		e := queue[0]
		queue = queue[1:]
		for _, a := range p.Handle(now, e, nil) {
			switch a := a.(type) {
			case configuration.FetchPeer:
				fetches[a.Instance]++
				queue = append(queue, configuration.Fetched{Instance: a.Instance, Err: configuration.Unavailable.New("no response")})
			case configuration.SetPollTimer:
				now = max(now, a.At)
				queue = append(queue, configuration.PollTick{})
			}
		}
	}
	qt.Assert(t, fetches, qt.HasLen, len(peers))
	for instance, n := range fetches {
		qt.Assert(t, n, qt.Equals, 2, qt.Commentf("%s", instance))
	}
}
