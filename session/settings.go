package session

import (
	"time"

	"github.com/sapphiretack/sapphiretack/request"
)

// Window is the number of sequences below the highest that a ticket still accepts. A bit set of one word remembers them.
const Window = 64

// Settings configures Sessions. A zero bound means its default.
type Settings struct {
	Instance    request.InstanceID
	Incarnation request.Incarnation

	TicketsPerCaller int           // open tickets per caller address
	Tickets          int           // open tickets in total
	Records          int           // effect records in total
	ResponseBytes    int           // longest response that is kept
	KeptBytes        int           // kept responses in total
	Waiters          int           // sends that wait for one effect
	IdleExpiry       time.Duration // after the last send under a ticket
	RecordAge        time.Duration // after the end of an effect
}

// The defaults. The totals keep the package under 96 MB of the 256 MB that a node may use: 64 MiB of responses,
// and records and tickets as docs/CAPACITY.md measures them.
const (
	defaultTicketsPerCaller = 64
	defaultTickets          = 16 << 10
	defaultRecords          = 128 << 10
	defaultResponseBytes    = 64 << 10
	defaultKeptBytes        = 64 << 20
	defaultWaiters          = 8
	defaultIdleExpiry       = 10 * time.Minute
	defaultRecordAge        = 10 * time.Minute
)

func (s Settings) withDefaults() Settings {
	orInt := func(n *int, d int) {
		if *n == 0 {
			*n = d
		}
	}
	orInt(&s.TicketsPerCaller, defaultTicketsPerCaller)
	orInt(&s.Tickets, defaultTickets)
	orInt(&s.Records, defaultRecords)
	orInt(&s.ResponseBytes, defaultResponseBytes)
	orInt(&s.KeptBytes, defaultKeptBytes)
	orInt(&s.Waiters, defaultWaiters)
	if s.IdleExpiry == 0 {
		s.IdleExpiry = defaultIdleExpiry
	}
	if s.RecordAge == 0 {
		s.RecordAge = defaultRecordAge
	}
	return s
}
