// Package metric exports a go-metrics registry in the Prometheus text format.
//
// A metric's registered name may end in labels, since go-metrics has none of
// its own:
//
//	r := metrics.NewRegistry()
//	metrics.GetOrRegisterCounter(`calls_total{class="bulk"}`, r).Inc(1)
//	metric.Write(w, r) // sapphiretack_calls_total{class="bulk"} 1
package metric
