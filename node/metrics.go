package node

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/sapphiretack/sapphiretack/metric"
	"github.com/sapphiretack/sapphiretack/request"
)

const (
	// sampleSize keeps the rank error of the 99th percentile within one percent.
	sampleSize = 1028
	// sampleDecay weights the sample towards the last five minutes, as the metrics library recommends.
	sampleDecay  = 0.015
	outcomeCount = int(request.Failed) + 1
	reasonCount  = int(request.LimitReached) + 1
)

// metricSet holds the node's metrics, so that calls do not look them up in the registry.
type metricSet struct {
	registry        metrics.Registry
	requests        [request.ClassCount][outcomeCount]metrics.Counter
	latency         [request.ClassCount]metrics.Histogram
	attemptsServed  [outcomeCount]metrics.Counter
	attemptsRefused [reasonCount]metrics.Counter
	requestsEnded   [reasonCount]metrics.Counter
	attempts        metrics.Counter
	retries         metrics.Counter
	crashes         metrics.Counter
	ownTime         metrics.Histogram
	level           metrics.Gauge
	inFlight        metrics.Gauge
	queued          metrics.Gauge
	limit           metrics.Gauge
	members         metrics.Gauge
	version         metrics.Gauge
	health          metrics.Gauge
}

func newMetricSet() *metricSet {
	r := metrics.NewRegistry()
	m := &metricSet{
		registry: r,
		attempts: metrics.GetOrRegisterCounter("attempts_total", r),
		retries:  metrics.GetOrRegisterCounter("retries_total", r),
		crashes:  metrics.GetOrRegisterCounter("backend_crashes_seen_total", r),
		ownTime:  newHistogram("backend_own_time_ns", r),
		level:    metrics.GetOrRegisterGauge("admission_level", r),
		inFlight: metrics.GetOrRegisterGauge("admission_in_flight", r),
		queued:   metrics.GetOrRegisterGauge("admission_queued", r),
		limit:    metrics.GetOrRegisterGauge("admission_limit", r),
		members:  metrics.GetOrRegisterGauge("members", r),
		version:  metrics.GetOrRegisterGauge("configuration_version", r),
		health:   metrics.GetOrRegisterGauge("membership_health", r), // 0 is healthy
	}
	for c := range request.Class(request.ClassCount) {
		m.latency[c] = newHistogram(metric.Name("request_time_ns", "class", c.String()), r)
		for o := range request.Outcome(outcomeCount) {
			m.requests[c][o] = metrics.GetOrRegisterCounter(metric.Name("requests_total", "class", c.String(), "outcome", o.String()), r)
		}
	}
	for o := range request.Outcome(outcomeCount) {
		m.attemptsServed[o] = metrics.GetOrRegisterCounter(metric.Name("attempts_served_total", "outcome", o.String()), r)
	}
	for reason := range request.Reason(reasonCount) {
		m.attemptsRefused[reason] = metrics.GetOrRegisterCounter(metric.Name("attempts_refused_total", "reason", reason.String()), r)
		m.requestsEnded[reason] = metrics.GetOrRegisterCounter(metric.Name("requests_ended_total", "reason", reason.String()), r)
	}
	return m
}

func newHistogram(name string, r metrics.Registry) metrics.Histogram {
	return metrics.GetOrRegisterHistogram(name, r, metrics.NewExpDecaySample(sampleSize, sampleDecay))
}

// recordRequest records the result of a caller's request, and the time that it took if it was answered.
func (m *metricSet) recordRequest(c request.Class, r result, took time.Duration) {
	m.requests[c][r.outcome].Inc(1)
	m.requestsEnded[r.reason].Inc(1)
	m.attempts.Inc(int64(r.attempts))
	if r.attempts > 1 {
		m.retries.Inc(int64(r.attempts - 1))
	}
	if r.outcome == request.Answered {
		m.latency[c].Update(int64(took))
	}
}
