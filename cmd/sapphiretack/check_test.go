package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/datadriven"
	qt "github.com/frankban/quicktest"
)

// Guards against a problem without its place in the file, and against a wrong exit status.
func TestCheck(t *testing.T) {
	datadriven.Walk(t, "testdata/check", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var out bytes.Buffer
			p := &printer{out: &out, err: &out, json: d.HasArg("json")}
			err := check(p, d.Cmd, "file.json", []byte(d.Input))
			status := exitSuccess
			if err != nil {
				p.error(err)
				status = exitStatus(err)
			}
			return out.String() + "exit status " + string(rune('0'+status))
		})
	})
}

// Guards against committed templates and customers that a node would refuse.
func TestDeploymentDocuments(t *testing.T) {
	for _, kind := range []string{"template", "customer", "deployment"} {
		files, err := filepath.Glob("../../deployments/*/" + kind + ".json")
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, len(files), qt.Equals, 3)
		for _, file := range files {
			data, err := os.ReadFile(file)
			qt.Assert(t, err, qt.IsNil)
			var out bytes.Buffer
			qt.Check(t, check(&printer{out: &out}, kind, file, data), qt.IsNil)
		}
	}
}
