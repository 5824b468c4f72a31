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
	// maxAttempts with firstWait doubled each time spans 1.4 s, enough for a node to be replaced by another address.
	maxAttempts = 4
	firstWait   = 200 * time.Millisecond

	// maxResponseBytes bounds a response; the status of 2,800 members takes about 700 KiB.
	maxResponseBytes = 16 << 20
)

// Client talks to the operator listeners of one or several nodes, any of which can answer.
type Client struct {
	addresses []string
	scheme    string
	http      *http.Client
}

// NewClient returns a client of operator listeners; each address is an IP address with a port.
func NewClient(addresses []string, c *http.Client) *Client {
	return &Client{addresses: addresses, scheme: "http", http: c}
}

// NewTLSClient returns a client of operator listeners with TLS; the transport of c holds the configuration of TLS.
func NewTLSClient(addresses []string, c *http.Client) *Client {
	return &Client{addresses: addresses, scheme: "https", http: c}
}

// Commit sends a change, and sends the same change again while it is open whether it was applied.
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

// Show returns the present object.
func (c *Client) Show(ctx context.Context, kind Kind, name string) (Object, error) {
	var object Object
	err := c.send(ctx, http.MethodGet, "/v1/"+string(kind)+"/"+url.PathEscape(name), nil, &object)
	return object, err
}

// Status returns the status of the first node that answers.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var status Status
	err := c.send(ctx, http.MethodGet, "/v1/status", nil, &status)
	return status, err
}

// Explain asks why requests of one kind are admitted or refused.
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

// send tries the addresses in turn. Once a response was lost, a later error that would prove that the change was not
// applied proves it for that attempt only, so that Unavailable and Unreachable become Indeterminate.
func (c *Client) send(ctx context.Context, method, path string, body []byte, result any) error {
	lost := false
	var last *Error
	for attempt := range maxAttempts {
		if attempt > 0 && !request.Sleep(ctx, firstWait<<(attempt-1)) {
			break
		}
		err := c.once(ctx, c.addresses[attempt%len(c.addresses)], method, path, body, result)
		if err == nil {
			return nil
		}
		last = err
		lost = lost || err.Kind == Indeterminate
		if err.Kind != Indeterminate && err.Kind != Unreachable && !(lost && err.Kind == Unavailable) {
			return err
		}
	}
	if lost && method != http.MethodGet {
		last = &Error{Kind: Indeterminate, Message: last.Message, Remedy: last.Remedy}
	}
	return last
}

func (c *Client) once(ctx context.Context, address, method, path string, body []byte, result any) *Error {
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
		return &Error{Kind: Indeterminate, Message: fmt.Sprintf("the response of %s is not of the operator interface: %v", address, err), Remedy: "check the address"}
	}
	return nil
}

// transportError tells a request that was never sent from one whose response was lost.
func transportError(address string, err error) *Error {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return &Error{Kind: Unreachable, Message: fmt.Sprintf("no operator listener answers at %s: %v", address, operation.Err), Remedy: "name the operator listener of a running node"}
	}
	if isHandshakeError(err) {
		return &Error{Kind: Unreachable, Message: fmt.Sprintf("no TLS connection to %s: %v", address, err), Remedy: "give the authorities of the listener, and a client certificate if it requires one; the certificate of the listener must hold its IP address"}
	}
	return &Error{Kind: Indeterminate, Message: fmt.Sprintf("the response of %s was lost: %v", address, err), Remedy: "send the request again"}
}

// isHandshakeError returns whether the handshake of TLS failed, so that the node did not see the request. A server refuses
// a client certificate after the client has finished its part of the handshake, with an alert that names the certificate.
func isHandshakeError(err error) bool {
	var verification *tls.CertificateVerificationError
	var record tls.RecordHeaderError
	var operation *net.OpError
	if errors.As(err, &verification) || errors.As(err, &record) {
		return true
	}
	return errors.As(err, &operation) && operation.Op == "remote error" && strings.Contains(operation.Err.Error(), "certificate")
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
	return &Error{Kind: kind, Message: fmt.Sprintf("%s responded with status %d: %s", address, status, strings.TrimSpace(string(data))), Remedy: "check that it is an operator listener, and give the authorities if it uses TLS"}
}
