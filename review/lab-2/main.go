// Command lab-2 plays the script cases of the second review: it starts nodes as separate processes on loopback addresses, with stand-ins
// for the store, the upstreams and the clients, and checks one rule from what these see.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"
)

// verdict is the outcome of a case: what broke the rule, or nothing.
type verdict []string

// cases are the scripts by the number of their folder.
var cases = map[string]func(context.Context, *lab) (verdict, error){
	"6":  foreignReport,
	"7":  reportBeforeConfig,
	"8":  lateReport,
	"9":  forgottenDeparture,
	"10": leftInQueue,
	// Not a case of its own, see REPORT-2.md.
	"pipeline": leftPipeline,
}

const (
	exitHeld, exitBroken, exitCannotRun = 0, 1, 2
)

func main() {
	os.Exit(play())
}

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab-2 CASE RECORD")
		return exitCannotRun
	}
	l, err := newLab(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer l.end()
	watchdog := time.AfterFunc(maxRunTime, func() {
		fmt.Fprintln(os.Stderr, "the case took too long")
		for _, m := range l.machines {
			if m.process != nil {
				_ = m.process.Process.Kill()
			}
		}
		os.Exit(exitCannotRun)
	})
	defer watchdog.Stop()
	broken, err := cases[os.Args[1]](context.Background(), l)
	if err != nil {
		l.note("cannot run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		if errors.Is(err, errCannotRun) {
			return exitCannotRun
		}
		return exitBroken
	}
	for _, b := range broken {
		l.note("broken: %s", b)
		fmt.Println(b)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	l.note("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
