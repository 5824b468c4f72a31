package main

import (
	"context"
	"strconv"

	"github.com/integrii/flaggy"

	"github.com/sapphiretack/sapphiretack/operator"
	"github.com/sapphiretack/sapphiretack/request"
)

func statusCommand(parser *flaggy.Parser, output *outputFlags) command {
	var f clientFlags
	sub := newCommand(&parser.Subcommand, output, "status", "show the state of a node and its view of the other instances",
		"sapphiretack status",
		"sapphiretack status --operator 10.20.1.11:7402 --operator 10.20.2.11:7402 --json",
		"sapphiretack status --operator 10.20.1.11:7402 --authorities ca.pem --certificate operator.pem --key operator.key")
	f.addTo(sub)
	return command{sub: sub, run: func(ctx context.Context, p *printer) error {
		client, err := f.client()
		if err != nil {
			return err
		}
		status, err := client.Status(ctx)
		if err != nil {
			return err
		}
		p.status(status)
		return nil
	}}
}

func explainCommand(parser *flaggy.Parser, output *outputFlags) command {
	var f clientFlags
	var service, customer, operation, fingerprint string
	sub := newCommand(&parser.Subcommand, output, "explain", "explain why requests are currently admitted or refused",
		"sapphiretack explain --service archives",
		"sapphiretack explain --service racedesk --operation record-arrival --customer sofia-club",
		"sapphiretack explain --service racedesk --fingerprint 9f2c01d4a1b2c3d4")
	f.addTo(sub)
	sub.String(&service, "s", "service", "called service (required)")
	sub.String(&customer, "c", "customer", "calling customer")
	sub.String(&operation, "p", "operation", "called operation")
	sub.String(&fingerprint, "f", "fingerprint", "fingerprint of the request, in hexadecimal")
	return command{sub: sub, run: func(ctx context.Context, p *printer) error {
		q := operator.ExplainQuery{Service: request.ServiceID(service), Customer: request.CustomerID(customer), Operation: request.Operation(operation)}
		if fingerprint != "" {
			n, err := strconv.ParseUint(fingerprint, 16, 64)
			if err != nil {
				return usageError.New("the fingerprint %q is not a 64-bit hexadecimal number; give up to 16 hexadecimal digits", fingerprint)
			}
			q.Fingerprint = request.Fingerprint(n)
		}
		client, err := f.client()
		if err != nil {
			return err
		}
		explanation, err := client.Explain(ctx, q)
		if err != nil {
			return err
		}
		p.explanation(explanation)
		return nil
	}}
}
