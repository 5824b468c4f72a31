package request

import (
	"context"
	"errors"
	"net"
	"time"
)

// Sleep waits for d and reports whether it has elapsed; it returns false if the context ends first.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// MaxResponseHeaderBytes is the maximum size of a response header in bytes. A faulty backend server may send an endless header,
// and the default limit of net/http is 10 MB for each request in flight.
const MaxResponseHeaderBytes = 32 << 10

// IsUnsent reports whether a transport error proves that nothing was sent, because the connection could not be established.
func IsUnsent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
