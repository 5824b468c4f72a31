package request

import (
	"context"
	"errors"
	"net"
	"time"
)

// Sleep waits for the time and reports whether it has passed; it is false if the context ends first.
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

// MaxResponseHeader bounds the bytes of a response header. A backend server in trouble may send one without an end, and net/http
// allows 10 MB for each request in flight.
const MaxResponseHeader = 32 << 10

// IsUnsent reports whether an error of a transport proves that nothing was sent: the connection was never made.
func IsUnsent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
