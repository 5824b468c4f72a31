package node

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/sapphiretack/sapphiretack/exchange"
	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/trace"
)

const (
	// partSize is the maximum size of one part of a response in bytes; reads above 32 KiB improve throughput little.
	partSize = 32 << 10
	// backendIdleTimeout closes idle connections, which the backend server may have closed already.
	backendIdleTimeout = 60 * time.Second
	// notRunHeader is set by a backend server that refuses a request itself, to state that it did not run the request.
	notRunHeader = "Sapphiretack-Not-Run"
)

// backend dispatches admitted attempts to the backend server beside the node.
type backend struct {
	url    *url.URL
	client *http.Client
}

func newBackend(u *url.URL, connections int) *backend {
	transport := exchange.New(&http.Transport{
		MaxConnsPerHost:        connections,
		MaxIdleConnsPerHost:    connections,
		IdleConnTimeout:        backendIdleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: request.MaxResponseHeaderBytes,
	})
	return &backend{url: u, client: &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// dispatchResult is the result of a dispatch.
type dispatchResult struct {
	outcome request.Outcome
	reason  request.Reason
	parts   int
}

// readBuffers pools the read buffers of responses; without the pool they were 44% of the bytes allocated per call.
var readBuffers = sync.Pool{New: func() any {
	buffer := make([]byte, partSize)
	return &buffer
}}

// partFunc receives the parts of a response in order. It must not retain data after it returns.
type partFunc func(index, status int, contentType string, data []byte) error

// dispatch sends the execution to the backend server and calls onPart for each part of the response as it arrives.
func (b *backend) dispatch(ctx context.Context, e *execution, body []byte, onPart partFunc) dispatchResult {
	target := b.url.JoinPath(string(e.operation))
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, target.String(), bytes.NewReader(body))
	if err != nil {
		return dispatchResult{outcome: request.NotRun, reason: request.Malformed}
	}
	// With GetBody set, net/http could send the request twice.
	r.GetBody = nil
	setDispatchHeaders(ctx, r.Header, e)
	response, err := b.client.Do(r)
	if err != nil {
		return dispatchFailure(ctx, err)
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(notRunHeader) != "" {
		return dispatchResult{outcome: request.NotRun, reason: request.Overloaded}
	}
	return streamResponse(ctx, response, onPart)
}

func setDispatchHeaders(ctx context.Context, h http.Header, e *execution) {
	h.Set(headerCall, e.token)
	h.Set(headerRequestID, e.requestID.String())
	h.Set(headerCustomer, string(e.customer))
	if e.contentType != "" {
		h.Set("Content-Type", e.contentType)
	}
	if e.effect != "" {
		h.Set(headerEffect, e.effect)
	}
	if deadline, ok := ctx.Deadline(); ok {
		h.Set(headerTimeout, formatMilliseconds(time.Until(deadline)))
	}
	if traceparent := trace.Inject(ctx); traceparent != "" {
		h.Set(trace.Header, traceparent)
	}
}

func streamResponse(ctx context.Context, response *http.Response, onPart partFunc) dispatchResult {
	contentType := response.Header.Get("Content-Type")
	pooled := readBuffers.Get().(*[]byte)
	defer readBuffers.Put(pooled)
	buffer := *pooled
	parts := 0
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 || (parts == 0 && errors.Is(err, io.EOF)) {
			if err := onPart(parts, response.StatusCode, contentType, buffer[:n]); err != nil {
				return dispatchResult{outcome: request.Unknown, reason: request.CallerGone, parts: parts}
			}
			parts++
		}
		switch {
		case err == nil:
			continue
		case !errors.Is(err, io.EOF):
			result := dispatchFailure(ctx, err)
			result.outcome = request.Unknown
			result.parts = parts
			return result
		case response.StatusCode >= http.StatusInternalServerError:
			return dispatchResult{outcome: request.Failed, reason: request.BackendError, parts: parts}
		}
		return dispatchResult{outcome: request.Answered, parts: parts}
	}
}

// dispatchFailure classifies a transport error. Only an error before the connection was established proves that the
// request has not run.
func dispatchFailure(ctx context.Context, err error) dispatchResult {
	if request.IsUnsent(err) {
		return dispatchResult{outcome: request.NotRun, reason: request.BackendCrashed}
	}
	if ctx.Err() != nil {
		reason := request.CallerGone
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			reason = request.DeadlineExceeded
		}
		return dispatchResult{outcome: request.Unknown, reason: reason}
	}
	if isConnectionClosed(err) {
		return dispatchResult{outcome: request.Unknown, reason: request.BackendCrashed}
	}
	return dispatchResult{outcome: request.Unknown, reason: request.ConnectionLost}
}

// isConnectionClosed reports whether the backend server closed the connection during the request.
func isConnectionClosed(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) ||
		strings.Contains(err.Error(), "server closed idle connection")
}
