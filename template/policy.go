package template

import (
	"time"

	"github.com/sapphiretack/sapphiretack/request"
)

// Policy is what applies to one operation called for one customer.
type Policy struct {
	Timeout       time.Duration
	RatePerSecond uint32 // rate above which requests of the customer are demoted within their class
	ExtraAttempts uint8
	Class         request.Class
	Idempotent    bool
}

// Policy maps a call to its policy; ok is false if the template does not list the operation.
// A customer's value outside the present range counts as the nearest bound, since a template may change after its customers were set.
func (t *Template) Policy(c *Customer, service request.ServiceID, name request.Operation) (p Policy, ok bool) {
	i, ok := t.index[operationKey{service: service, name: name}]
	if !ok {
		return Policy{}, false
	}
	o := &t.Operations[i]
	p = Policy{
		Timeout:       o.Timeout,
		ExtraAttempts: o.ExtraAttempts,
		Class:         o.Class,
		Idempotent:    o.Idempotent,
	}
	rate, _ := t.effective(c, RatePerSecond)
	p.RatePerSecond = uint32(rate)
	if ms, declared := t.effective(c, MaxTimeoutMs); declared {
		p.Timeout = min(p.Timeout, time.Duration(ms)*time.Millisecond)
	}
	if n, declared := t.effective(c, MaxExtra); declared {
		p.ExtraAttempts = min(p.ExtraAttempts, uint8(n))
	}
	return p, true
}

// effective returns the customer's value of a parameter within the declared range, or the default.
func (t *Template) effective(c *Customer, p Parameter) (n int64, declared bool) {
	r := &t.Parameters[p]
	if !r.Declared {
		return 0, false
	}
	if s := c.Values[p]; s.Set {
		return r.clamp(s.Value), true
	}
	return r.Default, true
}
