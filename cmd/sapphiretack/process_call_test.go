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

// callTimeout ends a call that gets no outcome; it is longer than any deadline of the scripts.
const callTimeout = 30 * time.Second

// ready waits until a node is ready, knows the nodes that run, and has the configuration version.
func (f *fleet) ready(instance, version string) {
	want, err := strconv.ParseUint(version, 10, 64)
	qt.Assert(f.t, err, qt.IsNil)
	address := "http://" + f.settings(instance).Listeners.Operator.String()
	f.poll(instance+" ready", func() bool {
		response, err := http.Get(address + "/v1/status")
		if err != nil {
			return false
		}
		defer response.Body.Close()
		var s operator.Status
		if json.NewDecoder(response.Body).Decode(&s) != nil || !s.Self.Ready {
			return false
		}
		return aliveMembers(s) >= f.nodes() && s.Self.ConfigurationVersion >= want
	})
}

// missed waits until a node no longer takes another one for alive.
func (f *fleet) missed(instance, via string) {
	address := "http://" + f.settings(via).Listeners.Operator.String()
	f.poll(instance+" missed", func() bool {
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

func (f *fleet) nodes() int {
	n := 0
	for name := range f.processes {
		if strings.HasPrefix(name, "node ") {
			n++
		}
	}
	return n
}

func (f *fleet) caller(instance string) string {
	return "http://" + f.settings(instance).Listeners.Caller.String()
}

func (f *fleet) session(id, via string) {
	r, err := http.NewRequest(http.MethodPost, f.caller(via)+"/session", http.NoBody)
	qt.Assert(f.t, err, qt.IsNil)
	response, err := http.DefaultClient.Do(r)
	qt.Assert(f.t, err, qt.IsNil)
	defer response.Body.Close()
	var opened struct {
		Ticket string `json:"ticket"`
	}
	qt.Assert(f.t, json.NewDecoder(response.Body).Decode(&opened), qt.IsNil)
	f.tickets[id] = opened.Ticket
}

// send starts a call; outcome waits for its end. The id is the key by which executions are found; resend is another
// name for a further send of the same request.
func (f *fleet) send(d *datadriven.TestData) {
	id, name := argument(d, "id"), argument(d, "id")
	if resend := argument(d, "resend"); resend != "" {
		name = resend
	}
	body, err := json.Marshal(standin.Payload{Key: id, CrashAt: argument(d, "crash_at")})
	qt.Assert(f.t, err, qt.IsNil)
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, f.caller(argument(d, "via"))+"/call/desk/"+argument(d, "operation"), strings.NewReader(string(body)))
	qt.Assert(f.t, err, qt.IsNil)
	r.GetBody = nil
	r.Header.Set("Sapphiretack-Customer", "club")
	r.Header.Set("Sapphiretack-Request-Id", fmt.Sprintf("%032x", []byte(id)))
	for argumentName, header := range map[string]string{"attempt": "Attempt", "sequence": "Sequence", "idempotency_key": "Idempotency-Key"} {
		if value := argument(d, argumentName); value != "" {
			r.Header.Set("Sapphiretack-"+header, value)
		}
	}
	if session := argument(d, "session"); session != "" {
		r.Header.Set("Sapphiretack-Ticket", f.tickets[session])
	}
	result, part := make(chan string, 1), make(chan struct{})
	f.sends[name], f.parts[name] = result, part
	f.group.Go(func() error {
		defer cancel()
		result <- call(r, part)
		return nil
	})
}

// partSignal closes a channel when the first bytes arrive.
type partSignal struct{ arrived chan struct{} }

func (p *partSignal) Write(b []byte) (int, error) {
	if p.arrived != nil {
		close(p.arrived)
		p.arrived = nil
	}
	return len(b), nil
}

// call returns the outcome as a caller sees it, and closes the channel when the first part of the response arrives.
func call(r *http.Request, part chan struct{}) string {
	// A connection of its own, so that a killed node shows as it does to a caller that stayed connected to it.
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err != nil {
		return "connection lost"
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.TeeReader(response.Body, &partSignal{arrived: part}))
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

func (f *fleet) outcome(name string) string {
	result := f.sends[name]
	qt.Assert(f.t, result, qt.IsNotNil, qt.Commentf("send %q", name))
	return <-result
}
