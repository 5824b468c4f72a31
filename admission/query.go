package admission

import (
	"time"

	"github.com/sapphiretack/sapphiretack/request"
)

// Load is the load that a destination reports to its sources with each response; InFlight, Queued and Limit are numbers of
// attempts.
type Load struct {
	Level    request.Priority
	InFlight int
	Queued   int
	Limit    int
}

// Level returns the priority below which attempts are admitted, at most request.PriorityCount.
func (c *Controller) Level() request.Priority { return c.levels.current }

// Load returns the level and the current occupancy of the slots and the queues.
func (c *Controller) Load() Load {
	return Load{Level: c.levels.current, InFlight: c.running, Queued: c.queued(), Limit: c.limiter.limit}
}

// ServiceTime returns the estimated mean time that an attempt spends at the backend server.
func (c *Controller) ServiceTime() time.Duration { return c.limiter.serviceTime }

// Running returns the number of attempts that run at the backend server.
func (c *Controller) Running() int { return c.running }

// Draining reports whether new attempts are refused because the instance is leaving.
func (c *Controller) Draining() bool { return c.draining }

func (c *Controller) queued() int { return c.waiting.length + c.suspects.length }

// expectedWait estimates the queueing delay of a new attempt with the given priority.
func (c *Controller) expectedWait(now request.Instant, p request.Priority) time.Duration {
	ahead := c.waiting.countAhead(p)
	if ahead == 0 {
		return 0
	}
	return time.Duration(ahead) * c.limiter.serviceTime / time.Duration(c.limiter.limitAt(now))
}

// isProtected reports whether an essential attempt must not be refused for load because a bulk attempt was admitted within
// the last control interval.
func (c *Controller) isProtected(now request.Instant, p request.Priority) bool {
	return p.Class() == request.Essential && now.Sub(c.bulkAdmittedAt) <= c.settings.Interval
}

func (c *Controller) isBulkRefused(now request.Instant) bool {
	return now.Sub(c.bulkRefusedAt) <= c.settings.Interval
}
