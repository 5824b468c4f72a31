// Package metric exports a go-metrics registry in the Prometheus text format.
//
// The registered name of a metric may include labels, which go-metrics does not
// support itself; Name builds such a name:
//
//	r := metrics.NewRegistry()
//	metrics.GetOrRegisterCounter(metric.Name("calls_total", "class", "bulk"), r).Inc(1)
//	metric.Write(w, r) // writes sapphiretack_calls_total{class="bulk"} 1
package metric
