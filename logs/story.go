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

// Line is one line of a log that touches a request or what decided it.
type Line struct {
	Time    time.Time `json:"time"`
	Node    string    `json:"node"`
	Event   string    `json:"event"`
	Request string    `json:"request_id"`
	Route   string    `json:"route"`
	To      string    `json:"to"`
	Result  string    `json:"result"`
	Why     string    `json:"why"`
	Cause   string    `json:"cause"`
	Status  int       `json:"status"`
	// Elapsed, Left, Took and Wait are in milliseconds.
	Elapsed    float64 `json:"elapsed"`
	Took       float64 `json:"took"`
	Wait       float64 `json:"wait"`
	RetryAfter float64 `json:"retry_after"`
	Fraction   float64 `json:"fraction"`
	PlanAge    float64 `json:"plan_age"`
	Full       string  `json:"full_service"`
	NoRepeat   string  `json:"no_repeat"`
	Left       float64 `json:"left"`
	Instance   string  `json:"instance"`
	Version    int64   `json:"config_version"`
	number     int     // order in which the lines were read
}

// maxLine bounds a line that is read.
const maxLine = 1 << 20

// Read returns the lines of a log about a request and its calls. Text before the first brace of a line, such as a time that
// was added on the way, and lines that are no JSON are left out.
func Read(r io.Reader, requestID string) ([]Line, error) {
	var out []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	wanted := []byte(requestID)
	for number := 0; scanner.Scan(); number++ {
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
		if l.Request == requestID || strings.HasPrefix(l.Request, requestID+".") {
			l.number = number
			out = append(out, l)
		}
	}
	return out, scanner.Err()
}

// Tell writes what happened to a request in the order of the times of its lines, and ends with the cause of its end.
func Tell(w io.Writer, requestID string, lines []Line) error {
	if len(lines) == 0 {
		_, err := fmt.Fprintf(w, "no line names request %s; it was served without trouble, or its lines were left out\n", requestID)
		return err
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.number, b.number)) })
	for _, l := range lines {
		if _, err := fmt.Fprintln(w, l.describe(requestID)); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintln(w, "cause: "+cause(requestID, lines))
	return err
}

func (l Line) describe(requestID string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s", l.Node, l.Event)
	if l.Request != requestID {
		b.WriteString(" " + l.name(requestID))
	}
	for _, field := range []struct{ name, value string }{
		{"route", l.Route}, {"to", l.To}, {"instance", l.Instance}, {"result", l.Result}, {"why", l.Why}, {"cause", l.Cause},
	} {
		if field.value != "" {
			fmt.Fprintf(&b, " %s=%q", field.name, field.value)
		}
	}
	for _, field := range []struct {
		name  string
		value float64
	}{
		{"status", float64(l.Status)},
		{"elapsed_ms", l.Elapsed},
		{"took_ms", l.Took},
		{"wait_ms", l.Wait},
		{"retry_after_ms", l.RetryAfter},
		{"plan_age_ms", l.PlanAge},
		{"config_version", float64(l.Version)},
	} {
		if field.value != 0 {
			fmt.Fprintf(&b, " %s=%.0f", field.name, field.value)
		}
	}
	return b.String()
}

// deadlineText is how Go words the end of a time limit.
const deadlineText = "context deadline exceeded"

// cause says why the request ended as it did: the last failure of its deepest call, or of its own.
func cause(requestID string, lines []Line) string {
	var end, deepest, late *Line
	for i := range lines {
		l := &lines[i]
		if l.Request == requestID && (l.Event == "refused" || l.Event == "ended" || l.Event == "answered") {
			end = l
		}
		isFailure := l.Event == "refused" || l.Event == "ended" || l.Event == "gate" || l.Event == "attempt"
		if isFailure && isDeeper(l, deepest) {
			deepest = l
		}
		if l.isLate() && isDeeper(l, late) {
			late = l
		}
	}
	switch {
	case end != nil && end.Event == "refused" && end.Why == "overload":
		return fmt.Sprintf("refused at its root: %.0f%% of the route's requests could begin, since %s is full by a plan %.0f ms old",
			100*end.Fraction, cmp.Or(end.Full, "a service"), end.PlanAge)
	case end != nil && end.Event == "refused":
		return "refused, has not run: " + end.Why
	case end != nil && late != nil:
		return fmt.Sprintf("its time was over: %s to %s began with %.0f ms left", late.name(requestID), late.To, late.Elapsed+late.Left)
	case end != nil && deepest != nil && deepest.Request != requestID:
		return fmt.Sprintf("its %s to %s ended with %s", deepest.name(requestID), cmp.Or(deepest.To, targetOf(deepest.Request, lines)),
			cmp.Or(deepest.Why, deepest.Cause, deepest.Result))
	case end != nil && end.Event == "ended" && end.NoRepeat != "":
		return cmp.Or(end.Cause, end.Why) + "; not sent once more: " + end.NoRepeat
	case end != nil && end.Event == "ended":
		return cmp.Or(end.Cause, end.Why)
	case end != nil:
		return fmt.Sprintf("the backend server answered with status %d", end.Status)
	}
	return "no line tells its end; read the log of the client's node"
}

// isLate reports whether the time of a request was over before its backend server had completed it.
func (l *Line) isLate() bool {
	isTimeout := l.Event == "answered" && l.Status == http.StatusGatewayTimeout
	return l.To != "" && (isTimeout || l.Why == deadlineText || l.Cause == deadlineText)
}

// isDeeper reports whether a line is about a call at least as deep as that of another line, which may be nil.
func isDeeper(l, than *Line) bool {
	return than == nil || strings.Count(l.Request, ".") >= strings.Count(than.Request, ".")
}

// name returns "the request" or "call" with the rest of its identifier.
func (l *Line) name(requestID string) string {
	if call := strings.TrimPrefix(l.Request, requestID); call != "" {
		return "call " + call
	}
	return "the request"
}

// targetOf returns the service that another line names for a call.
func targetOf(id string, lines []Line) string {
	for i := range lines {
		if lines[i].Request == id && lines[i].To != "" {
			return lines[i].To
		}
	}
	return "an unnamed service"
}
