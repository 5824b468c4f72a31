package node

import (
	"time"

	"github.com/sapphiretack/sapphiretack/request"
)

// clock measures monotonic time since the start of the process.
type clock struct {
	start time.Time
}

func (c clock) now() request.Instant { return request.Instant(time.Since(c.start)) }

func (c clock) instantOf(t time.Time) request.Instant { return request.Instant(t.Sub(c.start)) }
