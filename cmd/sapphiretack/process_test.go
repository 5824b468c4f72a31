package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/settings"
	"github.com/sapphiretack/sapphiretack/standin"
)

// Waiting ends after pollSteps polls, 60 s in all; it bounds a test that hangs and asserts no time.
const (
	pollInterval = 50 * time.Millisecond
	pollSteps    = 1200
)

// fleet is a deployment of real processes, driven by a script.
type fleet struct {
	t          *testing.T
	bin        string // directory of the programs
	dir        string // directory of the files of this fleet
	platform   string
	deployment *settings.Deployment
	processes  map[string]*exec.Cmd
	tickets    map[string]string
	sends      map[string]chan string
	parts      map[string]chan struct{}
	group      errgroup.Group // of the sends
}

// Guards against an outcome that is not honest after a process was killed: not_run for what ran, an effect that ran
// twice, a request that is lost although another instance could serve it.
func TestProcesses(t *testing.T) {
	bin := t.TempDir()
	build := exec.Command("go", "build", "-o", bin+"/", ".", "../standin-backend", "../standin-platform")
	out, err := build.CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	datadriven.Walk(t, "testdata/process", func(t *testing.T, path string) {
		f := newFleet(t, bin)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			f.t = t
			return f.run(d)
		})
	})
}

func newFleet(t *testing.T, bin string) *fleet {
	f := &fleet{
		t: t, bin: bin, dir: t.TempDir(),
		processes: map[string]*exec.Cmd{}, tickets: map[string]string{}, sends: map[string]chan string{}, parts: map[string]chan struct{}{},
	}
	text, err := os.ReadFile("testdata/deployment.json")
	qt.Assert(t, err, qt.IsNil)
	ports := freePorts(t, 6)
	f.platform = fmt.Sprintf("127.0.0.1:%d", ports[5])
	content := strings.ReplaceAll(string(text), "PLATFORM", f.platform)
	for i, port := range ports[:5] {
		content = strings.ReplaceAll(content, fmt.Sprintf("PORT%d", i), fmt.Sprint(port))
	}
	qt.Assert(t, os.WriteFile(f.file(), []byte(content), 0o644), qt.IsNil)
	f.deployment, err = settings.ReadDeploymentFile(f.file())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(f.killAll)
	return f
}

func (f *fleet) file() string { return filepath.Join(f.dir, "deployment.json") }

// freePorts returns the first ports of ranges of five that are free now; a test elsewhere on the machine may use others.
func freePorts(t *testing.T, n int) []int {
	var ports []int
	for port := 20000 + os.Getpid()%2000*5; port < 32000 && len(ports) < n; port += 5 {
		if rangeFree(port) {
			ports = append(ports, port)
		}
	}
	qt.Assert(t, len(ports), qt.Equals, n)
	return ports
}

func rangeFree(port int) bool {
	for i := range 5 {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port+i))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

func (f *fleet) run(d *datadriven.TestData) string {
	switch d.Cmd {
	case "deploy":
		return f.deploy()
	case "start":
		for line := range strings.Lines(d.Input) {
			f.start(strings.TrimSpace(line))
		}
	case "ready":
		for line := range strings.Lines(d.Input) {
			f.ready(strings.TrimSpace(line), argument(d, "version"))
		}
	case "kill":
		f.end(f.process(d), syscall.SIGKILL)
	case "freeze":
		f.end(f.process(d), syscall.SIGSTOP)
	case "resume":
		f.end(f.process(d), syscall.SIGCONT)
	case "missed":
		f.missed(argument(d, "instance"), argument(d, "via"))
	case "settled":
		// Whether a caller of a frozen node gets the response or unknown depends on how long it was frozen.
		if outcome := f.outcome(argument(d, "id")); strings.HasPrefix(outcome, "not_run") {
			return outcome
		}
	case "terminate":
		f.end(f.process(d), syscall.SIGTERM)
	case "exited":
		return f.exited(f.process(d))
	case "command":
		return f.command(strings.Fields(d.Input))
	case "session":
		f.session(argument(d, "id"), argument(d, "via"))
	case "send":
		f.send(d)
	case "began":
		f.execution(argument(d, "id"))
	case "part":
		f.part(argument(d, "id"))
	case "outcome":
		outcome := f.outcome(argument(d, "id"))
		if d.HasArg("without_reason") {
			outcome, _, _ = strings.Cut(outcome, " ")
		}
		return outcome
	case "executions":
		return fmt.Sprint(len(f.executions(argument(d, "id"))))
	default:
		d.Fatalf(f.t, "unknown command %q", d.Cmd)
	}
	return ""
}

// deploy starts the whole fleet and publishes the template and the customer of the scripts.
func (f *fleet) deploy() string {
	f.start("platform")
	for _, kind := range []string{"backend", "node"} {
		for _, m := range f.deployment.Instances {
			f.start(kind + " " + string(m.Name))
		}
	}
	f.allReady("0")
	out := f.command(strings.Fields("gate-1 template publish clubs testdata/template.json"))
	out += "\n" + f.command(strings.Fields("gate-2 customer set club testdata/customer.json"))
	f.allReady("2")
	return out
}

func (f *fleet) allReady(version string) {
	for _, m := range f.deployment.Instances {
		f.ready(string(m.Name), version)
	}
}

// argument returns the value of an argument, or "" if it is absent.
func argument(d *datadriven.TestData, name string) string {
	for _, a := range d.CmdArgs {
		if a.Key == name {
			return strings.Join(a.Vals, "")
		}
	}
	return ""
}

// process names a process directly, or as the backend server or node that executes a request.
func (f *fleet) process(d *datadriven.TestData) string {
	kind := argument(d, "process")
	if id := argument(d, "of"); id != "" {
		return kind + " " + f.execution(id).Instance
	}
	if instance := argument(d, "instance"); instance != "" {
		return kind + " " + instance
	}
	return kind
}

// start starts "platform", "backend INSTANCE" or "node INSTANCE".
func (f *fleet) start(name string) {
	kind, instance, _ := strings.Cut(name, " ")
	var c *exec.Cmd
	switch kind {
	case "platform":
		c = exec.Command(filepath.Join(f.bin, "standin-platform"), "--listen", f.platform)
	case "backend":
		c = exec.Command(filepath.Join(f.bin, "standin-backend"), "--deployment", f.file(), "--behaviors", "testdata/behaviors.json",
			"--instance", instance, "--log", f.log(instance))
	case "node":
		c = exec.Command(filepath.Join(f.bin, "sapphiretack"), "node", "--deployment", f.file(), "--instance", instance)
	default:
		f.t.Fatalf("unknown process %q", name)
	}
	output, err := os.Create(filepath.Join(f.dir, strings.ReplaceAll(name, " ", "-")+".log"))
	qt.Assert(f.t, err, qt.IsNil)
	c.Stdout, c.Stderr = output, output
	qt.Assert(f.t, c.Start(), qt.IsNil)
	qt.Assert(f.t, output.Close(), qt.IsNil)
	f.processes[name] = c
}

func (f *fleet) end(name string, signal syscall.Signal) {
	c := f.processes[name]
	qt.Assert(f.t, c, qt.IsNotNil, qt.Commentf("process %q", name))
	qt.Assert(f.t, c.Process.Signal(signal), qt.IsNil)
	if signal == syscall.SIGKILL {
		_ = c.Wait()
		delete(f.processes, name)
	}
}

// exited waits for a process and returns its exit status.
func (f *fleet) exited(name string) string {
	c := f.processes[name]
	qt.Assert(f.t, c, qt.IsNotNil, qt.Commentf("process %q", name))
	_ = c.Wait()
	delete(f.processes, name)
	return fmt.Sprintf("exit status %d", c.ProcessState.ExitCode())
}

func (f *fleet) killAll() {
	for _, c := range f.processes {
		_ = c.Process.Kill()
		_ = c.Wait()
	}
	if f.t.Failed() {
		logs, _ := filepath.Glob(filepath.Join(f.dir, "*.log"))
		for _, log := range logs {
			data, _ := os.ReadFile(log)
			f.t.Logf("%s:\n%s", filepath.Base(log), data)
		}
	}
}

// command runs the command line and returns its output and exit status.
func (f *fleet) command(arguments []string) string {
	via, rest := arguments[0], arguments[1:]
	c := exec.Command(filepath.Join(f.bin, "sapphiretack"), append(rest, "--operator", f.settings(via).Listeners.Operator.String())...)
	out, err := c.Output()
	status := 0
	if err != nil {
		status = c.ProcessState.ExitCode()
	}
	return fmt.Sprintf("%sexit status %d", out, status)
}

func (f *fleet) settings(instance string) settings.Settings {
	s, err := f.deployment.Settings(request.InstanceID(instance))
	qt.Assert(f.t, err, qt.IsNil)
	return s
}

func (f *fleet) log(instance string) string {
	return filepath.Join(f.dir, "executions-"+instance+".jsonl")
}

// executions returns the executions of the request with the key.
func (f *fleet) executions(key string) []standin.Execution {
	var found []standin.Execution
	for _, m := range f.deployment.Instances {
		executions, err := standin.ReadExecutions(f.log(string(m.Name)))
		if err != nil {
			continue // not started yet, or a line is being written
		}
		for _, e := range executions {
			if e.Key == key {
				found = append(found, e)
			}
		}
	}
	return found
}

// execution waits until the request with the key is being executed.
func (f *fleet) execution(key string) standin.Execution {
	var found []standin.Execution
	f.poll("execution of "+key, func() bool {
		found = f.executions(key)
		select {
		case outcome := <-f.sends[key]:
			f.t.Fatalf("%s ended before it could be interrupted: %s", key, outcome)
		default:
		}
		return len(found) > 0
	})
	return found[len(found)-1]
}

// part waits until the first part of a response has arrived.
func (f *fleet) part(name string) {
	f.poll("part of "+name, func() bool {
		select {
		case <-f.parts[name]:
			return true
		case outcome := <-f.sends[name]:
			f.t.Fatalf("%s ended before a part arrived: %s", name, outcome)
			return false
		default:
			return false
		}
	})
}

func (f *fleet) poll(what string, done func() bool) {
	for range pollSteps {
		if done() {
			return
		}
		time.Sleep(pollInterval)
	}
	f.t.Fatalf("%s: not seen", what)
}
