package session

import (
	"time"

	"github.com/sapphiretack/sapphiretack/request"
)

// Window is the number of sequences, up to and including the highest one begun, that a ticket still accepts; lower ones are
// refused. One 64-bit word tracks which of them were begun.
const Window = 64

// Settings configures Sessions. A limit of zero means its default.
type Settings struct {
	Instance    request.InstanceID
	Incarnation request.Incarnation

	MaxTicketsPerCaller int           // maximum open tickets per caller address
	MaxTickets          int           // maximum open tickets in total
	MaxRecords          int           // maximum effect records in total
	MaxResponseBytes    int           // maximum size of a kept response
	MaxKeptBytes        int           // maximum size of all kept responses
	MaxWaiters          int           // maximum sends that wait for one effect
	IdleExpiry          time.Duration // time from a ticket's last use to its removal
	RecordAge           time.Duration // time from the end of an effect to the removal of its record
}

// The default limits. The totals keep the package under 96 MB of the 256 MB that a node may use: 64 MiB of responses,
// plus records and tickets at the sizes in docs/CAPACITY.md.
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
	setDefault := func(n *int, d int) {
		if *n == 0 {
			*n = d
		}
	}
	setDefault(&s.MaxTicketsPerCaller, defaultTicketsPerCaller)
	setDefault(&s.MaxTickets, defaultTickets)
	setDefault(&s.MaxRecords, defaultRecords)
	setDefault(&s.MaxResponseBytes, defaultResponseBytes)
	setDefault(&s.MaxKeptBytes, defaultKeptBytes)
	setDefault(&s.MaxWaiters, defaultWaiters)
	if s.IdleExpiry == 0 {
		s.IdleExpiry = defaultIdleExpiry
	}
	if s.RecordAge == 0 {
		s.RecordAge = defaultRecordAge
	}
	return s
}
