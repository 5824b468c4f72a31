package metric_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"

	"github.com/sapphiretack/sapphiretack/metric"
)

// TestWrite guards against output that a scraper rejects: unsorted metric families, missing labels or missing TYPE
// lines.
func TestWrite(t *testing.T) {
	r := metrics.NewRegistry()
	metrics.GetOrRegisterCounter(metric.Name("calls_total", "class", "bulk", "outcome", "not_run"), r).Inc(3)
	metrics.GetOrRegisterCounter(metric.Name("calls_total", "class", "essential", "outcome", "answered"), r).Inc(2)
	metrics.GetOrRegisterGauge("level", r).Update(768)
	h := metrics.GetOrRegisterHistogram("added_ns", r, metrics.NewUniformSample(8))
	h.Update(5)
	var b strings.Builder
	qt.Assert(t, metric.Write(&b, r), qt.IsNil)
	qt.Assert(t, b.String(), qt.Equals, `# TYPE sapphiretack_added_ns summary
sapphiretack_added_ns{quantile="0.5"} 5
sapphiretack_added_ns{quantile="0.9"} 5
sapphiretack_added_ns{quantile="0.99"} 5
sapphiretack_added_ns_sum 5
sapphiretack_added_ns_count 1
# TYPE sapphiretack_calls_total counter
sapphiretack_calls_total{class="bulk",outcome="not_run"} 3
sapphiretack_calls_total{class="essential",outcome="answered"} 2
# TYPE sapphiretack_level gauge
sapphiretack_level 768
`)
}
