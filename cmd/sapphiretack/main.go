package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/integrii/flaggy"
	"github.com/zeebo/errs"

	"github.com/sapphiretack/sapphiretack/operator"
	"github.com/sapphiretack/sapphiretack/settings"
)

// The exit statuses, which doc.go and exitHelp describe.
const (
	exitSuccess = iota
	exitFailure
	exitUsage
	exitProblems
	exitConflict
	exitRefused
	exitIndeterminate
)

const exitHelp = `
Exit status: 0 success; 1 the node ended with an error, or a file cannot be read;
2 invalid command line; 3 a file is invalid; 4 conflict, nothing was changed;
5 refused or no node responds, nothing was changed; 6 the change may have been applied.
`

// command is a subcommand without further subcommands.
type command struct {
	sub *flaggy.Subcommand
	run func(ctx context.Context, p *printer) error
}

func main() {
	parser := flaggy.NewParser("sapphiretack")
	parser.Description = "overload control for service call graphs"
	parser.Version = "development"
	parser.AdditionalHelpAppend = exitHelp
	var output outputFlags
	commands := []command{nodeCommand(parser, &output), meshCommand(parser, &output), checkCommand(parser, &output)}
	commands = append(commands, configurationCommands(parser, &output)...)
	commands = append(commands, statusCommand(parser, &output), explainCommand(parser, &output), storyCommand(parser, &output))
	if err := parser.Parse(); err != nil {
		fmt.Fprintln(os.Stderr, "sapphiretack:", err)
		os.Exit(exitUsage)
	}
	for _, c := range commands {
		if c.sub.Used {
			os.Exit(execute(c, &printer{out: os.Stdout, err: os.Stderr, json: output.json}))
		}
	}
	parser.ShowHelpAndExit("name a command")
}

// execute runs a command and returns the exit status. SIGINT or SIGTERM cancels the command; a second signal ends the process.
func execute(c command, p *printer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	context.AfterFunc(ctx, stop)
	err := c.run(ctx, p)
	if err == nil {
		return exitSuccess
	}
	p.error(err)
	return exitStatus(err)
}

// usageError is the class of errors in the arguments and flags.
var usageError = errs.Class("usage")

func exitStatus(err error) int {
	if usageError.Has(err) {
		return exitUsage
	}
	var problems settings.ValidationError
	if errors.As(err, &problems) {
		return exitProblems
	}
	var e *operator.Error
	if !errors.As(err, &e) {
		return exitFailure
	}
	switch e.Kind {
	case operator.Invalid:
		return exitProblems
	case operator.Conflict:
		return exitConflict
	case operator.Indeterminate, operator.Internal:
		return exitIndeterminate
	}
	return exitRefused
}

// outputFlags are the flags common to all commands.
type outputFlags struct{ json bool }

// newCommand adds a subcommand with examples to a parent.
func newCommand(parent *flaggy.Subcommand, output *outputFlags, name, description string, examples ...string) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	sub.AdditionalHelpAppend = "\nExamples:\n  " + strings.Join(examples, "\n  ") + "\n" + exitHelp
	sub.Bool(&output.json, "j", "json", "print JSON")
	parent.AttachSubcommand(sub, 1)
	return sub
}
