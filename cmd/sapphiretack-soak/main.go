package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/integrii/flaggy"
	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"github.com/sapphiretack/sapphiretack/soak"
)

type options struct {
	program, journal string
	seed             uint64
	count, parallel  int
	length           time.Duration
}

// errViolation is the error of a run that found violations.
var errViolation = errors.New("a guarantee was violated")

func main() {
	o := options{program: "target/sapphiretack", seed: 1, count: 1, parallel: 1, length: 10 * time.Second}
	flaggy.SetName("sapphiretack-soak")
	flaggy.SetDescription("runs nodes as processes, injects faults and checks the guarantees of the nodes. Example: sapphiretack-soak --seed 7")
	flaggy.String(&o.program, "", "program", "Path of the sapphiretack binary")
	flaggy.UInt64(&o.seed, "", "seed", "First seed")
	flaggy.Int(&o.count, "", "count", "Number of seeds")
	flaggy.Int(&o.parallel, "", "parallel", "Maximum number of concurrent runs")
	flaggy.Duration(&o.length, "", "length", "Time for which clients send requests in each run")
	flaggy.String(&o.journal, "", "journal", "File to which a line of JSON is appended for each seed")
	flaggy.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, o); err != nil {
		fmt.Fprintln(os.Stderr, "sapphiretack-soak:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, o options) error {
	var mu sync.Mutex
	failedRuns := 0
	var group errgroup.Group
	group.SetLimit(max(1, o.parallel))
	for i := range o.count {
		group.Go(func() error {
			if ctx.Err() != nil {
				return nil
			}
			result, err := soak.Run(ctx, soak.Settings{Program: o.program, Seed: o.seed + uint64(i), Duration: o.length})
			mu.Lock()
			defer mu.Unlock()
			if len(result.Violations) > 0 {
				failedRuns++
			}
			printResult(result)
			return errors.Join(err, appendResult(o.journal, result))
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	if failedRuns > 0 {
		return fmt.Errorf("%w in %d of %d runs", errViolation, failedRuns, o.count)
	}
	return nil
}

func printResult(r soak.Result) {
	fmt.Printf("seed %d: %d sent, %d served, %d refused, %d violations\n", r.Seed, r.Sent, r.Served, r.Refused, len(r.Violations))
	for _, v := range r.Violations {
		fmt.Println("  ", v)
	}
	if r.Directory != "" {
		fmt.Println("   logs:", r.Directory)
	}
}

// appendResult appends a result to the journal, if there is one.
func appendResult(path string, r soak.Result) error {
	if path == "" {
		return nil
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return errs.Wrap(err)
	}
	return errs.Wrap(errors.Join(json.NewEncoder(f).Encode(r), f.Close()))
}
