package route

import "github.com/sapphiretack/sapphiretack/request"

// pathLevel is the lowest admission level on the path below an operation, as responses report it.
type pathLevel struct {
	// In units of 1/levelUnit, so that small steps are not lost.
	average  uint32
	reported request.Instant
}

const (
	levelUnit = 256
	// A report moves the level by a quarter of the difference. Responses come from different instances, and one overloaded instance of several
	// lowers the level only by its share of the responses.
	levelWeight = 4
	// maxPaths bounds the memory for levels; 74 services with about 50 operations each need 3,700.
	maxPaths = 4096
)

// ObserveLevel records the lowest level on the path of an operation, as a response or a refusal from further down reported it.
func (t *Table) ObserveLevel(now request.Instant, service request.ServiceID, op request.Operation, level request.Priority) {
	k := path{service: service, operation: op}
	l := t.paths[k]
	if l == nil {
		if len(t.paths) >= maxPaths {
			t.forgetLevels(now)
		}
		if len(t.paths) >= maxPaths {
			return
		}
		l = new(pathLevel)
		t.paths[k] = l
	}
	reported := uint32(min(level, request.MaxPriority)) * levelUnit
	if !t.isCurrent(now, l) {
		l.average = uint32(request.MaxPriority) * levelUnit
	}
	l.average = l.average - l.average/levelWeight + reported/levelWeight
	l.reported = now
}

// Level returns the level of the path of an operation; requests at or above it are shed at the first node.
func (t *Table) Level(now request.Instant, service request.ServiceID, op request.Operation) request.Priority {
	l := t.paths[path{service: service, operation: op}]
	if l == nil || !t.isCurrent(now, l) {
		return request.MaxPriority
	}
	return request.Priority((l.average + levelUnit/2) / levelUnit)
}

// Shed reports whether the first node refuses a request because its path would; a small share goes on as probes.
func (t *Table) Shed(now request.Instant, service request.ServiceID, op request.Operation, p request.Priority) bool {
	return p >= t.Level(now, service, op) && t.random.Float64() >= t.settings.ProbeShare
}

func (t *Table) isCurrent(now request.Instant, l *pathLevel) bool {
	return l.reported != 0 && now.Sub(l.reported) <= t.settings.ReportLife
}

func (t *Table) forgetLevels(now request.Instant) {
	for k, l := range t.paths {
		if !t.isCurrent(now, l) {
			delete(t.paths, k)
		}
	}
}
