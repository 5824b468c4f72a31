package node

import (
	"context"
	"sync"

	"github.com/zeebo/errs"

	"github.com/sapphiretack/sapphiretack/session"
)

// errAnswerTooLarge ends an effect's response that exceeds the bound on parts in flight.
var errAnswerTooLarge = errs.New("the response to an effect exceeds limits.part_bytes; raise the limit or send less")

// answer collects the response to an effect, so that the first send and its resends all get the whole of it.
type answer struct {
	limit int

	mu          sync.Mutex
	parts       [][]byte
	size        int
	status      int
	contentType string
	ended       bool
	result      result
	changed     chan struct{} // closed at each change, then replaced
}

func newAnswer(limit int) *answer {
	return &answer{limit: limit, changed: make(chan struct{})}
}

// part implements sink.
func (a *answer) part(status int, contentType string, data []byte) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.parts) == 0 {
		a.status, a.contentType = status, contentType
	}
	if a.size+len(data) > a.limit {
		return errAnswerTooLarge
	}
	a.size += len(data)
	a.parts = append(a.parts, data)
	a.wake()
	return nil
}

func (a *answer) end(r result) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended, a.result = true, r
	a.wake()
}

func (a *answer) wake() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// response returns the whole response for the record of the effect.
func (a *answer) response() *session.Response {
	a.mu.Lock()
	defer a.mu.Unlock()
	body := make([]byte, 0, a.size)
	for _, p := range a.parts {
		body = append(body, p...)
	}
	return &session.Response{Status: a.status, ContentType: a.contentType, Body: body}
}

// copyTo sends the response from its first part to the sink, waiting for parts that are still to come.
func (a *answer) copyTo(ctx context.Context, s sink) (result, error) {
	for next := 0; ; {
		a.mu.Lock()
		parts, status, contentType := a.parts[next:], a.status, a.contentType
		ended, r, changed := a.ended, a.result, a.changed
		a.mu.Unlock()
		for _, p := range parts {
			if err := s.part(status, contentType, p); err != nil {
				return result{}, err
			}
		}
		next += len(parts)
		if ended {
			return r, nil
		}
		if len(parts) > 0 {
			continue
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return result{}, ctx.Err()
		}
	}
}
