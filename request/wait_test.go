package request_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sapphiretack/sapphiretack/request"
)

// TestSleepEndsWithContext guards against a sleep that continues after its context has ended.
func TestSleepEndsWithContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	qt.Check(t, request.Sleep(ctx, time.Nanosecond), qt.IsTrue)
	cancel()
	qt.Check(t, request.Sleep(ctx, time.Hour), qt.IsFalse)
}

// TestIsUnsentOnlyAfterFailedDial guards against an error on an established connection that is taken as proof that
// nothing was sent.
func TestIsUnsentOnlyAfterFailedDial(t *testing.T) {
	refused := &net.OpError{Op: "dial", Err: errors.New("connection refused")}
	qt.Check(t, request.IsUnsent(fmt.Errorf("node 7: %w", refused)), qt.IsTrue)
	qt.Check(t, request.IsUnsent(&net.OpError{Op: "read", Err: errors.New("connection reset by peer")}), qt.IsFalse)
	qt.Check(t, request.IsUnsent(context.DeadlineExceeded), qt.IsFalse)
}
