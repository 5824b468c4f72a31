package main

import (
	"context"
	"net/http"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"github.com/sapphiretack/sapphiretack/credential"
	"github.com/sapphiretack/sapphiretack/exchange"
	"github.com/sapphiretack/sapphiretack/operator"
)

const (
	defaultOperatorAddress = "127.0.0.1:7402"

	// responseTimeout exceeds the time of a transaction with one retry on a slow platform.
	responseTimeout = 5 * time.Second
)

// clientFlags hold the addresses of operator listeners and the TLS files of the client.
type clientFlags struct {
	operators []string
	tls       credential.Files
}

func (f *clientFlags) addTo(sub *flaggy.Subcommand) {
	sub.StringSlice(&f.operators, "o", "operator", "operator listener of any node; can be repeated (default "+defaultOperatorAddress+")")
	sub.String(&f.tls.Authorities, "a", "authorities", "PEM file with the certificate authorities of operator listeners that use TLS")
	sub.String(&f.tls.Certificate, "", "certificate", "PEM file with a client certificate, for listeners that require one")
	sub.String(&f.tls.Key, "", "key", "PEM file with the key of the client certificate")
}

func (f *clientFlags) client() (*operator.Client, error) {
	addresses := f.operators
	if len(addresses) == 0 {
		addresses = []string{defaultOperatorAddress}
	}
	if f.tls == (credential.Files{}) {
		return operator.NewClient(addresses, newHTTPClient(&http.Transport{Proxy: http.ProxyFromEnvironment})), nil
	}
	if f.tls.Authorities == "" {
		return nil, usageError.New("the certificate authorities are missing; give --authorities with --certificate and --key")
	}
	c, err := credential.New(f.tls, credential.Client, credential.Dependencies{})
	if err != nil {
		return nil, err
	}
	return operator.NewTLSClient(addresses, newHTTPClient(&http.Transport{TLSClientConfig: c.ClientConfig()})), nil
}

func newHTTPClient(t *http.Transport) *http.Client {
	return &http.Client{Timeout: responseTimeout, Transport: exchange.New(t)}
}

// changeFlags hold the arguments of a command that changes or shows an object.
type changeFlags struct {
	clientFlags
	name     string
	path     string
	revision uint64
	change   string
}

func configurationCommands(parser *flaggy.Parser, output *outputFlags) []command {
	template := flaggy.NewSubcommand("template")
	template.Description = "publish, change, withdraw or show a template"
	customer := flaggy.NewSubcommand("customer")
	customer.Description = "set, withdraw or show a customer"
	parser.AttachSubcommand(template, 1)
	parser.AttachSubcommand(customer, 1)

	publish := newCommand(template, output, "publish", "publish a new template",
		"sapphiretack template publish golubarnik deployments/golubarnik/template.json")
	change := newCommand(template, output, "change", "change a template",
		"sapphiretack template change golubarnik template.json --revision 3")
	withdraw := newCommand(template, output, "withdraw", "withdraw a template",
		"sapphiretack template withdraw golubarnik --revision 3")
	show := newCommand(template, output, "show", "show the current template",
		"sapphiretack template show golubarnik")
	set := newCommand(customer, output, "set", "set the parameters of a customer",
		"sapphiretack customer set sofia-club customer.json",
		"sapphiretack customer set sofia-club customer.json --revision 5")
	withdrawCustomer := newCommand(customer, output, "withdraw", "withdraw a customer; its requests are refused",
		"sapphiretack customer withdraw sofia-club --revision 5")
	showCustomer := newCommand(customer, output, "show", "show the current parameters of a customer",
		"sapphiretack customer show sofia-club")
	return []command{
		commitCommand(publish, operator.KindTemplate, documentOnly),
		commitCommand(change, operator.KindTemplate, documentAndRevision),
		commitCommand(withdraw, operator.KindTemplate, revisionOnly),
		showCommand(show, operator.KindTemplate),
		commitCommand(set, operator.KindCustomer, documentAndOptionalRevision),
		commitCommand(withdrawCustomer, operator.KindCustomer, revisionOnly),
		showCommand(showCustomer, operator.KindCustomer),
	}
}

// changeArguments says which arguments a change has in addition to the name.
type changeArguments struct {
	document         bool
	revisionFlag     bool // the flag --revision exists
	revisionRequired bool // the revision must not be 0
}

var (
	documentOnly                = changeArguments{document: true}
	documentAndRevision         = changeArguments{document: true, revisionFlag: true, revisionRequired: true}
	revisionOnly                = changeArguments{revisionFlag: true, revisionRequired: true}
	documentAndOptionalRevision = changeArguments{document: true, revisionFlag: true}
)

func commitCommand(sub *flaggy.Subcommand, kind operator.Kind, args changeArguments) command {
	var f changeFlags
	f.addTo(sub)
	sub.AddPositionalValue(&f.name, "name", 1, true, "name of the object")
	if args.document {
		sub.AddPositionalValue(&f.path, "file", 2, true, "JSON document; comments are allowed")
	}
	if args.revisionFlag {
		sub.UInt64(&f.revision, "r", "revision", "current revision, as printed by show; 0 for a new object")
	}
	sub.String(&f.change, "c", "change", "identifier of an earlier change, to resend it after its response was lost")
	return command{sub: sub, run: func(ctx context.Context, p *printer) error {
		return f.commit(ctx, p, kind, args)
	}}
}

func (f *changeFlags) commit(ctx context.Context, p *printer, kind operator.Kind, args changeArguments) error {
	c := operator.Change{ID: operator.ChangeID(f.change), Kind: kind, Name: f.name, Revision: f.revision, Withdrawn: !args.document}
	if f.change == "" {
		c.ID = operator.NewChangeID()
	}
	if !c.ID.Valid() {
		return usageError.New("the change identifier %q is malformed; give the 32 hexadecimal digits that the earlier command printed", f.change)
	}
	if args.revisionRequired && f.revision == 0 {
		return usageError.New("the revision is missing; show the object and give its revision with --revision")
	}
	if args.document {
		data, err := os.ReadFile(f.path)
		if err != nil {
			return err
		}
		if c.Document, err = readDocument(documentKind(kind), f.path, data); err != nil {
			return err
		}
	}
	client, err := f.client()
	if err != nil {
		return err
	}
	object, err := client.Commit(ctx, c)
	if err != nil {
		return err
	}
	p.object(object, c.ID)
	return nil
}

func documentKind(kind operator.Kind) string {
	if kind == operator.KindTemplate {
		return "template"
	}
	return "customer"
}

func showCommand(sub *flaggy.Subcommand, kind operator.Kind) command {
	var f changeFlags
	f.addTo(sub)
	sub.AddPositionalValue(&f.name, "name", 1, true, "name of the object")
	return command{sub: sub, run: func(ctx context.Context, p *printer) error {
		client, err := f.client()
		if err != nil {
			return err
		}
		object, err := client.Show(ctx, kind, f.name)
		if err != nil {
			return err
		}
		p.object(object, "")
		return nil
	}}
}
