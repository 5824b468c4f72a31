package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/datadriven"
	qt "github.com/frankban/quicktest"
)

// TestCheckPositionsAndExitStatus guards against a problem with a wrong line or column, and against a wrong exit status.
func TestCheckPositionsAndExitStatus(t *testing.T) {
	datadriven.Walk(t, "testdata/check", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var out bytes.Buffer
			p := &printer{out: &out, err: &out, json: d.HasArg("json")}
			err := checkFile(p, d.Cmd, "file.json", []byte(d.Input))
			status := exitSuccess
			if err != nil {
				p.error(err)
				status = exitStatus(err)
			}
			return out.String() + "exit status " + string(rune('0'+status))
		})
	})
}

// TestCommittedDocumentsAreValid guards against invalid documents in the deployments folder, which a node would refuse.
func TestCommittedDocumentsAreValid(t *testing.T) {
	for _, kind := range []string{"template", "customer", "deployment"} {
		files, err := filepath.Glob("../../deployments/*/" + kind + ".json")
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, len(files), qt.Equals, 3)
		for _, file := range files {
			data, err := os.ReadFile(file)
			qt.Assert(t, err, qt.IsNil)
			var out bytes.Buffer
			qt.Check(t, checkFile(&printer{out: &out}, kind, file, data), qt.IsNil)
		}
	}
}
