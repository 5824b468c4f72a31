package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/standin"
)

const (
	// replyMargin is how long a caller waits for the outcome beyond the timeout of the request.
	replyMargin = 2 * time.Second
	// maxResponseBytes is the limit on the size of a response, which is read into memory.
	maxResponseBytes = 64 << 20
)

// pending is a request whose outcome is not final.
type pending struct {
	kind     Kind
	id       request.ID
	key      string
	ticket   string
	sequence request.Sequence
	sends    int
}

func (p *pending) body() []byte {
	// Encoding a struct of strings cannot fail.
	body, _ := json.Marshal(standin.Payload{Key: p.key, CrashAt: string(p.kind.CrashAt)})
	return body
}

// refusal is the body of a response without a result; other fields are ignored.
type refusal struct {
	Outcome      string `json:"outcome"`
	Reason       string `json:"reason"`
	RetryAfterMs int64  `json:"retry_after_ms"`
}

// send sends the request once and returns the reply.
func (p *pending) send(ctx context.Context, c *http.Client, target string, customer request.CustomerID) reply {
	p.sends++
	ctx, cancel := context.WithTimeout(ctx, time.Duration(p.kind.TimeoutMs)*time.Millisecond+replyMargin)
	defer cancel()
	url := "http://" + target + "/call/" + string(p.kind.Service) + "/" + string(p.kind.Operation)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(p.body()))
	if err != nil {
		return reply{outcome: request.NotRun, reason: request.Malformed.String()}
	}
	// Prevents net/http from resending the request on its own, since each resend needs a higher attempt number.
	r.GetBody = nil
	p.setHeaders(r.Header, customer)
	response, err := c.Do(r)
	if err != nil {
		return transportError(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return reply{reason: reasonLost}
	}
	return p.parseReply(response, body)
}

func (p *pending) setHeaders(h http.Header, customer request.CustomerID) {
	h.Set("Content-Type", "application/json")
	h.Set("Sapphiretack-Customer", string(customer))
	h.Set("Sapphiretack-Timeout-Ms", strconv.Itoa(p.kind.TimeoutMs))
	h.Set("Sapphiretack-Request-Id", p.id.String())
	h.Set("Sapphiretack-Attempt", strconv.Itoa(p.sends))
	if p.kind.Effect {
		h.Set("Sapphiretack-Ticket", p.ticket)
		h.Set("Sapphiretack-Sequence", strconv.FormatUint(uint64(p.sequence), 10))
	}
}

// transportError distinguishes a request that was never sent from one whose response was lost.
func transportError(err error) reply {
	if request.IsUnsent(err) {
		return reply{outcome: request.NotRun, reason: reasonUnsent}
	}
	return reply{reason: reasonLost}
}

// parseReply takes the outcome from the trailer of a streamed response or from the body of a refusal.
func (p *pending) parseReply(response *http.Response, body []byte) reply {
	switch response.Trailer.Get("Sapphiretack-Outcome") {
	case request.Answered.String():
		wrong := response.StatusCode != http.StatusOK || !p.isComplete(body)
		return reply{outcome: request.Answered, isWrong: wrong}
	case request.Failed.String():
		return reply{outcome: request.Failed, reason: request.BackendError.String()}
	}
	var r refusal
	if json.Unmarshal(body, &r) != nil {
		return reply{reason: reasonLost}
	}
	outcome, known := outcomeByName[r.Outcome]
	if !known {
		return reply{reason: reasonLost}
	}
	return reply{outcome: outcome, reason: r.Reason, retryAfter: time.Duration(r.RetryAfterMs) * time.Millisecond}
}

var outcomeByName = map[string]request.Outcome{
	request.NotRun.String():  request.NotRun,
	request.Failed.String():  request.Failed,
	request.Unknown.String(): request.Unknown,
}

// isComplete reports whether body has all parts of the response, in order and for this request.
func (p *pending) isComplete(body []byte) bool {
	decoder := json.NewDecoder(bytes.NewReader(body))
	next := 1
	for {
		var part standin.Part
		err := decoder.Decode(&part)
		if errors.Is(err, io.EOF) {
			return false
		}
		if err != nil || part.Key != p.key || part.Operation != string(p.kind.Operation) || part.Part != next {
			return false
		}
		if part.Part == part.Parts {
			return !decoder.More()
		}
		next++
	}
}
