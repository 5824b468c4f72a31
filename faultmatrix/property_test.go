package faultmatrix_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	qt "github.com/frankban/quicktest"

	"github.com/sapphiretack/sapphiretack/configuration"
	"github.com/sapphiretack/sapphiretack/faultmatrix"
	"github.com/sapphiretack/sapphiretack/request"
)

// TestWeakened guards against a check that cannot fail: with its mechanism switched off, each property
// must be violated. TestAttemptsPerDepth does this for P1.
func TestWeakened(t *testing.T) {
	datadriven.RunTest(t, "testdata/weakened", func(t *testing.T, d *datadriven.TestData) string {
		var property, step, subject int
		var fault string
		d.ScanArgs(t, "property", &property)
		d.ScanArgs(t, "fault", &fault)
		d.ScanArgs(t, "step", &step)
		d.ScanArgs(t, "subject", &subject)
		o := faultmatrix.Options{
			Seed:              uint64(property),
			RequestsPerSecond: backgroundRate,
			Subject:           faultmatrix.RequestKind(subject),
			Step:              faultmatrix.Step(step),
			Faults:            []faultmatrix.Fault{parseFault(t, fault)},
		}
		with := violatedProperties(o)
		o.Weakened = faultmatrix.Property(property)
		without := violatedProperties(o)
		var seen []string
		for _, p := range without {
			if text := p.String(); p == o.Weakened && len(seen) == 0 {
				seen = append(seen, text)
			}
		}
		return fmt.Sprintf("with: %d violations\nwithout: %s\n", len(with), strings.Join(seen, " "))
	})
}

func parseFault(t *testing.T, name string) faultmatrix.Fault {
	for _, f := range faultmatrix.Faults() {
		if f.String() == name {
			return f
		}
	}
	t.Fatalf("unknown fault %q", name)
	return 0
}

func violatedProperties(o faultmatrix.Options) []faultmatrix.Property {
	sim := faultmatrix.New(o)
	sim.Run(faultmatrix.RunDuration)
	var out []faultmatrix.Property
	for _, v := range sim.Violations() {
		out = append(out, v.Property)
	}
	return out
}

// TestCrashLimit guards against a request that crashes more than two backend servers, alone or
// together with another fault.
func TestCrashLimit(t *testing.T) {
	const crashing = faultmatrix.CrashingRequest
	for _, g := range faultmatrix.Faults() {
		t.Run(g.String(), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(6) {
				sim := faultmatrix.New(faultmatrix.Options{
					Seed:              7000 + seed,
					RequestsPerSecond: backgroundRate,
					Subject:           subjects[seed%3],
					Step:              faultmatrix.Running,
					Faults:            []faultmatrix.Fault{crashing, g},
				})
				sim.Run(faultmatrix.RunDuration)
				for _, v := range sim.Violations() {
					t.Errorf("seed %d: %v", 7000+seed, v)
				}
			}
		})
	}
}

// capacity is the requests a second that 4 slots on each of 3 instances carry. A request holds its
// slot for 48 ms: three services with 8 ms of work and 6 ms of parts each, and six messages of about 1
// ms.
const capacity = 12 * 1000 / 48

// TestSheddingOrder guards against bulk work that displaces essential work, at loads up to ten times
// the capacity and when essential work alone exceeds it.
func TestSheddingOrder(t *testing.T) {
	datadriven.RunTest(t, "testdata/shedding", func(t *testing.T, d *datadriven.TestData) string {
		var times float64
		var seconds int
		fmt.Sscan(d.CmdArgs[0].Vals[0], &times)
		d.ScanArgs(t, "seconds", &seconds)
		o := faultmatrix.Options{Seed: 11, BackgroundOnly: true, RequestsPerSecond: int(capacity * times), Duration: faultmatrix.Seconds(seconds), EssentialOnly: d.HasArg("essential")}
		sim := faultmatrix.New(o)
		sim.Run(o.Duration + faultmatrix.Seconds(4))
		for _, v := range sim.Violations() {
			t.Errorf("seed %d: %v", o.Seed, v)
		}
		s := sim.Summary()
		var shares [request.ClassCount]float64
		for c, n := range s.ByClass {
			shares[c] = 100 * float64(n.Answered) / float64(max(n.Requests, 1))
		}
		t.Logf("%v: answered %.1f%% of %d essential, %.1f%% of standard, %.1f%% of bulk", d.CmdArgs, shares[0], s.ByClass[0].Requests, shares[1], shares[2])
		out := fmt.Sprintf("violations: %d\n", len(sim.Violations()))
		if d.HasArg("essential-fits") {
			out += fmt.Sprintf("at least 99%% of essential answered: %v\n", shares[request.Essential] >= 99)
		}
		out += fmt.Sprintf("essential before all others: %v\n", shares[0] >= max(shares[1], shares[2]))
		qt.Check(t, s.ByClass[request.Essential].Answered > 0, qt.IsTrue)
		return out
	})
}

var sweepRuns = flag.Int("sweep", 60, "runs of TestSweep")

// TestSweep guards against a property that is violated under up to three faults at once, with others
// that follow during the recovery, at any step.
func TestSweep(t *testing.T) {
	const workers = 4
	for worker := range workers {
		t.Run(fmt.Sprint(worker), func(t *testing.T) {
			t.Parallel()
			for run := worker; run < *sweepRuns; run += workers {
				runSweep(t, uint64(run))
			}
		})
	}
}

func runSweep(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 5))
	o := faultmatrix.Options{
		Seed:              500000 + seed,
		RequestsPerSecond: backgroundRate,
		Subject:           subjects[random.IntN(len(subjects))],
		Step:              faultmatrix.Steps()[random.IntN(len(faultmatrix.Steps()))],
		Faults:            pickFaults(random, 1+random.IntN(3)),
		LaterFaults:       pickFaults(random, random.IntN(3)),
		LaterDelay:        time.Duration(random.IntN(3000)) * time.Millisecond,
	}
	sim := faultmatrix.New(o)
	sim.Run(faultmatrix.RunDuration + o.LaterDelay)
	for _, v := range sim.Violations() {
		if v.Property != faultmatrix.CrashLimit {
			t.Errorf("run %d, %v at %v, %v then %v after %v: %v", seed, o.Subject, o.Step, o.Faults, o.LaterFaults, o.LaterDelay, v)
		}
	}
}

func pickFaults(random *rand.Rand, n int) []faultmatrix.Fault {
	all := faultmatrix.Faults()
	random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:n]
}

// TestRestartHearsEachZonePeer guards against a node that serves after a restart although a peer of
// its zone has a newer configuration. If the platform is unreachable, each peer of the zone must have
// reported its version, or have failed to respond, before the node serves (design 4.8). Package node
// waits for two seeds of the zone; a zone with more instances has peers that were not asked.
func TestRestartHearsEachZonePeer(t *testing.T) {
	p := configuration.NewPoller(configuration.PollSettings{Instance: "racedesk-2", Zone: "b"}, 0, rand.New(rand.NewPCG(1, 1)))
	ready := false
	handle := func(e configuration.PollEvent) {
		for _, a := range p.Handle(0, e, nil) {
			if _, ok := a.(configuration.Ready); ok {
				ready = true
			}
		}
	}
	// The member rows of the platform contain the peers but not their versions.
	handle(configuration.MembersChanged{Peers: []configuration.Peer{{Instance: "racedesk-1", Zone: "b"}, {Instance: "registry-2", Zone: "b"}}})
	handle(configuration.Polled{Err: configuration.Unavailable.New("the platform cannot be reached")})
	handle(configuration.VersionReported{Instance: "racedesk-1", Version: 2})
	handle(configuration.Fetched{Instance: "racedesk-1", Version: 2})
	qt.Assert(t, ready, qt.IsFalse, qt.Commentf("registry-2 has version 3 and has not reported it"))
}
