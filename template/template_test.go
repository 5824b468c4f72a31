package template_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	qt "github.com/frankban/quicktest"

	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/template"
)

// TestDocumentValidation guards against an invalid document that is accepted, validation that stops at the first problem, and a
// policy with a value outside the range of the template.
func TestDocumentValidation(t *testing.T) {
	var tmpl *template.Template
	var customer template.Customer
	datadriven.RunTest(t, "testdata/documents", func(t *testing.T, d *datadriven.TestData) string {
		var err error
		switch d.Cmd {
		case "template":
			var parsed *template.Template
			if parsed, err = template.ParseTemplate([]byte(d.Input)); err == nil {
				tmpl = parsed
			}
		case "customer":
			if customer, err = template.ParseCustomer([]byte(d.Input)); err == nil {
				err = tmpl.Validate(&customer)
			}
		case "policy":
			var service, op string
			d.ScanArgs(t, "service", &service)
			d.ScanArgs(t, "operation", &op)
			p, ok := tmpl.Policy(&customer, request.ServiceID(service), request.Operation(op))
			if !ok {
				return "not listed"
			}
			return fmt.Sprintf("class=%v idempotent=%t timeout=%v extra=%d rate=%d", p.Class, p.Idempotent, p.Timeout, p.ExtraAttempts, p.RatePerSecond)
		default:
			t.Fatalf("unknown command %q", d.Cmd)
		}
		if err != nil {
			return err.Error()
		}
		return "ok"
	})
}

// TestParserLimits guards against unbounded memory or time in the parser, by documents that are nested too deeply or too large.
func TestParserLimits(t *testing.T) {
	for _, document := range []string{
		strings.Repeat("[", 100_000),
		`{"operations": ` + strings.Repeat("[", 20) + strings.Repeat("]", 20) + "}",
		strings.Repeat(" ", template.MaxDocumentBytes+1),
	} {
		_, err := template.ParseTemplate([]byte(document))
		qt.Check(t, err, qt.ErrorAs, new(*template.ValidationError))
	}
}

func addSeeds(f *testing.F, pattern string) {
	files, err := filepath.Glob(pattern)
	qt.Assert(f, err, qt.IsNil)
	qt.Assert(f, files, qt.Not(qt.HasLen), 0)
	for _, file := range files {
		data, err := os.ReadFile(file)
		qt.Assert(f, err, qt.IsNil)
		f.Add(data)
	}
}

// FuzzTemplate guards against a template document that makes the parser panic or is accepted with values out of range.
func FuzzTemplate(f *testing.F) {
	addSeeds(f, "testdata/seed/template-*.json")
	f.Fuzz(func(t *testing.T, document []byte) {
		tmpl, err := template.ParseTemplate(document)
		if err != nil {
			qt.Assert(t, err, qt.ErrorAs, new(*template.ValidationError))
			return
		}
		for _, o := range tmpl.Operations {
			p, ok := tmpl.Policy(&template.Customer{}, o.Service, o.Name)
			qt.Assert(t, ok, qt.IsTrue)
			qt.Assert(t, p.Timeout > 0 && p.Timeout <= template.MaxTimeout, qt.IsTrue)
			qt.Assert(t, p.ExtraAttempts <= template.MaxExtraAttempts, qt.IsTrue)
			qt.Assert(t, p.RatePerSecond >= 1 && p.RatePerSecond <= template.MaxRatePerSecond, qt.IsTrue)
			qt.Assert(t, p.Class <= request.Bulk, qt.IsTrue)
		}
	})
}

// FuzzCustomer guards against a customer document that makes the parser panic or is accepted with an invalid template name.
func FuzzCustomer(f *testing.F) {
	addSeeds(f, "testdata/seed/customer-*.json")
	f.Fuzz(func(t *testing.T, document []byte) {
		c, err := template.ParseCustomer(document)
		if err != nil {
			qt.Assert(t, err, qt.ErrorAs, new(*template.ValidationError))
			return
		}
		qt.Assert(t, template.CheckName(c.Template), qt.IsNil)
	})
}
