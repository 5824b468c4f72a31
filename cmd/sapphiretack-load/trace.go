package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"
)

// span holds the printed fields of an exported span.
type span struct {
	Name        string
	SpanContext spanContext
	Parent      spanContext
	StartTime   time.Time
	EndTime     time.Time
	Attributes  []attribute
	Resource    []attribute
}

type spanContext struct {
	TraceID string
	SpanID  string
}

type attribute struct {
	Key   string
	Value struct{ Value any }
}

func (s span) resourceAttribute(key string) string {
	for _, a := range s.Resource {
		if a.Key == key {
			return fmt.Sprint(a.Value.Value)
		}
	}
	return ""
}

// printTrace prints the trace with the most spans.
func printTrace(files []string) error {
	traces := map[string][]span{}
	for _, file := range files {
		spans, err := readSpans(file)
		if err != nil {
			return err
		}
		for _, s := range spans {
			traces[s.SpanContext.TraceID] = append(traces[s.SpanContext.TraceID], s)
		}
	}
	longest := ""
	for id, spans := range traces {
		count, longestCount := len(spans), len(traces[longest])
		if count > longestCount || (count == longestCount && id < longest) {
			longest = id
		}
	}
	if longest == "" {
		return errors.New("the files contain no spans; raise trace.sample_ratio or send more requests")
	}
	fmt.Printf("trace %s, %d spans\n", longest, len(traces[longest]))
	writeTrace(os.Stdout, traces[longest])
	return nil
}

func readSpans(path string) ([]span, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var spans []span
	decoder := json.NewDecoder(f)
	// Keep integers exact; they would become floating-point numbers.
	decoder.UseNumber()
	for {
		var s span
		err := decoder.Decode(&s)
		// The last span of a killed node can be incomplete.
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return spans, nil
		}
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		spans = append(spans, s)
	}
}

// writeTrace prints the spans as a tree, ordered by start time. Spans without a known parent are roots.
func writeTrace(w io.Writer, spans []span) {
	slices.SortFunc(spans, func(a, b span) int { return a.StartTime.Compare(b.StartTime) })
	ids := map[string]bool{}
	children := map[string][]span{}
	for _, s := range spans {
		ids[s.SpanContext.SpanID] = true
	}
	var roots []span
	for _, s := range spans {
		if ids[s.Parent.SpanID] {
			children[s.Parent.SpanID] = append(children[s.Parent.SpanID], s)
		} else {
			roots = append(roots, s)
		}
	}
	for _, s := range roots {
		writeSpan(w, s, children, spans[0].StartTime, 0)
	}
}

func writeSpan(w io.Writer, s span, children map[string][]span, start time.Time, depth int) {
	var attributes []string
	for _, a := range s.Attributes {
		attributes = append(attributes, fmt.Sprintf("%s=%v", a.Key, a.Value.Value))
	}
	fmt.Fprintf(w, "%8.2f ms %8.2f ms  %s%s at %s (%s) %s\n",
		float64(s.StartTime.Sub(start))/float64(time.Millisecond), float64(s.EndTime.Sub(s.StartTime))/float64(time.Millisecond),
		strings.Repeat("  ", depth), s.Name, s.resourceAttribute("service.instance.id"), s.resourceAttribute("cloud.availability_zone"), strings.Join(attributes, " "))
	for _, child := range children[s.SpanContext.SpanID] {
		writeSpan(w, child, children, start, depth+1)
	}
}
