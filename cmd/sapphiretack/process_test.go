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

// Waiting ends after maxPolls polls, which take 60 s. This ends a test that hangs; it is not an assertion on time.
const (
	pollInterval = 50 * time.Millisecond
	maxPolls     = 1200
)

// cluster runs a deployment as separate processes, as a script in testdata/process directs.
type cluster struct {
	t               *testing.T
	binDir          string // directory of the binaries
	dir             string // directory of the deployment file and the logs
	platformAddress string
	deployment      *settings.Deployment
	processes       map[string]*exec.Cmd
	tickets         map[string]string
	outcomes        map[string]chan string   // of the calls, by name
	firstParts      map[string]chan struct{} // closed when the first part of a response arrives
	group           errgroup.Group           // runs the calls
}

// TestOutcomesAfterProcessFailures guards against a wrong outcome after a process is killed or frozen: not_run for a request that
// ran, an effect that ran twice, or a failed request that another instance could have served.
func TestOutcomesAfterProcessFailures(t *testing.T) {
	bin := t.TempDir()
	build := exec.Command("go", "build", "-o", bin+"/", ".", "../standin-backend", "../standin-platform")
	out, err := build.CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	datadriven.Walk(t, "testdata/process", func(t *testing.T, path string) {
		cl := newCluster(t, bin)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			cl.t = t
			return cl.run(d)
		})
	})
}

func newCluster(t *testing.T, bin string) *cluster {
	cl := &cluster{
		t: t, binDir: bin, dir: t.TempDir(),
		processes: map[string]*exec.Cmd{}, tickets: map[string]string{}, outcomes: map[string]chan string{}, firstParts: map[string]chan struct{}{},
	}
	text, err := os.ReadFile("testdata/deployment.json")
	qt.Assert(t, err, qt.IsNil)
	ports := freePorts(t, 6)
	cl.platformAddress = fmt.Sprintf("127.0.0.1:%d", ports[5])
	content := strings.ReplaceAll(string(text), "PLATFORM", cl.platformAddress)
	for i, port := range ports[:5] {
		content = strings.ReplaceAll(content, fmt.Sprintf("PORT%d", i), fmt.Sprint(port))
	}
	qt.Assert(t, os.WriteFile(cl.deploymentPath(), []byte(content), 0o644), qt.IsNil)
	cl.deployment, err = settings.ReadDeploymentFile(cl.deploymentPath())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(cl.killAll)
	return cl
}

func (cl *cluster) deploymentPath() string { return filepath.Join(cl.dir, "deployment.json") }

// freePorts returns the first ports of n ranges of five free ports. The search starts at a port that depends on the process id,
// since other tests on the machine may use ports at the same time.
func freePorts(t *testing.T, n int) []int {
	var ports []int
	for port := 20000 + os.Getpid()%2000*5; port < 32000 && len(ports) < n; port += 5 {
		if isRangeFree(port) {
			ports = append(ports, port)
		}
	}
	qt.Assert(t, len(ports), qt.Equals, n)
	return ports
}

func isRangeFree(port int) bool {
	for i := range 5 {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port+i))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

func (cl *cluster) run(d *datadriven.TestData) string {
	switch d.Cmd {
	case "deploy":
		return cl.deploy()
	case "start":
		for line := range strings.Lines(d.Input) {
			cl.start(strings.TrimSpace(line))
		}
	case "ready":
		for line := range strings.Lines(d.Input) {
			cl.waitReady(strings.TrimSpace(line), argument(d, "version"))
		}
	case "kill":
		cl.sendSignal(cl.processName(d), syscall.SIGKILL)
	case "freeze":
		cl.sendSignal(cl.processName(d), syscall.SIGSTOP)
	case "resume":
		cl.sendSignal(cl.processName(d), syscall.SIGCONT)
	case "missed":
		cl.waitNotAlive(argument(d, "instance"), argument(d, "via"))
	case "settled":
		// Whether the caller of a frozen node gets a response or unknown depends on how long the node was frozen.
		if outcome := cl.waitOutcome(argument(d, "id")); strings.HasPrefix(outcome, "not_run") {
			return outcome
		}
	case "terminate":
		cl.sendSignal(cl.processName(d), syscall.SIGTERM)
	case "exited":
		return cl.waitExit(cl.processName(d))
	case "command":
		return cl.command(strings.Fields(d.Input))
	case "session":
		cl.openSession(argument(d, "id"), argument(d, "via"))
	case "send":
		cl.send(d)
	case "began":
		cl.waitExecution(argument(d, "id"))
	case "part":
		cl.waitPart(argument(d, "id"))
	case "outcome":
		outcome := cl.waitOutcome(argument(d, "id"))
		if d.HasArg("without_reason") {
			outcome, _, _ = strings.Cut(outcome, " ")
		}
		return outcome
	case "executions":
		return fmt.Sprint(len(cl.executions(argument(d, "id"))))
	default:
		d.Fatalf(cl.t, "unknown command %q", d.Cmd)
	}
	return ""
}

// deploy starts all processes and publishes the template and the customer that the scripts use.
func (cl *cluster) deploy() string {
	cl.start("platform")
	for _, kind := range []string{"backend", "node"} {
		for _, m := range cl.deployment.Instances {
			cl.start(kind + " " + string(m.Name))
		}
	}
	cl.waitAllReady("0")
	out := cl.command(strings.Fields("gate-1 template publish clubs testdata/template.json"))
	out += "\n" + cl.command(strings.Fields("gate-2 customer set club testdata/customer.json"))
	cl.waitAllReady("2")
	return out
}

func (cl *cluster) waitAllReady(version string) {
	for _, m := range cl.deployment.Instances {
		cl.waitReady(string(m.Name), version)
	}
}

// argument returns the value of a script argument, or "" if it is absent.
func argument(d *datadriven.TestData, name string) string {
	for _, a := range d.CmdArgs {
		if a.Key == name {
			return strings.Join(a.Vals, "")
		}
	}
	return ""
}

// processName returns the name of the process that the arguments select: by instance, or by the request that it executes.
func (cl *cluster) processName(d *datadriven.TestData) string {
	kind := argument(d, "process")
	if id := argument(d, "of"); id != "" {
		return kind + " " + cl.waitExecution(id).Instance
	}
	if instance := argument(d, "instance"); instance != "" {
		return kind + " " + instance
	}
	return kind
}

// start starts the process "platform", "backend INSTANCE" or "node INSTANCE".
func (cl *cluster) start(name string) {
	kind, instance, _ := strings.Cut(name, " ")
	var c *exec.Cmd
	switch kind {
	case "platform":
		c = exec.Command(filepath.Join(cl.binDir, "standin-platform"), "--listen", cl.platformAddress)
	case "backend":
		c = exec.Command(filepath.Join(cl.binDir, "standin-backend"), "--deployment", cl.deploymentPath(), "--behaviors", "testdata/behaviors.json",
			"--instance", instance, "--log", cl.executionLog(instance))
	case "node":
		c = exec.Command(filepath.Join(cl.binDir, "sapphiretack"), "node", "--deployment", cl.deploymentPath(), "--instance", instance)
	default:
		cl.t.Fatalf("unknown process %q", name)
	}
	output, err := os.Create(filepath.Join(cl.dir, strings.ReplaceAll(name, " ", "-")+".log"))
	qt.Assert(cl.t, err, qt.IsNil)
	c.Stdout, c.Stderr = output, output
	qt.Assert(cl.t, c.Start(), qt.IsNil)
	qt.Assert(cl.t, output.Close(), qt.IsNil)
	cl.processes[name] = c
}

func (cl *cluster) sendSignal(name string, signal syscall.Signal) {
	c := cl.processes[name]
	qt.Assert(cl.t, c, qt.IsNotNil, qt.Commentf("process %q", name))
	qt.Assert(cl.t, c.Process.Signal(signal), qt.IsNil)
	if signal == syscall.SIGKILL {
		_ = c.Wait()
		delete(cl.processes, name)
	}
}

// waitExit waits until a process exits and returns its exit status.
func (cl *cluster) waitExit(name string) string {
	c := cl.processes[name]
	qt.Assert(cl.t, c, qt.IsNotNil, qt.Commentf("process %q", name))
	_ = c.Wait()
	delete(cl.processes, name)
	return fmt.Sprintf("exit status %d", c.ProcessState.ExitCode())
}

func (cl *cluster) killAll() {
	for _, c := range cl.processes {
		_ = c.Process.Kill()
		_ = c.Wait()
	}
	if cl.t.Failed() {
		logs, _ := filepath.Glob(filepath.Join(cl.dir, "*.log"))
		for _, log := range logs {
			data, _ := os.ReadFile(log)
			cl.t.Logf("%s:\n%s", filepath.Base(log), data)
		}
	}
}

// command runs sapphiretack with the arguments after the first, against the operator listener of the instance that the first
// one names, and returns its output and exit status.
func (cl *cluster) command(arguments []string) string {
	via, rest := arguments[0], arguments[1:]
	c := exec.Command(filepath.Join(cl.binDir, "sapphiretack"), append(rest, "--operator", cl.settings(via).Listeners.Operator.String())...)
	out, err := c.Output()
	status := 0
	if err != nil {
		status = c.ProcessState.ExitCode()
	}
	return fmt.Sprintf("%sexit status %d", out, status)
}

func (cl *cluster) settings(instance string) settings.Settings {
	s, err := cl.deployment.Settings(request.InstanceID(instance))
	qt.Assert(cl.t, err, qt.IsNil)
	return s
}

func (cl *cluster) executionLog(instance string) string {
	return filepath.Join(cl.dir, "executions-"+instance+".jsonl")
}

// executions returns the recorded executions of the request with the key.
func (cl *cluster) executions(key string) []standin.Execution {
	var found []standin.Execution
	for _, m := range cl.deployment.Instances {
		executions, err := standin.ReadExecutions(cl.executionLog(string(m.Name)))
		if err != nil {
			continue // the file does not exist yet, or its last line is incomplete
		}
		for _, e := range executions {
			if e.Key == key {
				found = append(found, e)
			}
		}
	}
	return found
}

// waitExecution waits until the request with the key has an execution and returns the latest one.
func (cl *cluster) waitExecution(key string) standin.Execution {
	var found []standin.Execution
	cl.waitFor("execution of "+key, func() bool {
		found = cl.executions(key)
		select {
		case outcome := <-cl.outcomes[key]:
			cl.t.Fatalf("%s ended before it could be interrupted: %s", key, outcome)
		default:
		}
		return len(found) > 0
	})
	return found[len(found)-1]
}

// waitPart waits until the first part of the response to a call has arrived.
func (cl *cluster) waitPart(name string) {
	cl.waitFor("part of "+name, func() bool {
		select {
		case <-cl.firstParts[name]:
			return true
		case outcome := <-cl.outcomes[name]:
			cl.t.Fatalf("%s ended before a part arrived: %s", name, outcome)
			return false
		default:
			return false
		}
	})
}

func (cl *cluster) waitFor(what string, done func() bool) {
	for range maxPolls {
		if done() {
			return
		}
		time.Sleep(pollInterval)
	}
	cl.t.Fatalf("%s: timed out", what)
}
