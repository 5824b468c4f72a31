// Command review-lab runs one case of the review: it starts nodes as separate processes and plays their clients, backend
// servers and platform. It exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// cases are the cases by name; each returns whether the rule was broken.
var cases = map[string]func(*lab) (isBroken bool, err error){}

func main() {
	name := flag.String("case", "", "case to run")
	dir := flag.String("dir", ".", "folder for record.txt")
	flag.Parse()
	os.Exit(run(*name, *dir))
}

func run(name, dir string) int {
	play := cases[name]
	if play == nil {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", name)
		return 2
	}
	l, err := newLab(dir, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot set up:", err)
		return 2
	}
	defer l.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		l.close()
		os.Exit(2)
	}()
	l.note("case %s, trouble %v", name, l.trouble)
	isBroken, err := play(l)
	switch {
	case err != nil:
		l.note("could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case isBroken:
		l.note("RULE BROKEN")
		fmt.Println("rule broken")
		return 1
	}
	l.note("rule held")
	fmt.Println("rule held")
	return 0
}

// lab is the stage of one case.
type lab struct {
	trouble bool
	start   time.Time
	temp    string // folder for settings and logs of the nodes
	host    string // first three bytes of the loopback addresses of the machines
	ports   ports
	store   *platformStore

	mu     sync.Mutex
	record *os.File
	nodes  []*node
	closed bool
}

func newLab(dir string, trouble bool) (*lab, error) {
	record, err := os.Create(dir + "/record.txt")
	if err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "review-lab-")
	if err != nil {
		return nil, err
	}
	l := &lab{trouble: trouble, start: time.Now(), temp: temp, record: record}
	if err := l.choosePorts(); err != nil {
		return nil, err
	}
	l.store, err = newPlatformStore(l.address(1, l.ports.store))
	return l, err
}

// note writes a line with the time since the start to the record.
func (l *lab) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%9.3f %s\n", time.Since(l.start).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes that the case started.
func (l *lab) close() {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return
	}
	l.closed = true
	nodes := l.nodes
	l.mu.Unlock()
	for _, n := range nodes {
		n.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.temp)
	} else {
		fmt.Println("logs in", l.temp)
	}
}
