package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/sapphiretack/sapphiretack/request"
)

// Report holds the outcomes of the requests by class.
type Report struct {
	Seconds float64                 `json:"seconds"` // time during which requests were started
	Classes map[string]*ClassReport `json:"classes"`
	// Unanswered counts by reason the sends whose outcome is not answered, and the requests for which no session could be
	// opened.
	Unanswered map[string]int `json:"refused"`

	mu sync.Mutex
}

// ClassReport holds the counts and latencies of the requests of one class.
type ClassReport struct {
	Offered   int `json:"offered"`
	Completed int `json:"completed"` // got a complete and correct response
	NotRun    int `json:"not_run"`
	Failed    int `json:"failed"`
	Unknown   int `json:"unknown"`
	Wrong     int `json:"wrong"` // got the outcome answered with a response that is incomplete or not the one to the request
	Sends     int `json:"sends"`

	latencies []time.Duration // of completed requests
}

func newReport(d time.Duration) *Report {
	return &Report{Seconds: d.Seconds(), Classes: map[string]*ClassReport{}, Unanswered: map[string]int{}}
}

// addSend counts one send and its reply.
func (r *Report) addSend(k Kind, rep reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.class(k).Sends++
	if rep.outcome != request.Answered {
		r.Unanswered[rep.reason]++
	}
}

// add counts a request with its final outcome.
func (r *Report) add(k Kind, rep reply, sends int, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.class(k)
	c.Offered++
	switch {
	case rep.isWrong:
		c.Wrong++
	case rep.outcome == request.Answered:
		c.Completed++
		c.latencies = append(c.latencies, latency)
	case rep.outcome == request.NotRun:
		c.NotRun++
	case rep.outcome == request.Failed:
		c.Failed++
	default:
		c.Unknown++
	}
	if sends == 0 {
		r.Unanswered[rep.reason]++
	}
}

func (r *Report) class(k Kind) *ClassReport {
	c := r.Classes[k.Class]
	if c == nil {
		c = &ClassReport{}
		r.Classes[k.Class] = c
	}
	return c
}

// Goodput returns the completed requests per second of a class.
func (r *Report) Goodput(class string) float64 {
	c := r.Classes[class]
	if c == nil || r.Seconds == 0 {
		return 0
	}
	return float64(c.Completed) / r.Seconds
}

// Latency returns a quantile, from 0 to 1, of the time from the start of a request to its completion, including resends.
func (c *ClassReport) Latency(quantile float64) time.Duration {
	if len(c.latencies) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(c.latencies))
	return sorted[int(quantile*float64(len(sorted)-1))]
}

// Write prints the report as a table.
func (r *Report) Write(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "class\toffered\tcompleted\tgoodput/s\tnot_run\tfailed\tunknown\twrong\tresends\tp50\tp99\t")
	for _, name := range r.classNames() {
		c := r.Classes[name]
		fmt.Fprintf(w, "%s\t%d\t%d\t%.1f\t%d\t%d\t%d\t%d\t%d\t%v\t%v\t\n",
			name, c.Offered, c.Completed, r.Goodput(name), c.NotRun, c.Failed, c.Unknown, c.Wrong, max(0, c.Sends-c.Offered),
			c.Latency(0.5).Round(time.Millisecond/10), c.Latency(0.99).Round(time.Millisecond/10))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	reasons := make([]string, 0, len(r.Unanswered))
	for _, reason := range slices.Sorted(maps.Keys(r.Unanswered)) {
		reasons = append(reasons, fmt.Sprintf("%s %d", reason, r.Unanswered[reason]))
	}
	if len(reasons) == 0 {
		reasons = append(reasons, "none")
	}
	_, err := fmt.Fprintln(out, "sends without an answer, by reason: "+strings.Join(reasons, ", "))
	return err
}

// classNames returns the known classes in the order of importance, followed by the others in alphabetical order.
func (r *Report) classNames() []string {
	rank := func(name string) int {
		if class, err := request.ParseClass(name); err == nil {
			return int(class)
		}
		return request.ClassCount
	}
	names := slices.Sorted(maps.Keys(r.Classes))
	slices.SortStableFunc(names, func(a, b string) int { return rank(a) - rank(b) })
	return names
}
