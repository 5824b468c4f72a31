package template

import (
	"time"

	"github.com/sapphiretack/sapphiretack/request"
)

// Policy holds the limits and properties that apply to calls of one operation on behalf of one customer.
type Policy struct {
	Timeout       time.Duration
	RatePerSecond uint32 // rate above which requests of the customer get a lower priority within their class
	ExtraAttempts uint8
	Class         request.Class
	Idempotent    bool
}

// Policy returns the policy for a call; ok is false if the template does not list the operation.
// A value of the customer that is outside the range of the template is clamped to it, since a template may change after its
// customers were validated.
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
	rate, _ := t.effective(c, ParamRatePerSecond)
	p.RatePerSecond = uint32(rate)
	if ms, declared := t.effective(c, ParamMaxTimeout); declared {
		p.Timeout = min(p.Timeout, time.Duration(ms)*time.Millisecond)
	}
	if n, declared := t.effective(c, ParamMaxExtraAttempts); declared {
		p.ExtraAttempts = min(p.ExtraAttempts, uint8(n))
	}
	return p, true
}

// effective returns the customer's value of a parameter, clamped to the declared range, or the default if it is not set;
// declared is false if the template does not declare the parameter.
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
