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

// prefix is the namespace of all exported metric names, to distinguish them from those of other programs.
const prefix = "sapphiretack_"

// ContentType is the content type of the Prometheus text format.
const ContentType = "text/plain; version=0.0.4; charset=utf-8"

var quantiles = []float64{0.5, 0.9, 0.99}

// Name returns the registry name of a metric with labels, which are given as alternating keys and values.
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

// Handler returns an HTTP handler that serves the metrics of the registry.
func Handler(r metrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", ContentType)
		// The error cannot be reported to a scraper that has closed the connection.
		_ = Write(w, r)
	})
}

// Write writes the counters, gauges, histograms and timers of the registry, sorted by name, and returns the first write
// error. Metrics of other types are skipped.
func Write(w io.Writer, r metrics.Registry) error {
	byName := map[string]any{}
	r.Each(func(name string, m any) { byName[name] = m })
	names := make([]string, 0, len(byName))
	for name := range byName {
		names = append(names, name)
	}
	slices.Sort(names)
	b := bufio.NewWriter(w)
	lastFamily := ""
	for _, name := range names {
		family, labels := splitName(name)
		typeName := metricType(byName[name])
		if typeName == "" {
			continue
		}
		if family != lastFamily {
			fmt.Fprintf(b, "# TYPE %s%s %s\n", prefix, family, typeName)
			lastFamily = family
		}
		writeMetric(b, family, labels, byName[name])
	}
	return b.Flush()
}

func metricType(m any) string {
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

func writeMetric(w io.Writer, family, labels string, m any) {
	switch m := m.(type) {
	case metrics.Counter:
		fmt.Fprintf(w, "%s%s%s %d\n", prefix, family, formatLabels(labels), m.Count())
	case metrics.Gauge:
		fmt.Fprintf(w, "%s%s%s %d\n", prefix, family, formatLabels(labels), m.Value())
	case metrics.GaugeFloat64:
		fmt.Fprintf(w, "%s%s%s %g\n", prefix, family, formatLabels(labels), m.Value())
	case metrics.Histogram:
		s := m.Snapshot()
		writeSummary(w, family, labels, s.Percentiles(quantiles), s.Count(), float64(s.Sum()))
	case metrics.Timer:
		s := m.Snapshot()
		writeSummary(w, family, labels, s.Percentiles(quantiles), s.Count(), float64(s.Sum()))
	}
}

func writeSummary(w io.Writer, family, labels string, values []float64, count int64, sum float64) {
	for i, q := range quantiles {
		label := fmt.Sprintf("quantile=%q", fmt.Sprint(q))
		if labels != "" {
			label = labels + "," + label
		}
		fmt.Fprintf(w, "%s%s%s %g\n", prefix, family, formatLabels(label), values[i])
	}
	fmt.Fprintf(w, "%s%s_sum%s %g\n", prefix, family, formatLabels(labels), sum)
	fmt.Fprintf(w, "%s%s_count%s %d\n", prefix, family, formatLabels(labels), count)
}

func splitName(name string) (family, labels string) {
	family, labels, _ = strings.Cut(name, "{")
	return family, strings.TrimSuffix(labels, "}")
}

func formatLabels(labels string) string {
	if labels == "" {
		return ""
	}
	return "{" + labels + "}"
}
