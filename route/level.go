package route

import "github.com/sapphiretack/sapphiretack/request"

// pathLevel is the moving average of the lowest admission level on the path below an operation, as reported with responses.
type pathLevel struct {
	// average is in units of 1/levelUnit, which keeps changes of less than one priority.
	average    uint32
	reportedAt request.Instant
}

const (
	levelUnit = 256
	// levelSmoothing is the inverse weight of a report in the moving average: each one moves it by a quarter of the difference. Responses come from
	// different instances, so one overloaded instance of several lowers the average only by its share of the responses.
	levelSmoothing = 4
	// maxPaths limits the memory for levels by the number of operations that have one; 74 services with about 50 operations each need 3,700.
	maxPaths = 4096
)

// RecordLevel records the lowest admission level on the path of an operation, as reported by a response or a refusal.
func (t *Table) RecordLevel(now request.Instant, service request.ServiceID, op request.Operation, level request.Priority) {
	k := pathKey{service: service, operation: op}
	l := t.paths[k]
	if l == nil {
		if len(t.paths) >= maxPaths {
			t.expireLevels(now)
		}
		if len(t.paths) >= maxPaths {
			return
		}
		l = new(pathLevel)
		t.paths[k] = l
	}
	reported := uint32(min(level, request.PriorityCount)) * levelUnit
	if !t.isCurrent(now, l) {
		l.average = uint32(request.PriorityCount) * levelUnit
	}
	l.average = l.average - l.average/levelSmoothing + reported/levelSmoothing
	l.reportedAt = now
}

// Level returns the admission level of the path of an operation, or request.PriorityCount without a recent report; the first node sheds requests at or above it.
func (t *Table) Level(now request.Instant, service request.ServiceID, op request.Operation) request.Priority {
	l := t.paths[pathKey{service: service, operation: op}]
	if l == nil || !t.isCurrent(now, l) {
		return request.PriorityCount
	}
	return request.Priority((l.average + levelUnit/2) / levelUnit)
}

// Shed reports whether the first node refuses a request that its path would refuse; a share of ProbeShare passes, to detect that the level has risen.
func (t *Table) Shed(now request.Instant, service request.ServiceID, op request.Operation, p request.Priority) bool {
	return p >= t.Level(now, service, op) && t.random.Float64() >= t.settings.ProbeShare
}

func (t *Table) isCurrent(now request.Instant, l *pathLevel) bool {
	return l.reportedAt != 0 && now.Sub(l.reportedAt) <= t.settings.ReportTTL
}

func (t *Table) expireLevels(now request.Instant) {
	for k, l := range t.paths {
		if !t.isCurrent(now, l) {
			delete(t.paths, k)
		}
	}
}
