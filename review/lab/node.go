package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// ports are the ports of all machines, which differ in their address.
type ports struct {
	inbound, outbound, ready, control, app, store, gossip, metrics int
}

// The bounds of the settings, as in the example of DEPLOY.md.
const (
	drainTime    = 2 * time.Second
	stableWindow = 3 * time.Second
	reuseDelay   = 2 * time.Second
	heartbeat    = 1500 * time.Millisecond
)

// choosePorts chooses a loopback network and ports on which nothing listens.
func (l *lab) choosePorts() error {
	for range 50 {
		l.host = fmt.Sprintf("127.%d.%d.", 10+rand.IntN(200), 1+rand.IntN(250))
		base := 20000 + 10*rand.IntN(1000)
		l.ports = ports{base, base + 1, base + 2, base + 3, base + 4, base + 5, base + 6, base + 7}
		isFree := true
		for p := base; p < base+10; p++ {
			listener, err := net.Listen("tcp4", fmt.Sprintf("0.0.0.0:%d", p))
			if err != nil {
				isFree = false
				break
			}
			_ = listener.Close()
		}
		if isFree {
			return nil
		}
	}
	return errors.New("no free ports")
}

// address returns an address of a machine.
func (l *lab) address(machine, port int) string {
	return fmt.Sprintf("%s%d:%d", l.host, machine, port)
}

// node is the process on one machine.
type node struct {
	lab     *lab
	machine int
	zone    string
	service string
	first   bool // whether the whole deployment starts for the first time

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	started time.Time
}

func (l *lab) newNode(machine int, zone, service string) *node {
	n := &node{lab: l, machine: machine, zone: zone, service: service, first: true}
	l.mu.Lock()
	l.nodes = append(l.nodes, n)
	l.mu.Unlock()
	return n
}

func (n *node) name() string     { return fmt.Sprintf("sidecar-%s-%d", n.zone, n.machine) }
func (n *node) outbound() string { return n.lab.address(n.machine, n.lab.ports.outbound) }
func (n *node) control() string  { return n.lab.address(n.machine, n.lab.ports.control) }
func (n *node) app() string      { return n.lab.address(n.machine, n.lab.ports.app) }
func (n *node) settings() string { return fmt.Sprintf("%s/node-%d.json", n.lab.temp, n.machine) }

var (
	runLine      = regexp.MustCompile(`(?m)^run\s*=\s*"([^"]*)"`)
	templateLine = regexp.MustCompile(`(?m)^template\s*=\s*"([^"]*)"`)
	placeholder  = regexp.MustCompile(`\{\{[a-z_.0-9]+\}\}`)
)

// writeSettings fills in the template of the deploy file.
func (n *node) writeSettings() error {
	deploy, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return err
	}
	path := templateLine.FindSubmatch(deploy)
	if path == nil {
		return errors.New("deploy/system.toml names no template")
	}
	data, err := os.ReadFile(string(path[1]))
	if err != nil {
		return err
	}
	l := n.lab
	values := map[string]string{
		"node": n.name(), "zone": n.zone, "service": n.service, "ip": strings.TrimSuffix(l.host, ".") + "." + strconv.Itoa(n.machine),
		"app_addr": n.app(), "platform.address": l.address(1, l.ports.store), "limits.memory_mb": "284",
		"listen.outbound": n.outbound(), "listen.inbound": l.address(n.machine, l.ports.inbound),
		"listen.ready": l.address(n.machine, l.ports.ready), "listen.control": n.control(),
		"port_range.0": strconv.Itoa(l.ports.gossip), "port_range.1": strconv.Itoa(l.ports.metrics),
		"bounds.drain_ms": strconv.FormatInt(drainTime.Milliseconds(), 10), "bounds.grace_s": "6", "bounds.budget_window_s": "10", "bounds.budget_slack": "48",
	}
	text := string(data)
	for _, keep := range []struct {
		open string
		is   bool
	}{{"{{#bootstrap}}", n.first}, {"{{^bootstrap}}", !n.first}} {
		text = regexp.MustCompile(regexp.QuoteMeta(keep.open)+`(.*?)\{\{/bootstrap\}\}`).ReplaceAllStringFunc(text, func(s string) string {
			if !keep.is {
				return ""
			}
			return strings.TrimSuffix(strings.TrimPrefix(s, keep.open), "{{/bootstrap}}")
		})
	}
	text = placeholder.ReplaceAllStringFunc(text, func(s string) string { return values[strings.Trim(s, "{}")] })
	temp := n.settings() + ".new"
	if err := os.WriteFile(temp, []byte(text), 0o644); err != nil {
		return err
	}
	return os.Rename(temp, n.settings())
}

// launch starts the process with the command of the deploy file.
func (n *node) launch() error {
	if err := n.writeSettings(); err != nil {
		return err
	}
	deploy, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return err
	}
	line := runLine.FindSubmatch(deploy)
	if line == nil {
		return errors.New("deploy/system.toml has no command")
	}
	words := strings.Fields(string(line[1]))
	logFile, err := os.OpenFile(fmt.Sprintf("%s/node-%d.log", n.lab.temp, n.machine), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer logFile.Close()
	command := exec.Command(words[0], words[1:]...)
	command.Env = []string{"SAPPHIRETACK_BOOT=" + n.settings(), "PATH=" + os.Getenv("PATH"), "HOME=" + n.lab.temp}
	command.Stdout, command.Stderr = logFile, logFile
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	n.mu.Lock()
	n.command, n.ended, n.started = command, ended, time.Now()
	n.mu.Unlock()
	go func() {
		err := command.Wait()
		n.lab.note("process of %s ended: %v", n.name(), err)
		close(ended)
	}()
	n.lab.note("process of %s started, pid %d", n.name(), command.Process.Pid)
	n.first = false
	return nil
}

// signal sends a signal to the process.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.command != nil {
		n.lab.note("%v to %s", s, n.name())
		_ = n.command.Process.Signal(s)
	}
}

// await waits for the end of the process.
func (n *node) await() {
	n.mu.Lock()
	ended := n.ended
	n.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

func (n *node) kill() {
	n.mu.Lock()
	command := n.command
	n.mu.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Kill()
	n.await()
}

// awaitReady waits until the node says that it is ready.
func (n *node) awaitReady(limit time.Duration) error {
	url := "http://" + n.lab.address(n.machine, n.lab.ports.ready) + "/-/readiness"
	for begin := time.Now(); time.Since(begin) < limit; time.Sleep(50 * time.Millisecond) {
		response, err := http.Get(url)
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", n.name(), limit)
}

// panicText returns the line with which the process reported that it crashed, or an empty text.
func (n *node) panicText() string {
	data, err := os.ReadFile(fmt.Sprintf("%s/node-%d.log", n.lab.temp, n.machine))
	if err != nil {
		return ""
	}
	for line := range strings.Lines(string(data)) {
		if strings.HasPrefix(line, "panic:") || strings.HasPrefix(line, "fatal error:") {
			return strings.TrimSpace(line)
		}
	}
	return ""
}
