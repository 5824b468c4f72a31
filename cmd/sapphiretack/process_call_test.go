package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/datadriven"
	qt "github.com/frankban/quicktest"

	"github.com/sapphiretack/sapphiretack/operator"
	"github.com/sapphiretack/sapphiretack/standin"
)

// callTimeout ends a call that gets no outcome; it is longer than each deadline in the scripts.
const callTimeout = 30 * time.Second

// waitReady waits until a node is ready, sees each running node as alive, and has at least the configuration version.
func (cl *cluster) waitReady(instance, version string) {
	want, err := strconv.ParseUint(version, 10, 64)
	qt.Assert(cl.t, err, qt.IsNil)
	address := "http://" + cl.settings(instance).Listeners.Operator.String()
	cl.waitFor(instance+" ready", func() bool {
		response, err := http.Get(address + "/v1/status")
		if err != nil {
			return false
		}
		defer response.Body.Close()
		var s operator.Status
		if json.NewDecoder(response.Body).Decode(&s) != nil || !s.Self.Ready {
			return false
		}
		return aliveMembers(s) >= cl.runningNodes() && s.Self.ConfigurationVersion >= want
	})
}

// waitNotAlive waits until the node via no longer sees the instance as alive.
func (cl *cluster) waitNotAlive(instance, via string) {
	address := "http://" + cl.settings(via).Listeners.Operator.String()
	cl.waitFor(instance+" missed", func() bool {
		response, err := http.Get(address + "/v1/status")
		if err != nil {
			return false
		}
		defer response.Body.Close()
		var s operator.Status
		if json.NewDecoder(response.Body).Decode(&s) != nil {
			return false
		}
		return slices.ContainsFunc(s.Members, func(m operator.MemberStatus) bool {
			return string(m.Instance) == instance && m.State != "alive"
		})
	})
}

func aliveMembers(s operator.Status) int {
	n := 0
	for _, m := range s.Members {
		if m.State == "alive" {
			n++
		}
	}
	return n
}

func (cl *cluster) runningNodes() int {
	n := 0
	for name := range cl.processes {
		if strings.HasPrefix(name, "node ") {
			n++
		}
	}
	return n
}

func (cl *cluster) callerURL(instance string) string {
	return "http://" + cl.settings(instance).Listeners.Caller.String()
}

func (cl *cluster) openSession(id, via string) {
	r, err := http.NewRequest(http.MethodPost, cl.callerURL(via)+"/session", http.NoBody)
	qt.Assert(cl.t, err, qt.IsNil)
	response, err := http.DefaultClient.Do(r)
	qt.Assert(cl.t, err, qt.IsNil)
	defer response.Body.Close()
	var opened struct {
		Ticket string `json:"ticket"`
	}
	qt.Assert(cl.t, json.NewDecoder(response.Body).Decode(&opened), qt.IsNil)
	cl.tickets[id] = opened.Ticket
}

// send starts a call; waitOutcome waits until it ends. The id is the key under which backend servers record the execution; resend
// names a repetition of the call with the same request id.
func (cl *cluster) send(d *datadriven.TestData) {
	id, name := argument(d, "id"), argument(d, "id")
	if resend := argument(d, "resend"); resend != "" {
		name = resend
	}
	body, err := json.Marshal(standin.Payload{Key: id, CrashAt: argument(d, "crash_at")})
	qt.Assert(cl.t, err, qt.IsNil)
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, cl.callerURL(argument(d, "via"))+"/call/desk/"+argument(d, "operation"), strings.NewReader(string(body)))
	qt.Assert(cl.t, err, qt.IsNil)
	r.GetBody = nil
	r.Header.Set("Sapphiretack-Customer", "club")
	r.Header.Set("Sapphiretack-Request-Id", fmt.Sprintf("%032x", []byte(id)))
	for argumentName, header := range map[string]string{"attempt": "Attempt", "sequence": "Sequence", "idempotency_key": "Idempotency-Key"} {
		if value := argument(d, argumentName); value != "" {
			r.Header.Set("Sapphiretack-"+header, value)
		}
	}
	if session := argument(d, "session"); session != "" {
		r.Header.Set("Sapphiretack-Ticket", cl.tickets[session])
	}
	result, part := make(chan string, 1), make(chan struct{})
	cl.outcomes[name], cl.firstParts[name] = result, part
	cl.group.Go(func() error {
		defer cancel()
		result <- call(r, part)
		return nil
	})
}

// firstWriteSignal closes a channel when the first bytes are written to it.
type firstWriteSignal struct{ written chan struct{} }

func (s *firstWriteSignal) Write(b []byte) (int, error) {
	if s.written != nil {
		close(s.written)
		s.written = nil
	}
	return len(b), nil
}

// call sends a request and returns the outcome that the caller sees. It closes part when the first part of the response arrives.
func call(r *http.Request, part chan struct{}) string {
	// Each call has its own connection, so that the failure of a killed node is what a connected caller sees.
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err != nil {
		return "connection lost"
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.TeeReader(response.Body, &firstWriteSignal{written: part}))
	if err != nil {
		return fmt.Sprintf("connection lost after %d parts", strings.Count(string(body), "\n"))
	}
	if outcome := response.Trailer.Get("Sapphiretack-Outcome"); outcome != "" {
		return fmt.Sprintf("%s, status %d, %d parts", outcome, response.StatusCode, strings.Count(string(body), "\n"))
	}
	var refusal struct {
		Outcome string `json:"outcome"`
		Reason  string `json:"reason"`
	}
	if err := json.Unmarshal(body, &refusal); err != nil || refusal.Outcome == "" {
		return "no outcome"
	}
	return fmt.Sprintf("%s %s, status %d", refusal.Outcome, refusal.Reason, response.StatusCode)
}

func (cl *cluster) waitOutcome(name string) string {
	result := cl.outcomes[name]
	qt.Assert(cl.t, result, qt.IsNotNil, qt.Commentf("send %q", name))
	return <-result
}
