package faultmatrix_test

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"text/template"

	"github.com/cockroachdb/datadriven"
	qt "github.com/frankban/quicktest"

	"github.com/sapphiretack/sapphiretack/faultmatrix"
	"github.com/sapphiretack/sapphiretack/request"
)

var update = flag.Bool("update", false, "write docs/fault-matrix.md")

const documentPath = "../docs/fault-matrix.md"

// subjects are the kinds of requests that each fault is aimed at in turn.
var subjects = []faultmatrix.RequestKind{faultmatrix.Arrival, faultmatrix.Lookup, faultmatrix.KeyedArrival}

// backgroundRate is the number of background requests a second in each cell.
const backgroundRate = 25

// cell is the result of one fault, or pair of faults, at one step.
type cell struct {
	Seed           uint64
	Text           string
	effects        int
	unknown        int
	runs           int
	isolatedStarts int
}

// matrix collects the cells of all subtests.
type matrix struct {
	mu      sync.Mutex
	cells   map[string]cell
	reasons []reason
}

// reason says why some cells cannot occur.
type reason struct {
	Fault, Steps, Subject, Text string
}

func (m *matrix) put(name string, c cell) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cells[name] = c
}

// isImpossible reports whether the fault cannot occur at the step for a subject.
func (m *matrix) isImpossible(f faultmatrix.Fault, s faultmatrix.Step, k faultmatrix.RequestKind) bool {
	for _, r := range m.reasons {
		if r.Fault == f.String() && (r.Subject == "" || r.Subject == k.String()) && strings.Contains(r.Steps, s.String()) {
			return true
		}
	}
	return false
}

func readReasons(t *testing.T) []reason {
	var out []reason
	datadriven.RunTest(t, "testdata/cannot", func(t *testing.T, d *datadriven.TestData) string {
		var r reason
		d.ScanArgs(t, "fault", &r.Fault)
		d.MaybeScanArgs(t, "subject", &r.Subject)
		for _, a := range d.CmdArgs {
			if a.Key == "steps" {
				r.Steps = strings.Join(a.Vals, ", ")
			}
		}
		r.Text = d.Input
		out = append(out, r)
		return ""
	})
	return out
}

// name returns the name of a subtest as go test prints it, with underscores for spaces.
func name(s fmt.Stringer) string { return strings.ReplaceAll(s.String(), " ", "_") }

// TestMatrix guards against a property that is violated under one fault, or two at once, at a step of
// a request or of a configuration change.
func TestMatrix(t *testing.T) {
	m := &matrix{cells: make(map[string]cell), reasons: readReasons(t)}
	cells := 0
	t.Run("faults", func(t *testing.T) {
		for _, f := range faultmatrix.Faults() {
			t.Run(f.String(), func(t *testing.T) {
				t.Parallel()
				for _, s := range faultmatrix.Steps() {
					seed := 1000*uint64(f+1) + 10*uint64(s)
					t.Run(name(s), func(t *testing.T) { m.run(t, f.String()+"/"+s.String(), seed, s, subjects, f) })
				}
			})
			cells += len(faultmatrix.Steps())
		}
	})
	t.Run("pairs", func(t *testing.T) {
		for _, f := range faultmatrix.Faults() {
			t.Run(f.String(), func(t *testing.T) {
				t.Parallel()
				for _, g := range faultmatrix.Faults()[:f] {
					s := m.pairStep(f, g)
					seed := 100000 + 100*uint64(f) + uint64(g)
					k := subjects[int(f+g)%len(subjects)]
					t.Run(g.String(), func(t *testing.T) { m.run(t, f.String()+"+"+g.String(), seed, s, []faultmatrix.RequestKind{k}, f, g) })
				}
			})
			cells += int(f)
		}
	})
	if len(m.cells) == cells {
		m.check(t)
	}
}

// pairStep distributes the pairs over the steps. The other fault of a crashing request begins while
// the request runs.
func (m *matrix) pairStep(f, g faultmatrix.Fault) faultmatrix.Step {
	if f == faultmatrix.CrashingRequest {
		return faultmatrix.Running
	}
	steps := faultmatrix.Steps()
	return steps[(7*int(f)+3*int(g))%len(steps)]
}

// run runs one cell with each subject.
func (m *matrix) run(t *testing.T, key string, seed uint64, s faultmatrix.Step, kinds []faultmatrix.RequestKind, faults ...faultmatrix.Fault) {
	c := cell{Seed: seed}
	var texts []string
	for i, k := range kinds {
		if m.isImpossible(faults[0], s, k) {
			texts = append(texts, "–")
			continue
		}
		sim := faultmatrix.New(faultmatrix.Options{Seed: seed + uint64(i), RequestsPerSecond: backgroundRate, Subject: k, Step: s, Faults: faults})
		sim.Run(faultmatrix.RunDuration)
		for _, v := range sim.Violations() {
			if v.Property == faultmatrix.CrashLimit {
				continue // TestCrashLimit checks this property
			}
			t.Errorf("%v, seed %d: %v", k, seed+uint64(i), v)
		}
		if !sim.FaultsInjected() {
			t.Errorf("%v, seed %d: the faults were not injected; the subject request did not reach the step at which they begin", k, seed+uint64(i))
		}
		sum := sim.Summary()
		c.runs++
		c.isolatedStarts += sim.IsolatedStarts()
		c.effects += sum.Effects
		c.unknown += sum.UnknownEffects
		texts = append(texts, outcomeText(sim))
	}
	c.Text = strings.Join(texts, " ")
	m.put(key, c)
}

// outcomeText returns the letter of the last outcome and the number of sends.
func outcomeText(sim *faultmatrix.Simulation) string {
	o, _, sends := sim.Outcome()
	return fmt.Sprintf("%s%d", map[request.Outcome]string{
		request.Answered: "A", request.NotRun: "N", request.Failed: "F", request.Unknown: "U",
	}[o], sends)
}

// row is a row of a table of the document.
type row struct {
	Fault string
	Cells []string
	Share string
}

// check compares the document with the cells, or writes it if the flag update is set.
func (m *matrix) check(t *testing.T) {
	page, err := template.ParseFiles("testdata/fault-matrix.md.tmpl")
	qt.Assert(t, err, qt.IsNil)
	var b bytes.Buffer
	err = page.Execute(&b, map[string]any{
		"Steps": faultmatrix.Steps(), "Faults": faultmatrix.Faults(), "Rows": m.rows(), "Pairs": m.pairs(), "Reasons": m.reasons,
		"Runs": m.sum(func(c cell) int { return c.runs }), "Starts": m.sum(func(c cell) int { return c.isolatedStarts }),
	})
	qt.Assert(t, err, qt.IsNil)
	if *update {
		qt.Assert(t, os.WriteFile(documentPath, b.Bytes(), 0o644), qt.IsNil)
		return
	}
	have, err := os.ReadFile(documentPath)
	qt.Assert(t, err, qt.IsNil)
	if !bytes.Equal(have, b.Bytes()) {
		t.Errorf("docs/fault-matrix.md is out of date; run: go test ./faultmatrix -run TestMatrix -update")
	}
}

func (m *matrix) rows() []row {
	var rows []row
	for _, f := range faultmatrix.Faults() {
		r := row{Fault: f.String()}
		effects, unknown := 0, 0
		for _, s := range faultmatrix.Steps() {
			c := m.cells[f.String()+"/"+s.String()]
			effects += c.effects
			unknown += c.unknown
			r.Cells = append(r.Cells, fmt.Sprintf("%s (%d)", c.Text, c.Seed))
		}
		r.Share = fmt.Sprintf("%d of %d (%.2f%%)", unknown, effects, 100*float64(unknown)/float64(effects))
		rows = append(rows, r)
	}
	return rows
}

func (m *matrix) pairs() []row {
	var rows []row
	for _, f := range faultmatrix.Faults()[1:] {
		r := row{Fault: f.String()}
		for _, g := range faultmatrix.Faults()[:f] {
			c := m.cells[f.String()+"+"+g.String()]
			r.Cells = append(r.Cells, fmt.Sprintf("%s at %v (%d)", c.Text, m.pairStep(f, g), c.Seed))
		}
		for len(r.Cells) < len(faultmatrix.Faults())-1 {
			r.Cells = append(r.Cells, "")
		}
		rows = append(rows, r)
	}
	return rows
}

func (m *matrix) sum(of func(cell) int) int {
	n := 0
	for _, c := range m.cells {
		n += of(c)
	}
	return n
}
