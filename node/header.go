package node

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/zeebo/errs"

	"github.com/sapphiretack/sapphiretack/request"
)

// Headers of the caller interface and the loopback interface.
const (
	headerCustomer    = "Sapphiretack-Customer"
	headerTimeout     = "Sapphiretack-Timeout-Ms"
	headerRequestID   = "Sapphiretack-Request-Id"
	headerAttempt     = "Sapphiretack-Attempt"
	headerTicket      = "Sapphiretack-Ticket"
	headerSequence    = "Sapphiretack-Sequence"
	headerKey         = "Sapphiretack-Idempotency-Key"
	headerOutcome     = "Sapphiretack-Outcome"
	headerCall        = "Sapphiretack-Call"
	headerEffect      = "Sapphiretack-Effect"
	headerStep        = "Sapphiretack-Step"
	headerRetryAfter  = "Retry-After"
	headerContentType = "Content-Type"
)

const (
	// maxTimeout is the longest timeout of a call; tombstones of withdrawn attempts are kept for longer.
	maxTimeout = 60 * time.Second
	// maxNameLength is the maximum length of names and keys in headers, in bytes.
	maxNameLength = 128
	// maxAttempt is the highest attempt number that a caller may send.
	maxAttempt = 1000
)

// MalformedError is the class of errors for requests that do not follow the caller interface.
var MalformedError = errs.Class("malformed request")

// callerHeaders are the validated headers of a call.
type callerHeaders struct {
	customer    request.CustomerID
	requestID   request.ID
	timeout     time.Duration // zero selects the template's timeout
	attempt     int           // zero if the header is missing
	ticket      string
	sequence    request.Sequence
	key         string
	traceparent string
	contentType string
}

// firstSend reports whether the caller sends the request for the first time, according to its headers.
func (h callerHeaders) firstSend() bool { return h.attempt == 1 }

// parseCallerHeaders parses and validates the headers of a call; the request ID is zero if its header is missing.
func parseCallerHeaders(h http.Header) (callerHeaders, error) {
	parsed := callerHeaders{
		customer:    request.CustomerID(h.Get(headerCustomer)),
		ticket:      h.Get(headerTicket),
		key:         h.Get(headerKey),
		traceparent: h.Get("traceparent"),
		contentType: h.Get(headerContentType),
	}
	for _, name := range []string{headerCustomer, headerTicket, headerKey, headerContentType} {
		if len(h.Get(name)) > maxNameLength {
			return callerHeaders{}, MalformedError.New("header %s is longer than %d bytes; shorten it", name, maxNameLength)
		}
	}
	if v := h.Get(headerRequestID); v != "" {
		id, err := request.ParseID(v)
		if err != nil {
			return callerHeaders{}, MalformedError.Wrap(err)
		}
		parsed.requestID = id
	}
	ms, err := parseNumber(h, headerTimeout, uint64(maxTimeout/time.Millisecond))
	if err != nil {
		return callerHeaders{}, err
	}
	parsed.timeout = time.Duration(ms) * time.Millisecond
	attempt, err := parseNumber(h, headerAttempt, maxAttempt)
	if err != nil {
		return callerHeaders{}, err
	}
	parsed.attempt = int(attempt)
	sequence, err := parseNumber(h, headerSequence, math.MaxInt64)
	if err != nil {
		return callerHeaders{}, err
	}
	parsed.sequence = request.Sequence(sequence)
	if (parsed.ticket == "") != (parsed.sequence == 0) {
		return callerHeaders{}, MalformedError.New("%s and %s go together; send both or neither", headerTicket, headerSequence)
	}
	return parsed, nil
}

// parseNumber parses a header with a number from 1 to limit; a missing header yields 0.
func parseNumber(h http.Header, name string, limit uint64) (uint64, error) {
	v := h.Get(name)
	if v == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(v, 10, 64)
	if err != nil || n < 1 || n > limit {
		return 0, MalformedError.New("header %s is %q; send a number from 1 to %d", name, truncate(v), limit)
	}
	return n, nil
}

func truncate(s string) string {
	if len(s) > maxNameLength {
		return s[:maxNameLength]
	}
	return s
}

func formatMilliseconds(d time.Duration) string {
	return strconv.FormatInt(max(0, d.Milliseconds()), 10)
}

// errorResponse is the JSON body for a request that got no response from a backend server.
type errorResponse struct {
	Outcome      string `json:"outcome"`
	Reason       string `json:"reason"`
	Service      string `json:"service,omitempty"`
	Level        int    `json:"level"`
	Priority     int    `json:"priority"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	Remedy       string `json:"remedy"`
	Message      string `json:"message,omitempty"`
	RequestID    string `json:"request_id,omitempty"`
	// Fingerprint identifies a quarantined request; operators pass it to the explain command.
	Fingerprint string `json:"fingerprint,omitempty"`
}

// statusOf returns the HTTP status for an outcome and its reason.
func statusOf(o request.Outcome, r request.Reason) int {
	switch r {
	case request.Malformed:
		return http.StatusBadRequest
	case request.CustomerUnknown:
		return http.StatusForbidden
	case request.Quarantined:
		return http.StatusUnprocessableEntity
	case request.DeadlineExceeded:
		return http.StatusGatewayTimeout
	case request.Overloaded, request.EarlyShed, request.QueueFull, request.DeadlineTooShort, request.LimitReached:
		return http.StatusTooManyRequests
	case request.InProgress, request.ResponseNotKept, request.SequenceTooOld, request.KeyClaimed, request.NestedEffect:
		return http.StatusConflict
	case request.TicketUnknown:
		return http.StatusGone
	}
	if o == request.NotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

// writeErrorResponse sends an error response; write errors are ignored, because the caller has disconnected then.
func writeErrorResponse(w http.ResponseWriter, r errorResponse, status int) {
	h := w.Header()
	h.Set(headerContentType, "application/json")
	h.Set(headerOutcome, r.Outcome)
	if r.RetryAfterMS > 0 {
		h.Set(headerRetryAfter, strconv.FormatInt((r.RetryAfterMS+999)/1000, 10))
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(r)
}
