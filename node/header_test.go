package node

import (
	"net/http"
	"testing"

	"github.com/sapphiretack/sapphiretack/request"
)

// FuzzCallerHeaders guards against caller headers that pass validation with a value out of range, or that make the parser
// panic.
func FuzzCallerHeaders(f *testing.F) {
	f.Add("club-17", "00112233445566778899aabbccddeeff", "2000", "1", "ticket", "7", "key")
	f.Add("", "", "", "", "", "", "")
	f.Add("club-17", "zz", "-1", "0", "", "9223372036854775807", "")
	f.Add("club-17", "", "60001", "1001", "t", "18446744073709551615", "\x00")
	f.Fuzz(func(t *testing.T, customer, id, timeout, attempt, ticket, sequence, key string) {
		h := http.Header{}
		h.Set(headerCustomer, customer)
		h.Set(headerRequestID, id)
		h.Set(headerTimeout, timeout)
		h.Set(headerAttempt, attempt)
		h.Set(headerTicket, ticket)
		h.Set(headerSequence, sequence)
		h.Set(headerKey, key)
		parsed, err := parseCallerHeaders(h)
		if err != nil {
			if !MalformedError.Has(err) {
				t.Fatalf("error %v is not a MalformedError", err)
			}
			return
		}
		if parsed.timeout < 0 || parsed.timeout > maxTimeout || parsed.attempt < 0 || parsed.attempt > maxAttempt {
			t.Fatalf("timeout %v or attempt %d is out of range", parsed.timeout, parsed.attempt)
		}
		if (parsed.ticket == "") != (parsed.sequence == 0) {
			t.Fatalf("ticket %q without sequence %d", parsed.ticket, parsed.sequence)
		}
	})
}

// TestStatusOfReturnsErrorStatus guards against a success status for a request that was refused, failed or has an unknown
// outcome.
func TestStatusOfReturnsErrorStatus(t *testing.T) {
	for _, o := range []request.Outcome{request.Unknown, request.NotRun, request.Failed} {
		for r := request.NoReason; r <= request.LimitReached; r++ {
			if status := statusOf(o, r); status < 400 {
				t.Errorf("outcome %v, reason %v: status %d", o, r, status)
			}
		}
	}
}
