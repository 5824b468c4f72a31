package operator

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/sapphiretack/sapphiretack/request"
)

const (
	// maxAttempts with a backoff that starts at initialBackoff and doubles spans 1.4 s, long enough to reach another address
	// when a node is replaced.
	maxAttempts    = 4
	initialBackoff = 200 * time.Millisecond

	// maxResponseBytes limits the size of a response; the status of 2,800 members takes about 700 KiB.
	maxResponseBytes = 16 << 20
)

// Client sends requests to the operator listeners of one or more nodes, any of which can serve a request. The errors of its
// methods are *Error.
type Client struct {
	addresses []string
	scheme    string
	http      *http.Client
}

// NewClient returns a client for operator listeners without TLS; each address is an IP address with a port.
func NewClient(addresses []string, c *http.Client) *Client {
	return &Client{addresses: addresses, scheme: "http", http: c}
}

// NewTLSClient returns a client for operator listeners with TLS; the transport of c has the TLS configuration.
func NewTLSClient(addresses []string, c *http.Client) *Client {
	return &Client{addresses: addresses, scheme: "https", http: c}
}

// Commit sends a change and returns the resulting object. It resends the same change while it is unknown whether it was
// applied.
func (c *Client) Commit(ctx context.Context, change Change) (Object, error) {
	method := http.MethodPut
	if change.Withdrawn {
		method = http.MethodDelete
	}
	query := url.Values{"revision": {strconv.FormatUint(change.Revision, 10)}, "change": {string(change.ID)}}
	path := "/v1/" + string(change.Kind) + "/" + url.PathEscape(change.Name) + "?" + query.Encode()
	var object Object
	err := c.send(ctx, method, path, change.Document, &object)
	if e, ok := err.(*Error); ok && e.Kind == Indeterminate {
		e.Remedy = fmt.Sprintf("send the same change again with the change identifier %s, or show the object", change.ID)
	}
	return object, err
}

// Show returns the current state of an object.
func (c *Client) Show(ctx context.Context, kind Kind, name string) (Object, error) {
	var object Object
	err := c.send(ctx, http.MethodGet, "/v1/"+string(kind)+"/"+url.PathEscape(name), nil, &object)
	return object, err
}

// Status returns the status of the first node that responds.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var status Status
	err := c.send(ctx, http.MethodGet, "/v1/status", nil, &status)
	return status, err
}

// Explain returns why the requests that match the query are admitted or refused.
func (c *Client) Explain(ctx context.Context, q ExplainQuery) (Explanation, error) {
	query := url.Values{"service": {string(q.Service)}}
	if q.Customer != "" {
		query.Set("customer", string(q.Customer))
	}
	if q.Operation != "" {
		query.Set("operation", string(q.Operation))
	}
	if q.Fingerprint != 0 {
		query.Set("fingerprint", strconv.FormatUint(uint64(q.Fingerprint), 16))
	}
	var e Explanation
	err := c.send(ctx, http.MethodGet, "/v1/explain?"+query.Encode(), nil, &e)
	return e, err
}

// send tries the addresses in turn. After a lost response, Unavailable or Unreachable from a later attempt shows only that
// this attempt did not apply the change, so the request as a whole ends as Indeterminate.
func (c *Client) send(ctx context.Context, method, path string, body []byte, result any) error {
	indeterminate := false
	var lastErr *Error
	for attempt := range maxAttempts {
		if attempt > 0 && !request.Sleep(ctx, initialBackoff<<(attempt-1)) {
			break
		}
		err := c.sendOnce(ctx, c.addresses[attempt%len(c.addresses)], method, path, body, result)
		if err == nil {
			return nil
		}
		lastErr = err
		indeterminate = indeterminate || err.Kind == Indeterminate
		if err.Kind != Indeterminate && err.Kind != Unreachable && !(indeterminate && err.Kind == Unavailable) {
			return err
		}
	}
	if indeterminate && method != http.MethodGet {
		lastErr = &Error{Kind: Indeterminate, Message: lastErr.Message, Remedy: lastErr.Remedy}
	}
	return lastErr
}

func (c *Client) sendOnce(ctx context.Context, address, method, path string, body []byte, result any) *Error {
	r, err := http.NewRequestWithContext(ctx, method, c.scheme+"://"+address+path, bytes.NewReader(body))
	if err != nil {
		return &Error{Kind: Malformed, Message: err.Error(), Remedy: "correct the address or the name"}
	}
	response, err := c.http.Do(r)
	if err != nil {
		return transportError(address, err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return transportError(address, err)
	}
	if response.StatusCode != http.StatusOK {
		return statusError(address, response.StatusCode, data)
	}
	if err := json.Unmarshal(data, result); err != nil {
		return &Error{Kind: Indeterminate, Message: fmt.Sprintf("the response from %s does not follow the operator interface: %v", address, err), Remedy: "check the address"}
	}
	return nil
}

// transportError returns Unreachable if the node cannot have seen the request, and Indeterminate otherwise.
func transportError(address string, err error) *Error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return &Error{Kind: Unreachable, Message: fmt.Sprintf("cannot connect to the operator listener at %s: %v", address, opErr.Err), Remedy: "give the address of the operator listener of a running node"}
	}
	if isHandshakeError(err) {
		return &Error{Kind: Unreachable, Message: fmt.Sprintf("TLS handshake with %s failed: %v", address, err), Remedy: "give the certificate authorities of the listener, and a client certificate if it requires one; the certificate of the listener must contain its IP address"}
	}
	return &Error{Kind: Indeterminate, Message: fmt.Sprintf("the response from %s was lost: %v", address, err), Remedy: "send the request again"}
}

// isHandshakeError reports whether the TLS handshake failed, so that the node did not see the request. A server rejects a
// client certificate after the client has finished its side of the handshake, with an alert whose text contains
// "certificate".
func isHandshakeError(err error) bool {
	var certErr *tls.CertificateVerificationError
	var headerErr tls.RecordHeaderError
	var opErr *net.OpError
	if errors.As(err, &certErr) || errors.As(err, &headerErr) {
		return true
	}
	return errors.As(err, &opErr) && opErr.Op == "remote error" && strings.Contains(opErr.Err.Error(), "certificate")
}

func statusError(address string, status int, data []byte) *Error {
	var e Error
	if json.Unmarshal(data, &e) == nil && e.Kind != "" {
		return &e
	}
	kind := Malformed
	if status >= http.StatusInternalServerError {
		kind = Indeterminate
	}
	return &Error{Kind: kind, Message: fmt.Sprintf("%s responded with status %d: %s", address, status, strings.TrimSpace(string(data))), Remedy: "check that it is an operator listener, and give its certificate authorities if it uses TLS"}
}
