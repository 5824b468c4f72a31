package mesh

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sapphiretack/sapphiretack/gate"
	"github.com/sapphiretack/sapphiretack/placement"
	"github.com/sapphiretack/sapphiretack/quarantine"
	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/routing"
	"github.com/sapphiretack/sapphiretack/tree"
)

// attempt is a request to be sent to one gate.
type attempt struct {
	id      string
	method  string
	target  string // unmodified path and query
	host    string
	header  http.Header
	body    io.Reader // nil if the request has no body
	length  int64
	route   routing.RouteID
	rank    routing.Rank
	isCall  bool // made by a request that runs on a backend server
	isRetry bool // an earlier attempt, of this request or of one above it in its call tree, may have run
	// isIdempotent is set if the request may safely run more than once.
	isIdempotent bool
	deadline     request.Instant
	// service is the service that the sender chose, or empty if a node of an earlier version sent the attempt.
	service request.ServiceID
	// content is the fingerprint of the request, or 0 if a node of an earlier version sent the attempt.
	content request.Fingerprint
	// crashes are the crashes that the sender knows of and that may be due to the request.
	crashes []quarantine.Report
}

// outcome is the result of an attempt: responded, notRun or broken.
type outcome interface{ outcome() }

// responded is a response from the backend server.
type responded struct {
	status int
	header http.Header
	body   io.ReadCloser
	length int64
	cost   tree.Cost
	// isOwnFailure is set if the backend server returned a 5xx status and none of its nested calls failed.
	isOwnFailure bool
}

// notRun means that the attempt has not run and never will, so it is safe to send the request elsewhere.
type notRun struct {
	reason gate.Reason
	wait   time.Duration // expected queueing delay at the gate, or 0
	// isBackendRefusal is set if the backend server, rather than its gate, refused the attempt.
	isBackendRefusal bool
}

// broken means that the attempt failed and may or may not have run.
type broken struct {
	err error
	// isCrash is set if the backend server ended while the attempt was in flight.
	isCrash bool
	// crashes are the crashes that may be due to the request, if isCrash is set.
	crashes []quarantine.Report
}

func (responded) outcome() {}
func (notRun) outcome()    {}
func (broken) outcome()    {}

// Headers exchanged between nodes.
const (
	callHeader   = nodeHeaderPrefix + "Call"
	resultHeader = nodeHeaderPrefix + "Result"
	costHeader   = nodeHeaderPrefix + "Cost"
	// contentHeader has the fingerprint of the request, in hexadecimal.
	contentHeader = nodeHeaderPrefix + "Content"
	// crashesHeader has the crashes that may be due to the request.
	crashesHeader = nodeHeaderPrefix + "Crashes"
)

// resultCrashed is the result of an attempt that was in flight when its backend server ended. Nodes of earlier versions take it as
// broken.
const resultCrashed = "broken crashed"

// errCrashed is the error of an attempt whose gate reports resultCrashed.
var errCrashed = Error.New("backend server ended before it responded")

// Flags in the call header.
const (
	flagCall       = "c"
	flagRetry      = "r"
	flagIdempotent = "s"
)

// servicePrefix marks the last field of the call header as a service; nodes of earlier versions send an incarnation there.
const servicePrefix = "/"

// encodeCall returns the value of the call header: route, rank, flags and service.
func (a attempt) encodeCall() string {
	flags := ""
	for _, f := range []struct {
		set  bool
		flag string
	}{{a.isCall, flagCall}, {a.isRetry, flagRetry}, {a.isIdempotent, flagIdempotent}} {
		if f.set {
			flags += f.flag
		}
	}
	return strings.Join([]string{
		strconv.FormatUint(uint64(a.route), 16), strconv.Itoa(int(a.rank)), "-" + flags, servicePrefix + string(a.service),
	}, " ")
}

// decodeCall sets the fields of the attempt from the value of a call header.
func (a *attempt) decodeCall(text string) error {
	fields := strings.SplitN(text, " ", 4)
	if len(fields) != 4 {
		return Error.New("call header %.100q does not have four fields", text)
	}
	route, err := strconv.ParseUint(fields[0], 16, 32)
	if err != nil {
		return Error.New("call header %.100q: %v", text, err)
	}
	rank, err := strconv.ParseUint(fields[1], 10, 8)
	if err != nil {
		return Error.New("call header %.100q: %v", text, err)
	}
	a.route, a.rank = routing.RouteID(route), routing.Rank(rank)
	a.isCall = strings.Contains(fields[2], flagCall)
	a.isRetry = strings.Contains(fields[2], flagRetry)
	a.isIdempotent = strings.Contains(fields[2], flagIdempotent)
	if service, ok := strings.CutPrefix(fields[3], servicePrefix); ok {
		a.service = request.ServiceID(service)
	}
	return nil
}

// send runs an attempt at the gate of the target, which may be the local one.
func (n *Node) send(ctx context.Context, a attempt, t placement.Target) outcome {
	if t.IsSelf {
		return n.backend.run(ctx, a)
	}
	return n.sendToPeer(ctx, a, t)
}

// sendToPeer sends an attempt to the gate of another node.
func (n *Node) sendToPeer(ctx context.Context, a attempt, t placement.Target) outcome {
	a.header = a.header.Clone()
	a.header.Set(callHeader, a.encodeCall())
	a.header.Set(contentHeader, a.content.String())
	if len(a.crashes) > 0 {
		a.header.Set(crashesHeader, encodeCrashes(a.crashes))
	}
	n.headers.WriteTimeout(a.header, a.deadline.Sub(n.now()))
	r, err := newOneShotRequest(ctx, a, netip.AddrPortFrom(t.Address, n.settings.Inbound.Port()).String())
	if err != nil {
		return notRun{reason: gate.UnknownServer}
	}
	response, err := n.peerTransport.RoundTrip(r)
	if err != nil {
		return n.classifyPeerError(ctx, a, t, err)
	}
	return n.readPeerResponse(a, response)
}

// peerAvoidTime is how long a node is avoided after a failed connection, unless a gossip entry of a new incarnation of the
// node arrives earlier.
const peerAvoidTime = 500 * time.Millisecond

// classifyPeerError maps a transport error to an outcome. Only a connection that was never established proves that the
// attempt did not run.
func (n *Node) classifyPeerError(ctx context.Context, a attempt, t placement.Target, err error) outcome {
	if ctx.Err() != nil {
		return broken{err: ctx.Err()}
	}
	n.fleetMu.Lock()
	n.fleet.MarkUnreachable(n.now(), t.Address, peerAvoidTime)
	n.fleetMu.Unlock()
	n.metrics.peerFailures.Inc(1)
	if request.IsUnsent(err) {
		return notRun{reason: gate.Down}
	}
	n.crashMu.Lock()
	n.peerLosses.Add(n.now(), t.Address, t.Instance, a.content)
	n.crashMu.Unlock()
	return broken{err: err}
}

// readPeerResponse converts the response of another node to an outcome.
func (n *Node) readPeerResponse(a attempt, response *http.Response) outcome {
	result := response.Header.Get(resultHeader)
	if result == resultCrashed {
		drainBody(response)
		return broken{err: errCrashed, isCrash: true, crashes: decodeCrashes(response.Header.Get(crashesHeader), a.content)}
	}
	kind, args, _ := strings.Cut(result, " ")
	switch kind {
	case "answered":
		cost := tree.DecodeCost(response.Header.Get(costHeader))
		return bufferSmallBody(responded{
			status: response.StatusCode, header: removeHopByHop(response.Header), body: response.Body, length: response.ContentLength,
			cost: cost, isOwnFailure: args == "own",
		})
	case "not_run":
		defer drainBody(response)
		fields := strings.Split(args, " ")
		out := notRun{reason: gate.ReasonOf(fields[0])}
		if len(fields) > 1 {
			ms, _ := strconv.ParseInt(fields[1], 10, 32)
			out.wait = time.Duration(ms) * time.Millisecond
		}
		out.isBackendRefusal = len(fields) > 2
		return out
	}
	defer drainBody(response)
	return broken{err: Error.New("other node responded with status %d and unknown result %q", response.StatusCode, result)}
}

// drainBody reads the short body of a refusal so that its connection can be reused. A body that does not end within
// bodyDrainTimeout is closed.
func drainBody(r *http.Response) {
	timer := time.AfterFunc(bodyDrainTimeout, func() { _ = r.Body.Close() })
	defer timer.Stop()
	_, _ = io.CopyN(io.Discard, r.Body, maxBufferedResponseBytes)
	_ = r.Body.Close()
}

// bufferSmallBody buffers a short body completely, so that a truncated response is detected before any of it is forwarded.
func bufferSmallBody(a responded) outcome {
	if a.length < 0 || a.length > maxBufferedResponseBytes {
		return a
	}
	data := make([]byte, a.length)
	_, err := io.ReadFull(a.body, data)
	if err == nil {
		_, _ = a.body.Read(make([]byte, 1)) // to io.EOF, so that the body is known to be whole
	}
	closeErr := a.body.Close()
	if err = errors.Join(err, closeErr); err != nil {
		return broken{err: err}
	}
	a.body = io.NopCloser(bytes.NewReader(data))
	return a
}

// serveAttempt handles an attempt, or a configuration fetch, from another node.
func (n *Node) serveAttempt(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == configurationPath && r.Host == configurationHost {
		n.serveConfiguration(w)
		return
	}
	info := n.headers.ReadRequest(r.Header)
	a := attempt{
		id: info.ID, method: r.Method, target: r.RequestURI, host: r.Host, header: forwardedHeaders(r.Header),
		deadline: n.now().Add(info.Timeout),
	}
	if err := a.decodeCall(r.Header.Get(callHeader)); err != nil {
		n.log.Warn().Str("event", "bad_attempt").Err(err).Str("from", r.RemoteAddr).Msg("attempt from another node has an invalid call header; refused with status 400")
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if content, err := request.ParseFingerprint(r.Header.Get(contentHeader)); err == nil {
		a.content = content
		a.crashes = decodeCrashes(r.Header.Get(crashesHeader), a.content)
	}
	if r.ContentLength != 0 {
		beginning, isWhole := readBeginning(w, r, info.Timeout)
		a.body, a.length = bytes.NewReader(beginning), r.ContentLength
		if !isWhole {
			body := &attemptBody{beginning: beginning, source: r.Body, controller: http.NewResponseController(w)}
			defer body.stop()
			a.body = body
		}
	}
	n.writeOutcome(w, n.backend.run(r.Context(), a))
}

// readBeginning reads what the other node has of a body before it sends the attempt, and reports whether that is all of the body. The attempt then
// waits for its turn, and only after the end of the body does net/http notice that the other node, and so the client, has left. It aborts the
// connection if the other node does not send it in time.
func readBeginning(w http.ResponseWriter, r *http.Request, timeout time.Duration) (beginning []byte, isWhole bool) {
	length := r.ContentLength
	switch {
	case length > maxBufferedRequestBytes:
		return nil, false
	case length < 0:
		length = fingerprintBodyBytes
	}
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(max(timeout, bodyDrainTimeout))) // every connection between nodes supports it
	defer func() { _ = controller.SetReadDeadline(time.Time{}) }()
	beginning, err := io.ReadAll(io.LimitReader(r.Body, length))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	return beginning, r.ContentLength > 0 || int64(len(beginning)) < length
}

// attemptBody is the body of an attempt from another node. The transport may still be reading it for the backend server when
// the handler returns, and part of it may not have been read at all; net/http then reads the rest itself and panics, here or while it reads
// the next attempt on the connection.
type attemptBody struct {
	beginning  []byte // what has been read of the body before; only the reader uses it
	source     io.Reader
	controller *http.ResponseController
	hasBegun   bool       // whether the attempt is sent to the backend server; only the handler uses it
	mu         sync.Mutex // held during a read of source
	isAtEnd    bool       // guarded by mu
	isStopped  atomic.Bool
	isReading  atomic.Bool
}

// errBodyStopped is returned by reads of a body whose attempt has ended.
var errBodyStopped = Error.New("attempt ended before its body was read")

// maxDrainedBytes is the length in bytes of the rest of a body that is read so that its connection can be used again.
const maxDrainedBytes = 256 << 10

// begin has the outcome sent before the end of the body if it is known by then: the backend server may respond before it has read a
// long body. The outcome of an attempt that does not begin is sent after its body.
func (b *attemptBody) begin() {
	b.hasBegun = true
	_ = b.controller.EnableFullDuplex() // every connection between nodes is HTTP/1.1, where it cannot fail
}

// Read implements io.Reader.
func (b *attemptBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.isReading.Store(true)
	defer b.isReading.Store(false)
	if b.isStopped.Load() {
		return 0, errBodyStopped
	}
	if len(b.beginning) > 0 {
		n := copy(p, b.beginning)
		b.beginning = b.beginning[n:]
		return n, nil
	}
	n, err := b.source.Read(p)
	b.isAtEnd = b.isAtEnd || errors.Is(err, io.EOF)
	return n, err
}

// stop makes further reads fail. If a read is blocked on the other node, or a long part of the body has not been read, the rest cannot be
// told from the next attempt, so stop flushes the outcome and aborts the connection.
func (b *attemptBody) stop() {
	b.isStopped.Store(true)
	if !b.hasBegun {
		return // net/http reads the body before it sends the outcome
	}
	isReading := b.isReading.Load()
	// An error here means that the connection is already broken, which unblocks the read as well.
	_ = b.controller.Flush()
	if isReading {
		_ = b.controller.SetReadDeadline(time.Unix(1, 0))
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if isReading || !b.isAtEnd && !b.drain() {
		panic(http.ErrAbortHandler)
	}
}

// drain reads the rest of the body and reports whether it has ended.
func (b *attemptBody) drain() bool {
	_ = b.controller.SetReadDeadline(time.Now().Add(bodyDrainTimeout))
	n, err := io.CopyN(io.Discard, b.source, maxDrainedBytes+1)
	_ = b.controller.SetReadDeadline(time.Time{})
	return n <= maxDrainedBytes && errors.Is(err, io.EOF)
}

// writeOutcome sends the outcome of an attempt to the node that sent it.
func (n *Node) writeOutcome(w http.ResponseWriter, o outcome) {
	h := w.Header()
	h["Date"] = nil // keeps net/http from adding one
	switch o := o.(type) {
	case notRun:
		result := "not_run " + o.reason.String() + " " + strconv.FormatInt(o.wait.Milliseconds(), 10)
		if o.isBackendRefusal {
			result += " arrived"
		}
		h.Set(resultHeader, result)
		h.Set("Content-Length", "0")
		w.WriteHeader(http.StatusServiceUnavailable)
	case broken:
		h.Set(resultHeader, "broken")
		if o.isCrash {
			h.Set(resultHeader, resultCrashed)
			h.Set(crashesHeader, encodeCrashes(o.crashes))
		}
		h.Set("Content-Length", "0")
		w.WriteHeader(http.StatusBadGateway)
	case responded:
		n.writeResponse(w, o)
	}
}

// copyBufferBytes is the size in bytes of the buffer for forwarding a long body.
const copyBufferBytes = 4 << 10

func (n *Node) writeResponse(w http.ResponseWriter, a responded) {
	defer a.body.Close()
	h := w.Header()
	for name, values := range a.header {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // keeps net/http from sniffing one
	}
	result := "answered"
	if a.isOwnFailure {
		result += " own"
	}
	h.Set(resultHeader, result)
	h.Set(costHeader, a.cost.Encode())
	if a.length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(a.length, 10))
	}
	w.WriteHeader(a.status)
	size := copyBufferBytes
	if a.length >= 0 {
		size = int(min(copyBufferBytes, max(1, a.length))) // a read into an empty buffer may never return io.EOF
	}
	buffer := make([]byte, size)
	controller := http.NewResponseController(w)
	for {
		count, err := a.body.Read(buffer)
		if count > 0 {
			if _, err := w.Write(buffer[:count]); err != nil {
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return
		case err != nil:
			// Abort the connection so that the truncated response does not look complete.
			panic(http.ErrAbortHandler)
		}
		if a.length < 0 || a.length > maxBufferedResponseBytes {
			_ = controller.Flush()
		}
	}
}
