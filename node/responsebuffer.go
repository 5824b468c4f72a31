package node

import (
	"context"
	"sync"

	"github.com/zeebo/errs"

	"github.com/sapphiretack/sapphiretack/session"
)

// errResponseTooLarge is returned when the response to an effect exceeds limits.part_bytes.
var errResponseTooLarge = errs.New("response to an effect exceeds limits.part_bytes; raise the limit or send a smaller response")

// responseBuffer buffers the response to an effect, so that the first send and all resends receive it in full.
type responseBuffer struct {
	limit int

	mu          sync.Mutex
	parts       [][]byte
	size        int
	status      int
	contentType string
	ended       bool
	result      result
	changed     chan struct{} // closed and replaced on each change
}

func newResponseBuffer(limit int) *responseBuffer {
	return &responseBuffer{limit: limit, changed: make(chan struct{})}
}

// writePart implements sink.
func (b *responseBuffer) writePart(status int, contentType string, data []byte) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.parts) == 0 {
		b.status, b.contentType = status, contentType
	}
	if b.size+len(data) > b.limit {
		return errResponseTooLarge
	}
	b.size += len(data)
	b.parts = append(b.parts, data)
	b.notify()
	return nil
}

func (b *responseBuffer) end(r result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended, b.result = true, r
	b.notify()
}

func (b *responseBuffer) notify() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// response returns the complete response, which the session table stores.
func (b *responseBuffer) response() *session.Response {
	b.mu.Lock()
	defer b.mu.Unlock()
	body := make([]byte, 0, b.size)
	for _, p := range b.parts {
		body = append(body, p...)
	}
	return &session.Response{Status: b.status, ContentType: b.contentType, Body: body}
}

// copyTo writes all parts of the response to the sink and waits for parts that have not arrived yet.
func (b *responseBuffer) copyTo(ctx context.Context, s sink) (result, error) {
	for next := 0; ; {
		b.mu.Lock()
		parts, status, contentType := b.parts[next:], b.status, b.contentType
		ended, r, changed := b.ended, b.result, b.changed
		b.mu.Unlock()
		for _, p := range parts {
			if err := s.writePart(status, contentType, p); err != nil {
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
