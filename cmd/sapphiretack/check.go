package main

import (
	"context"
	"errors"
	"os"

	"github.com/integrii/flaggy"
	"github.com/tailscale/hujson"

	"github.com/sapphiretack/sapphiretack/settings"
	"github.com/sapphiretack/sapphiretack/template"
)

func checkCommand(parser *flaggy.Parser, output *outputFlags) command {
	var kind, path string
	sub := newCommand(&parser.Subcommand, output, "check", "validate a file and print each problem",
		"sapphiretack check settings /etc/sapphiretack/node.json",
		"sapphiretack check deployment deployments/golubarnik/deployment.json",
		"sapphiretack check template deployments/golubarnik/template.json",
		"sapphiretack check customer deployments/golubarnik/customer.json")
	sub.AddPositionalValue(&kind, "kind", 1, true, "settings, deployment, template or customer")
	sub.AddPositionalValue(&path, "file", 2, true, "the file")
	return command{sub: sub, run: func(_ context.Context, p *printer) error {
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		return checkFile(p, kind, path, data)
	}}
}

func checkFile(p *printer, kind, path string, data []byte) error {
	switch kind {
	case "settings":
		s, err := settings.Read(path, data)
		if err != nil {
			return err
		}
		p.instances([]instanceAddresses{newInstanceAddresses(s)})
	case "deployment":
		return checkDeployment(p, path, data)
	case "template", "customer":
		if _, err := readDocument(kind, path, data); err != nil {
			return err
		}
		p.valid(path, kind)
	default:
		return usageError.New("the kind %q is unknown; use settings, deployment, template or customer", kind)
	}
	return nil
}

func checkDeployment(p *printer, path string, data []byte) error {
	d, err := settings.ReadDeployment(path, data)
	if err != nil {
		return err
	}
	lines := make([]instanceAddresses, len(d.Instances))
	for i, m := range d.Instances {
		s, err := d.Settings(m.Name)
		if err != nil {
			return err
		}
		lines[i] = newInstanceAddresses(s)
	}
	p.instances(lines)
	return nil
}

// readDocument validates a template or customer document, which may have comments, and returns it as plain JSON.
// The error for an invalid document is settings.ValidationError.
func readDocument(kind, path string, data []byte) ([]byte, error) {
	// Standardize overwrites comments with spaces, so that lines and columns stay the same.
	plain, err := hujson.Standardize(append([]byte(nil), data...))
	if err != nil {
		line, column := settings.Position(data, "")
		return nil, settings.ValidationError{{File: path, Line: line, Column: column, Found: err.Error(), Remedy: "write JSON; comments and trailing commas are allowed"}}
	}
	if kind == "template" {
		_, err = template.ParseTemplate(plain)
	} else {
		_, err = template.ParseCustomer(plain)
	}
	var invalid *template.ValidationError
	if !errors.As(err, &invalid) {
		return plain, err
	}
	problems := make(settings.ValidationError, len(invalid.Problems))
	for i, problem := range invalid.Problems {
		line, column := settings.Position(data, problem.Field)
		problems[i] = settings.Problem{File: path, Line: line, Column: column, Field: problem.Field, Found: problem.Message, Remedy: problem.Remedy}
	}
	return nil, problems
}
