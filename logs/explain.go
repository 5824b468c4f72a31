package logs

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Line is a log line about a request or one of its calls, with the fields that explain what happened to it.
type Line struct {
	Time                 time.Time `json:"time"`
	Node                 string    `json:"node"`
	Event                string    `json:"event"`
	RequestID            string    `json:"request_id"`
	Route                string    `json:"route"`
	To                   string    `json:"to"`
	Result               string    `json:"result"`
	Why                  string    `json:"why"`
	Cause                string    `json:"cause"`
	Status               int       `json:"status"`
	ElapsedMs            float64   `json:"elapsed"`
	TookMs               float64   `json:"took"`
	WaitMs               float64   `json:"wait"`
	RetryAfterMs         float64   `json:"retry_after"`
	Fraction             float64   `json:"fraction"`
	PlanAgeMs            float64   `json:"plan_age"`
	FullService          string    `json:"full_service"`
	NoRetryReason        string    `json:"no_repeat"`
	Content              string    `json:"content"`
	HasCrashed           bool      `json:"crashed"` // whether the backend server ended during the attempt
	RemainingMs          float64   `json:"left"`
	Instance             string    `json:"instance"`
	ConfigurationVersion int64     `json:"config_version"`
	index                int       // line number in the input, from 0
}

const maxLineBytes = 1 << 20

// Read returns the lines of a log about a request and its calls. It ignores text before the first brace of a line, such as a
// timestamp added by a log collector, and lines without a JSON object. The error is that of reading r, or bufio.ErrTooLong
// for a line of more than 1 MiB.
func Read(r io.Reader, requestID string) ([]Line, error) {
	var out []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	wanted := []byte(requestID)
	for index := 0; scanner.Scan(); index++ {
		if !bytes.Contains(scanner.Bytes(), wanted) {
			continue
		}
		_, object, found := bytes.Cut(scanner.Bytes(), []byte("{"))
		if !found {
			continue
		}
		var l Line
		if json.Unmarshal(append([]byte("{"), object...), &l) != nil {
			continue
		}
		if l.RequestID == requestID || strings.HasPrefix(l.RequestID, requestID+".") {
			l.index = index
			out = append(out, l)
		}
	}
	return out, scanner.Err()
}

// Explain sorts the lines of a request by time and writes them, followed by the cause of its outcome. The error is that of
// writing to w.
func Explain(w io.Writer, requestID string, lines []Line) error {
	if len(lines) == 0 {
		_, err := fmt.Fprintf(w, "no log line names request %s; it was served without errors, or its lines were dropped\n", requestID)
		return err
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.index, b.index)) })
	for _, l := range lines {
		if _, err := fmt.Fprintln(w, l.format(requestID)); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintln(w, "cause: "+causeOf(requestID, lines))
	return err
}

func (l Line) format(requestID string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s", l.Node, l.Event)
	if l.RequestID != requestID {
		b.WriteString(" " + l.label(requestID))
	}
	for _, field := range []struct{ name, value string }{
		{"route", l.Route}, {"to", l.To}, {"instance", l.Instance}, {"result", l.Result}, {"why", l.Why}, {"cause", l.Cause},
	} {
		if field.value != "" {
			fmt.Fprintf(&b, " %s=%q", field.name, field.value)
		}
	}
	if l.HasCrashed {
		b.WriteString(" crashed")
	}
	for _, field := range []struct {
		name  string
		value float64
	}{
		{"status", float64(l.Status)},
		{"elapsed_ms", l.ElapsedMs},
		{"took_ms", l.TookMs},
		{"wait_ms", l.WaitMs},
		{"retry_after_ms", l.RetryAfterMs},
		{"plan_age_ms", l.PlanAgeMs},
		{"config_version", float64(l.ConfigurationVersion)},
	} {
		if field.value != 0 {
			fmt.Fprintf(&b, " %s=%.0f", field.name, field.value)
		}
	}
	return b.String()
}

// deadlineText is the text of context.DeadlineExceeded in log lines.
const deadlineText = "context deadline exceeded"

// causeOf explains the outcome of the request: by its refusal, else by the exceeded deadline of the most deeply nested call
// that has one, else by the last failure of the most deeply nested call that failed, else by its own failure or status.
func causeOf(requestID string, lines []Line) string {
	var end, deepestFailure, timedOut *Line
	for i := range lines {
		l := &lines[i]
		if l.RequestID == requestID && (l.Event == "refused" || l.Event == "ended" || l.Event == "answered") {
			end = l
		}
		isFailure := l.Event == "refused" || l.Event == "ended" || l.Event == "gate" || l.Event == "attempt"
		if isFailure && isDeeper(l, deepestFailure) {
			deepestFailure = l
		}
		if l.exceededDeadline() && isDeeper(l, timedOut) {
			timedOut = l
		}
	}
	switch {
	case end != nil && end.Event == "refused" && end.Why == "overload":
		return fmt.Sprintf("refused at the first node: %.0f%% of the route's requests were admitted, because %s is at capacity in a plan %.0f ms old",
			100*end.Fraction, cmp.Or(end.FullService, "a service"), end.PlanAgeMs)
	case end != nil && end.Event == "refused" && end.Why == "quarantined":
		return fmt.Sprintf("refused before it ran: requests with content %s crash backend servers; the quarantined lines of that content name them", end.Content)
	case end != nil && end.Event == "refused":
		return "refused before it ran: " + end.Why
	case end != nil && timedOut != nil:
		return fmt.Sprintf("deadline exceeded: %s to %s began with %.0f ms left", timedOut.label(requestID), timedOut.To, timedOut.ElapsedMs+timedOut.RemainingMs)
	case end != nil && deepestFailure != nil && deepestFailure.RequestID != requestID:
		return fmt.Sprintf("its %s to %s ended with %s", deepestFailure.label(requestID), cmp.Or(deepestFailure.To, targetOf(deepestFailure.RequestID, lines)),
			cmp.Or(deepestFailure.Why, deepestFailure.Cause, deepestFailure.Result))
	case end != nil && end.Event == "ended" && end.NoRetryReason != "":
		return cmp.Or(end.Cause, end.Why) + "; not retried: " + end.NoRetryReason
	case end != nil && end.Event == "ended":
		return cmp.Or(end.Cause, end.Why)
	case end != nil:
		return fmt.Sprintf("the backend server responded with status %d", end.Status)
	}
	return "no log line reports its end; read the log of the client's node"
}

// exceededDeadline reports whether the deadline passed before the backend server had completed the request.
func (l *Line) exceededDeadline() bool {
	isTimeout := l.Event == "answered" && l.Status == http.StatusGatewayTimeout
	return l.To != "" && (isTimeout || l.Why == deadlineText || l.Cause == deadlineText)
}

// isDeeper reports whether l is about a call nested at least as deeply as the call of the other line, which may be nil.
func isDeeper(l, than *Line) bool {
	return than == nil || strings.Count(l.RequestID, ".") >= strings.Count(than.RequestID, ".")
}

// label returns "the request", or "call" and the part of its identifier after the request's.
func (l *Line) label(requestID string) string {
	if call := strings.TrimPrefix(l.RequestID, requestID); call != "" {
		return "call " + call
	}
	return "the request"
}

// targetOf returns the service of a call, as named by any of its lines.
func targetOf(id string, lines []Line) string {
	for i := range lines {
		if lines[i].RequestID == id && lines[i].To != "" {
			return lines[i].To
		}
	}
	return "an unnamed service"
}
