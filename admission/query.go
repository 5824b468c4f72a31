package admission

import (
	"time"

	"github.com/sapphiretack/sapphiretack/request"
)

// Load is what a destination tells its sources with each response.
type Load struct {
	Level    request.Priority
	InFlight int
	Queued   int
	Limit    int
}

// Level returns the priority below which attempts are admitted, at most request.MaxPriority.
func (c *Controller) Level() request.Priority { return c.level.level }

// Load returns the level and the present use of slots and queue.
func (c *Controller) Load() Load {
	return Load{Level: c.level.level, InFlight: c.running, Queued: c.queued(), Limit: c.limit.limit}
}

// ServiceTime returns the measured mean total time of an attempt at the backend server.
func (c *Controller) ServiceTime() time.Duration { return c.limit.total }

// Running returns the number of attempts at the backend server.
func (c *Controller) Running() int { return c.running }

// Draining reports whether new attempts are refused because the instance leaves.
func (c *Controller) Draining() bool { return c.draining }

func (c *Controller) queued() int { return c.waiting.length + c.suspects.length }

// expectedWait estimates the time in the queue of a new attempt with the given priority.
func (c *Controller) expectedWait(now request.Instant, p request.Priority) time.Duration {
	ahead := c.waiting.ahead(p)
	if ahead == 0 {
		return 0
	}
	return time.Duration(ahead) * c.limit.total / time.Duration(c.limit.at(now))
}

// isProtected reports whether an attempt must not be refused for load because bulk was admitted too recently.
func (c *Controller) isProtected(now request.Instant, p request.Priority) bool {
	return p.Class() == request.Essential && now.Sub(c.bulkAdmitted) <= c.settings.Interval
}

func (c *Controller) isBulkClosed(now request.Instant) bool {
	return now.Sub(c.bulkClosed) <= c.settings.Interval
}
