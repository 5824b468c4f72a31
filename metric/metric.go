package metric

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// prefix starts each exported name, so that a scraper can tell the product's metrics from others.
const prefix = "sapphiretack_"

// ContentType is the content type of the Prometheus text format.
const ContentType = "text/plain; version=0.0.4; charset=utf-8"

var quantiles = []float64{0.5, 0.9, 0.99}

// Name joins a metric name and label pairs (key, value, key, value) to a registry key.
func Name(name string, labels ...string) string {
	if len(labels) == 0 {
		return name
	}
	var b strings.Builder
	b.WriteString(name)
	for i := 0; i+1 < len(labels); i += 2 {
		separator := ","
		if i == 0 {
			separator = "{"
		}
		fmt.Fprintf(&b, "%s%s=%q", separator, labels[i], labels[i+1])
	}
	b.WriteByte('}')
	return b.String()
}

// Handler serves the registry to scrapers.
func Handler(r metrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", ContentType)
		// A scraper that goes away cannot be told of the error.
		_ = Write(w, r)
	})
}

// Write writes all metrics of the registry, sorted by name, and returns the first write error.
func Write(w io.Writer, r metrics.Registry) error {
	all := map[string]any{}
	r.Each(func(name string, m any) { all[name] = m })
	names := make([]string, 0, len(all))
	for name := range all {
		names = append(names, name)
	}
	slices.Sort(names)
	b := bufio.NewWriter(w)
	typed := ""
	for _, name := range names {
		base, labels := split(name)
		kind := kindOf(all[name])
		if kind == "" {
			continue
		}
		if base != typed {
			fmt.Fprintf(b, "# TYPE %s%s %s\n", prefix, base, kind)
			typed = base
		}
		writeMetric(b, base, labels, all[name])
	}
	return b.Flush()
}

func kindOf(m any) string {
	switch m.(type) {
	case metrics.Counter:
		return "counter"
	case metrics.Gauge, metrics.GaugeFloat64:
		return "gauge"
	case metrics.Histogram, metrics.Timer:
		return "summary"
	}
	return ""
}

func writeMetric(w io.Writer, base, labels string, m any) {
	switch m := m.(type) {
	case metrics.Counter:
		fmt.Fprintf(w, "%s%s%s %d\n", prefix, base, braces(labels), m.Count())
	case metrics.Gauge:
		fmt.Fprintf(w, "%s%s%s %d\n", prefix, base, braces(labels), m.Value())
	case metrics.GaugeFloat64:
		fmt.Fprintf(w, "%s%s%s %g\n", prefix, base, braces(labels), m.Value())
	case metrics.Histogram:
		s := m.Snapshot()
		writeSummary(w, base, labels, s.Percentiles(quantiles), s.Count(), float64(s.Sum()))
	case metrics.Timer:
		s := m.Snapshot()
		writeSummary(w, base, labels, s.Percentiles(quantiles), s.Count(), float64(s.Sum()))
	}
}

func writeSummary(w io.Writer, base, labels string, values []float64, count int64, sum float64) {
	for i, q := range quantiles {
		label := fmt.Sprintf("quantile=%q", fmt.Sprint(q))
		if labels != "" {
			label = labels + "," + label
		}
		fmt.Fprintf(w, "%s%s%s %g\n", prefix, base, braces(label), values[i])
	}
	fmt.Fprintf(w, "%s%s_sum%s %g\n", prefix, base, braces(labels), sum)
	fmt.Fprintf(w, "%s%s_count%s %d\n", prefix, base, braces(labels), count)
}

func split(name string) (base, labels string) {
	base, labels, _ = strings.Cut(name, "{")
	return base, strings.TrimSuffix(labels, "}")
}

func braces(labels string) string {
	if labels == "" {
		return ""
	}
	return "{" + labels + "}"
}
