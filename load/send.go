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
	// answerMargin is how much longer than its deadline a caller waits for the outcome.
	answerMargin = 2 * time.Second
	// maxAnswer bounds an answer that is read into memory.
	maxAnswer = 64 << 20
)

// pending is one request of a caller.
type pending struct {
	kind     Kind
	id       request.ID
	key      string
	ticket   string
	sequence request.Sequence
	sends    int
}

func (p *pending) body() []byte {
	// A Payload of strings always encodes.
	body, _ := json.Marshal(standin.Payload{Key: p.key, CrashAt: string(p.kind.CrashAt)})
	return body
}

// refusal is the part of a refusal that a caller uses.
type refusal struct {
	Outcome      string `json:"outcome"`
	Reason       string `json:"reason"`
	RetryAfterMs int64  `json:"retry_after_ms"`
}

// send sends the request once and returns what came back.
func (p *pending) send(ctx context.Context, c *http.Client, target string, customer request.CustomerID) reply {
	p.sends++
	ctx, cancel := context.WithTimeout(ctx, time.Duration(p.kind.TimeoutMs)*time.Millisecond+answerMargin)
	defer cancel()
	url := "http://" + target + "/call/" + string(p.kind.Service) + "/" + string(p.kind.Operation)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(p.body()))
	if err != nil {
		return reply{outcome: request.NotRun, reason: request.Malformed.String()}
	}
	// net/http must not send the request a second time on its own; resends carry a higher attempt number.
	r.GetBody = nil
	p.setHeaders(r.Header, customer)
	response, err := c.Do(r)
	if err != nil {
		return failure(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return reply{reason: reasonLost}
	}
	return p.read(response, body)
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

// failure tells a request that was never sent from one whose answer was lost.
func failure(err error) reply {
	if request.IsUnsent(err) {
		return reply{outcome: request.NotRun, reason: reasonUnsent}
	}
	return reply{reason: reasonLost}
}

// read takes the outcome from the trailer of a streamed answer or from the body of a refusal.
func (p *pending) read(response *http.Response, body []byte) reply {
	switch response.Trailer.Get("Sapphiretack-Outcome") {
	case request.Answered.String():
		wrong := response.StatusCode != http.StatusOK || !p.whole(body)
		return reply{outcome: request.Answered, wrong: wrong}
	case request.Failed.String():
		return reply{outcome: request.Failed, reason: request.BackendError.String()}
	}
	var r refusal
	if json.Unmarshal(body, &r) != nil {
		return reply{reason: reasonLost}
	}
	outcome, known := outcomes[r.Outcome]
	if !known {
		return reply{reason: reasonLost}
	}
	return reply{outcome: outcome, reason: r.Reason, retryAfter: time.Duration(r.RetryAfterMs) * time.Millisecond}
}

var outcomes = map[string]request.Outcome{
	request.NotRun.String():  request.NotRun,
	request.Failed.String():  request.Failed,
	request.Unknown.String(): request.Unknown,
}

// whole reports whether the answer has every part, in order, and all for this request.
func (p *pending) whole(body []byte) bool {
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
