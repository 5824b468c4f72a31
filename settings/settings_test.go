package settings_test

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	qt "github.com/frankban/quicktest"

	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/settings"
)

// TestRead guards against an invalid file that is accepted, and against messages without a position or remedy.
func TestRead(t *testing.T) {
	datadriven.Walk(t, "testdata/read", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "settings":
				return formatSettings(settings.Read("node.json", []byte(d.Input)))
			case "place":
				var field string
				d.ScanArgs(t, "field", &field)
				line, column := settings.Position([]byte(d.Input), field)
				return fmt.Sprintf("%d:%d", line, column)
			case "deployment":
				var name string
				d.ScanArgs(t, "instance", &name)
				deployment, err := settings.ReadDeployment("deployment.json", []byte(d.Input))
				if err != nil {
					return err.Error()
				}
				return formatSettings(deployment.Settings(request.InstanceID(name)))
			}
			d.Fatalf(t, "unknown command %q", d.Cmd)
			return ""
		})
	})
}

func formatSettings(s settings.Settings, err error) string {
	if err != nil {
		return err.Error()
	}
	lines := []string{
		fmt.Sprintf("instance: %+v", s.Instance),
		fmt.Sprintf("listeners: %+v", s.Listeners),
		fmt.Sprintf("backend: %+v", s.Backend),
		fmt.Sprintf("platform: %+v", s.Platform),
		fmt.Sprintf("seeds: %v", s.Seeds),
		fmt.Sprintf("limits: %+v", s.Limits),
		fmt.Sprintf("log: %+v", s.Log),
		fmt.Sprintf("trace: %+v", s.Trace),
		fmt.Sprintf("timeouts: %+v", s.Timeouts),
		fmt.Sprintf("stop: %v", s.StopTime),
	}
	if s.TLS != (settings.TLS{}) {
		lines = append(lines, fmt.Sprintf("tls: %+v", s.TLS))
	}
	return strings.Join(lines, "\n")
}

// TestDeployments guards against committed deployments that are invalid or whose sizes differ from docs/design.md,
// section 1.
func TestDeployments(t *testing.T) {
	type size [3]int // instances, slots, connections
	for _, test := range []struct {
		name  string
		sizes map[string]size
	}{
		{"golubarnik", map[string]size{"registry": {3, 110, 750}, "transfers": {3, 110, 750}, "archives": {3, 110, 750}, "racedesk": {3, 30, 290}}},
		{"agenzia", map[string]size{"vetrina": {3, 230, 1450}, "ordini": {3, 230, 1450}, "archivio": {3, 230, 1450}, "autorizza": {3, 25, 250}}},
		{"golubarnik-small", map[string]size{"registry": {3, 4, 200}, "transfers": {3, 6, 200}, "archives": {3, 20, 200}, "racedesk": {3, 6, 100}}},
	} {
		d, err := settings.ReadDeploymentFile(filepath.Join("..", "deployments", test.name, "deployment.json"))
		qt.Assert(t, err, qt.IsNil)
		got := map[string]size{}
		for _, m := range d.Instances {
			s, err := d.Settings(m.Name)
			qt.Assert(t, err, qt.IsNil)
			service := string(s.Instance.Service)
			got[service] = size{got[service][0] + 1, s.Backend.Slots, s.Backend.Connections}
		}
		qt.Check(t, got, qt.DeepEquals, test.sizes)
		qt.Check(t, len(d.Zones), qt.Equals, 3)
	}
}

// FuzzRead guards against a panic on malformed input, and against problems without a position inside the file, a
// finding or a remedy.
func FuzzRead(f *testing.F) {
	f.Add([]byte(`{"instance": {"name": "a"}, "seeds": ["1.2.3.4:5"], "stop_ms": 1e3} // comment`))
	f.Add([]byte(`{"services": [{"name": "a", "slots": 1, "connections": 1}], "instances": [{"address": "::1"}], "zones": ["a"]}`))
	f.Add([]byte("{\"a\": \xff}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := settings.Read("f", data)
		checkProblems(t, err, data)
		_, err = settings.ReadDeployment("f", data)
		checkProblems(t, err, data)
	})
}

func checkProblems(t *testing.T, err error, data []byte) {
	problems, _ := err.(settings.ValidationError)
	for _, p := range problems {
		lines := strings.Split(string(data), "\n")
		inside := p.Line >= 1 && p.Line <= len(lines) && p.Column >= 1 && p.Column <= len(lines[p.Line-1])+1
		if !inside || p.Found == "" || p.Remedy == "" {
			t.Fatalf("problem without a position in the file, finding or remedy: %+v", p)
		}
	}
}
