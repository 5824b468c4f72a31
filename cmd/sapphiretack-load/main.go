package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/integrii/flaggy"
	"github.com/zeebo/errs"

	"github.com/sapphiretack/sapphiretack/load"
	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/settings"
	"github.com/sapphiretack/sapphiretack/standin"
)

const (
	exitFailure   = 1
	exitViolation = 3
)

// violation is the class of errors for a violated guarantee: an effect that ran twice, or a wrong response.
var violation = errs.Class("violation")

// sendFlags are the flags of the command send.
type sendFlags struct {
	deployment string
	mix        string
	customer   string
	callers    int
	rate       int
	sends      int
	seed       uint64
	duration   time.Duration
}

func main() {
	parser := flaggy.NewParser("sapphiretack-load")
	parser.Description = "sends load to a deployment and checks the outcomes"
	parser.Version = "development"
	f := sendFlags{callers: 30, rate: 100, sends: 4, seed: 1, duration: 5 * time.Second}
	send := sendCommand(&f)
	var files []string
	twice := filesCommand(&files, "twice", "count effects that ran more than once, from the execution logs of stand-in backend servers")
	trace := filesCommand(&files, "trace", "print the trace with the most spans, from span files, as text")
	counters := flaggy.NewSubcommand("counters")
	counters.Description = "print the total attempts and retries of the nodes of a deployment"
	counters.String(&f.deployment, "d", "deployment", "deployment file (required)")
	for _, sub := range []*flaggy.Subcommand{send, twice, trace, counters} {
		parser.AttachSubcommand(sub, 1)
	}
	if err := parser.Parse(); err != nil {
		fmt.Fprintln(os.Stderr, "sapphiretack-load:", err)
		os.Exit(exitFailure)
	}
	files = append(files, parser.TrailingArguments...)
	switch {
	case send.Used:
		exit(f.send())
	case twice.Used:
		exit(countRepeatedEffects(files))
	case counters.Used:
		exit(printCounters(f.deployment))
	case trace.Used:
		exit(printTrace(files))
	}
	parser.ShowHelpAndExit("name a command")
}

func exit(err error) {
	if err == nil {
		os.Exit(0)
	}
	fmt.Fprintln(os.Stderr, "sapphiretack-load:", err)
	if violation.Has(err) {
		os.Exit(exitViolation)
	}
	os.Exit(exitFailure)
}

func sendCommand(f *sendFlags) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand("send")
	sub.Description = "send a mix of requests and print their outcomes"
	sub.String(&f.deployment, "d", "deployment", "deployment file (required)")
	sub.String(&f.mix, "m", "mix", "file with the mix of requests (required)")
	sub.String(&f.customer, "c", "customer", "customer of the requests (required)")
	sub.Int(&f.callers, "n", "callers", "number of callers, each with its own connection and session")
	sub.Int(&f.rate, "r", "rate", "requests per second of all callers together")
	sub.Int(&f.sends, "s", "sends", "maximum number of sends of a request, including resends")
	sub.UInt64(&f.seed, "", "seed", "seed of the run; executions of runs with different seeds are distinguishable")
	sub.Duration(&f.duration, "t", "duration", "time during which requests are started")
	return sub
}

func filesCommand(files *[]string, name, description string) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	sub.StringSlice(files, "f", "file", "file to read; can be repeated, and files can follow --")
	return sub
}

func (f *sendFlags) send() error {
	deployment, err := settings.ReadDeploymentFile(f.deployment)
	if err != nil {
		return err
	}
	mix, err := load.ReadMix(f.mix)
	if err != nil {
		return err
	}
	if f.rate < 1 || f.callers < 1 {
		return errors.New("rate and callers must be above 0")
	}
	var targets []string
	for _, m := range deployment.Instances {
		s, err := deployment.Settings(m.Name)
		if err != nil {
			return err
		}
		targets = append(targets, s.Listeners.Caller.String())
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	report, err := load.Run(ctx, load.Settings{
		Targets: targets, Customer: request.CustomerID(f.customer), Mix: mix, Callers: f.callers,
		Interval: time.Duration(f.callers) * time.Second / time.Duration(f.rate),
		Duration: f.duration, MaxSends: f.sends, Seed: f.seed,
	})
	if err != nil {
		return err
	}
	if err := report.Write(os.Stdout); err != nil {
		return err
	}
	return checkReport(report)
}

func checkReport(report *load.Report) error {
	for name, class := range report.Classes {
		if class.Wrong > 0 {
			return violation.New("%d responses to %s requests were wrong", class.Wrong, name)
		}
	}
	return nil
}

func countRepeatedEffects(files []string) error {
	var executions []standin.Execution
	for _, file := range files {
		read, err := standin.ReadExecutions(file)
		if err != nil {
			return err
		}
		executions = append(executions, read...)
	}
	effects := 0
	for _, e := range executions {
		if e.Effect != "" {
			effects++
		}
	}
	repeated := standin.RepeatedEffects(executions)
	fmt.Printf("%d executions in %d logs, %d of them effects; effects run twice: %d\n", len(executions), len(files), effects, len(repeated))
	if len(repeated) > 0 {
		return violation.New("%d effects ran twice, the first of them %+v", len(repeated), repeated[0])
	}
	return nil
}
