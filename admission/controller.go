package admission

import (
	"time"

	"github.com/sapphiretack/sapphiretack/request"
)

// Defaults of Settings.
const (
	DefaultInterval       = 250 * time.Millisecond // control interval from section 4.14 of the design
	DefaultServiceTime    = 10 * time.Millisecond  // replaced by measurements after the first completions
	DefaultTombstoneTTL   = 300 * time.Second      // exceeds the longest deadline, 60 s
	DefaultTombstoneLimit = 1 << 16                // about 4 MB of entries
	DefaultFinishedLimit  = 1 << 12                // about 1 s of completions at 4,000 per second
)

// queuePerSlot is the queue limit per slot. It bounds the queueing delay at about
// twice the service time. Eviction covers a surge until the level falls after one
// control interval; a longer queue would add latency to every call.
const queuePerSlot = 2

// Settings configures a Controller; a zero field other than Slots and WarmUp selects its default.
type Settings struct {
	// Slots is the number of attempts that the backend server declares it can run concurrently, at least 1.
	Slots int
	// QueueLimit is the maximum length of each queue, in attempts; the default is twice Slots.
	QueueLimit int
	// OverflowLimit is the maximum number of queued attempts while essential ones are protected from load refusals; the default
	// is 65,536.
	OverflowLimit int
	// Interval is the control interval, after which the level and the limit are recomputed.
	Interval time.Duration
	// ServiceTime is the initial estimate of the time that an attempt occupies a slot.
	ServiceTime time.Duration
	// WarmUp is the length of the warm-up, over which the limit rises to its full value after the backend server starts;
	// 0 disables the warm-up.
	WarmUp time.Duration
	// TombstoneTTL is how long tombstones, and the watermarks of evicted finished attempts, are kept.
	TombstoneTTL time.Duration
	// TombstoneLimit is the maximum number of tombstones; no withdrawal creates one beyond it.
	TombstoneLimit int
	// FinishedLimit is the maximum number of finished attempts that are recorded one by one.
	FinishedLimit int
}

func (s Settings) withDefaults() Settings {
	s.Slots = max(s.Slots, 1)
	setDefault(&s.QueueLimit, queuePerSlot*s.Slots)
	setDefault(&s.OverflowLimit, 1<<16)
	setDefault(&s.Interval, DefaultInterval)
	setDefault(&s.ServiceTime, DefaultServiceTime)
	setDefault(&s.TombstoneTTL, DefaultTombstoneTTL)
	setDefault(&s.TombstoneLimit, DefaultTombstoneLimit)
	setDefault(&s.FinishedLimit, DefaultFinishedLimit)
	return s
}

func setDefault[T int | time.Duration](v *T, d T) {
	if *v == 0 {
		*v = d
	}
}

// Controller performs admission control for one backend server; it is not safe for concurrent use.
type Controller struct {
	settings Settings
	table    table

	waiting queue
	// suspects queues suspect attempts (Arrive.Suspect), of which one runs at a
	// time. They are not in waiting, so that a blocked suspect does not delay other attempts.
	suspects       queue
	running        int
	suspectRunning bool

	history  history
	limiter  limiter
	levels   levelController
	draining bool
	drained  bool

	// bulkAdmittedAt is the time of the last admission of a bulk attempt, and
	// bulkRefusedAt the start of the last interval that refuses them. They keep
	// load refusals of essential attempts and admissions of bulk attempts at
	// least one control interval apart.
	bulkAdmittedAt request.Instant
	bulkRefusedAt  request.Instant
	// overflow is set while a queue may exceed its limit.
	overflow bool

	pending []pendingAction
}

// distantPast is before every instant that the driver passes.
const distantPast = request.Instant(-1 << 62)

// New returns a controller for a backend server that starts at now.
func New(s Settings, now request.Instant) *Controller {
	s = s.withDefaults()
	return &Controller{
		settings:       s,
		table:          newTable(),
		history:        newHistory(s),
		limiter:        newLimiter(s, now),
		levels:         newLevelController(now),
		bulkAdmittedAt: distantPast,
		bulkRefusedAt:  distantPast,
	}
}
