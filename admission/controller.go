package admission

import (
	"time"

	"github.com/sapphiretack/sapphiretack/request"
)

// Defaults of Settings.
const (
	DefaultInterval       = 250 * time.Millisecond // control interval of design section 4.14
	DefaultServiceTime    = 10 * time.Millisecond  // corrected by the first interval that has completions
	DefaultTombstoneTime  = 300 * time.Second      // longer than the longest deadline, 60 s
	DefaultTombstoneLimit = 1 << 16                // about 4 MB of entries
	DefaultFinishedLimit  = 1 << 12                // under 1 s of completions at 4,000 a second
)

// queuePerSlot bounds the queue at twice the service time of a full backend
// server: the queue must outlast a surge of one control interval only by
// eviction, and a longer queue adds delay to each call.
const queuePerSlot = 2

// Settings configures a Controller; only Slots has no default.
type Settings struct {
	// Slots is the number of attempts that the backend server declares to run at once.
	Slots int
	// QueueLimit bounds the queue; the default is twice Slots.
	QueueLimit int
	// OverflowLimit bounds the queue while essential attempts cannot be refused for load; the default is 65,536.
	OverflowLimit int
	// Interval is the control interval.
	Interval time.Duration
	// ServiceTime is the total time of an attempt that is assumed before any was measured.
	ServiceTime time.Duration
	// Ramp is the time in which the limit rises to Slots after a start; 0 turns the ramp off.
	Ramp           time.Duration
	TombstoneTime  time.Duration
	TombstoneLimit int
	FinishedLimit  int
}

func (s Settings) withDefaults() Settings {
	s.Slots = max(s.Slots, 1)
	setDefault(&s.QueueLimit, queuePerSlot*s.Slots)
	setDefault(&s.OverflowLimit, 1<<16)
	setDefault(&s.Interval, DefaultInterval)
	setDefault(&s.ServiceTime, DefaultServiceTime)
	setDefault(&s.TombstoneTime, DefaultTombstoneTime)
	setDefault(&s.TombstoneLimit, DefaultTombstoneLimit)
	setDefault(&s.FinishedLimit, DefaultFinishedLimit)
	return s
}

func setDefault[T int | time.Duration](v *T, d T) {
	if *v == 0 {
		*v = d
	}
}

// Controller decides for one backend server; it is not safe for concurrent use.
type Controller struct {
	settings Settings
	table    table

	waiting queue
	// suspects holds the suspects that wait, apart from waiting, so that a
	// blocked suspect does not block others.
	suspects       queue
	running        int
	suspectRunning bool

	memory   memory
	limit    limiter
	level    leveller
	draining bool
	drained  bool

	// bulkAdmitted and bulkClosed keep load refusals of essential attempts and
	// admissions of bulk attempts one control interval apart.
	bulkAdmitted request.Instant
	bulkClosed   request.Instant
	// overflow is set while the queue is longer than its limit.
	overflow bool

	pending []effect
}

// longAgo is before any instant that a caller passes.
const longAgo = request.Instant(-1 << 62)

// New returns a controller whose backend server starts now.
func New(s Settings, now request.Instant) *Controller {
	s = s.withDefaults()
	return &Controller{
		settings:     s,
		table:        newTable(),
		memory:       newMemory(s),
		limit:        newLimiter(s, now),
		level:        newLeveller(now),
		bulkAdmitted: longAgo,
		bulkClosed:   longAgo,
	}
}
