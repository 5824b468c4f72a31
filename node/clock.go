package node

import (
	"time"

	"github.com/sapphiretack/sapphiretack/request"
)

// clock tells the monotonic time since the process started.
type clock struct {
	start time.Time
}

func (c clock) now() request.Instant { return request.Instant(time.Since(c.start)) }

func (c clock) at(t time.Time) request.Instant { return request.Instant(t.Sub(c.start)) }
