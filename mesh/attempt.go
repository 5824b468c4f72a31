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
	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/routing"
	"github.com/sapphiretack/sapphiretack/tree"
)

// attempt is a request on its way to one gate.
type attempt struct {
	id       string
	method   string
	target   string // path and query as the client sent them
	host     string
	header   http.Header
	body     io.Reader // nil without a body
	length   int64
	route    routing.RouteID
	rank     routing.Rank
	isCall   bool
	isRepeat bool
	// isRepeatable is set if the request may run more than once.
	isRepeatable bool
	deadline     request.Instant
	instance     request.InstanceID // the lifetime that the source expects
}

// outcome is how an attempt ended; the set of outcomes is sealed.
type outcome interface{ outcome() }

// answered is a response of the backend server.
type answered struct {
	status int
	header http.Header
	body   io.ReadCloser
	length int64
	cost   tree.Cost
	// isOwnFailure is set if the backend server failed although none of its calls did.
	isOwnFailure bool
}

// notRun is proof that the attempt has not run and will not run.
type notRun struct {
	reason gate.Reason
	wait   time.Duration
	// hasArrived is set if the backend server itself refused.
	hasArrived bool
}

// broken is an attempt that may have run.
type broken struct{ err error }

func (answered) outcome() {}
func (notRun) outcome()   {}
func (broken) outcome()   {}

// The headers between two nodes.
const (
	callHeader   = ownPrefix + "Call"
	resultHeader = ownPrefix + "Result"
	costHeader   = ownPrefix + "Cost"
)

// The flags in the call header.
const (
	flagCall       = "c"
	flagRepeat     = "r"
	flagRepeatable = "s"
)

func (a attempt) encodeCall() string {
	flags := ""
	for _, f := range []struct {
		set  bool
		flag string
	}{{a.isCall, flagCall}, {a.isRepeat, flagRepeat}, {a.isRepeatable, flagRepeatable}} {
		if f.set {
			flags += f.flag
		}
	}
	return strings.Join([]string{
		strconv.FormatUint(uint64(a.route), 16), strconv.Itoa(int(a.rank)), "-" + flags, string(a.instance),
	}, " ")
}

func (a *attempt) decodeCall(text string) error {
	fields := strings.Split(text, " ")
	if len(fields) != 4 {
		return Error.New("call header %q does not have four fields", text)
	}
	route, err := strconv.ParseUint(fields[0], 16, 32)
	if err != nil {
		return Error.New("call header %q: %v", text, err)
	}
	rank, err := strconv.ParseUint(fields[1], 10, 8)
	if err != nil {
		return Error.New("call header %q: %v", text, err)
	}
	a.route, a.rank = routing.RouteID(route), routing.Rank(rank)
	a.isCall = strings.Contains(fields[2], flagCall)
	a.isRepeat = strings.Contains(fields[2], flagRepeat)
	a.isRepeatable = strings.Contains(fields[2], flagRepeatable)
	a.instance = request.InstanceID(fields[3])
	return nil
}

// send carries an attempt to the gate of the target.
func (n *Node) send(ctx context.Context, a attempt, t placement.Target) outcome {
	a.instance = t.Instance
	if t.IsSelf {
		return n.backend.run(ctx, a)
	}
	return n.sendPeer(ctx, a, t.Address)
}

// sendPeer sends an attempt to another node.
func (n *Node) sendPeer(ctx context.Context, a attempt, to netip.Addr) outcome {
	a.header = a.header.Clone()
	a.header.Set(callHeader, a.encodeCall())
	n.dialect.WriteLeft(a.header, a.deadline.Sub(n.now()))
	r, err := sendOnce(ctx, a, netip.AddrPortFrom(to, n.settings.Inbound.Port()).String())
	if err != nil {
		return notRun{reason: gate.Unknown}
	}
	response, err := n.peers.RoundTrip(r)
	if err != nil {
		return n.peerFailure(ctx, to, err)
	}
	return n.readPeer(response)
}

// breakTime is how long a node is avoided after a connection to it failed; the next entry of a new incarnation ends it.
const breakTime = 500 * time.Millisecond

// peerFailure classifies an error of the transport; only a connection that was never made proves that nothing ran.
func (n *Node) peerFailure(ctx context.Context, to netip.Addr, err error) outcome {
	if ctx.Err() != nil {
		return broken{err: ctx.Err()}
	}
	n.fleetMu.Lock()
	n.fleet.Break(n.now(), to, breakTime)
	n.fleetMu.Unlock()
	n.metrics.peerFailures.Inc(1)
	if request.IsUnsent(err) {
		return notRun{reason: gate.Down}
	}
	return broken{err: err}
}

func (n *Node) readPeer(response *http.Response) outcome {
	result := response.Header.Get(resultHeader)
	kind, rest, _ := strings.Cut(result, " ")
	switch kind {
	case "answered":
		cost := tree.DecodeCost(response.Header.Get(costHeader))
		return readSmall(answered{
			status: response.StatusCode, header: removeHop(response.Header), body: response.Body, length: response.ContentLength,
			cost: cost, isOwnFailure: rest == "own",
		})
	case "not_run":
		defer drainBody(response)
		fields := strings.Split(rest, " ")
		out := notRun{reason: gate.ReasonOf(fields[0])}
		if len(fields) > 1 {
			ms, _ := strconv.ParseInt(fields[1], 10, 32)
			out.wait = time.Duration(ms) * time.Millisecond
		}
		out.hasArrived = len(fields) > 2
		return out
	}
	defer drainBody(response)
	return broken{err: Error.New("the gate answered %d %q", response.StatusCode, result)}
}

// drainBody reads the short body of a refusal, so that its connection can be used again; one that does not end is closed.
func drainBody(r *http.Response) {
	late := time.AfterFunc(drainTime, func() { _ = r.Body.Close() })
	defer late.Stop()
	_, _ = io.CopyN(io.Discard, r.Body, smallBody)
	_ = r.Body.Close()
}

// readSmall reads a short body whole, so that an answer that ends early is noticed before it is passed on.
func readSmall(a answered) outcome {
	if a.length < 0 || a.length > smallBody {
		return a
	}
	data := make([]byte, a.length)
	_, err := io.ReadFull(a.body, data)
	closeErr := a.body.Close()
	if err = errors.Join(err, closeErr); err != nil {
		return broken{err: err}
	}
	a.body = io.NopCloser(bytes.NewReader(data))
	return a
}

// serveAttempt runs an attempt that another node sent.
func (n *Node) serveAttempt(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == configurationPath && r.Host == configurationHost {
		n.serveConfiguration(w)
		return
	}
	info := n.dialect.ReadRequest(r.Header)
	a := attempt{
		id: info.ID, method: r.Method, target: r.RequestURI, host: r.Host, header: passedHeaders(r.Header),
		deadline: n.now().Add(info.Left),
	}
	if err := a.decodeCall(r.Header.Get(callHeader)); err != nil {
		n.log.Warn().Str("event", "bad_attempt").Err(err).Str("from", r.RemoteAddr).Msg("attempt without a readable call header")
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if r.ContentLength != 0 {
		controller := http.NewResponseController(w)
		body := &attemptBody{source: r.Body}
		defer body.stop(controller)
		a.body, a.length = body, r.ContentLength
		// A backend server may answer before it has read a long body.
		_ = controller.EnableFullDuplex()
	}
	n.writeOutcome(w, n.backend.run(r.Context(), a))
}

// attemptBody is the body of an attempt. The transport may still read it for the backend server when the attempt has ended;
// net/http panics if it then reads the rest of the same body.
type attemptBody struct {
	source    io.Reader
	mu        sync.Mutex // held while the source is read
	isStopped atomic.Bool
	isReading atomic.Bool
}

// errBodyStopped ends the transfer of a body whose attempt has ended.
var errBodyStopped = Error.New("the attempt has ended before its body was read")

// Read implements io.Reader.
func (b *attemptBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.isReading.Store(true)
	defer b.isReading.Store(false)
	if b.isStopped.Load() {
		return 0, errBodyStopped
	}
	return b.source.Read(p)
}

// stop ends the reads of the body. If one waits for the other node, the rest of the body cannot be told from the next attempt,
// so the connection ends after the outcome that was written.
func (b *attemptBody) stop(c *http.ResponseController) {
	b.isStopped.Store(true)
	if !b.isReading.Load() {
		return
	}
	// If one of these fails, the connection is broken already, which ends the read too.
	_ = c.Flush()
	_ = c.SetReadDeadline(time.Unix(1, 0))
	b.mu.Lock()
	defer b.mu.Unlock()
	panic(http.ErrAbortHandler)
}

func (n *Node) writeOutcome(w http.ResponseWriter, o outcome) {
	h := w.Header()
	h["Date"] = nil // set by net/http otherwise
	switch o := o.(type) {
	case notRun:
		result := "not_run " + o.reason.String() + " " + strconv.FormatInt(o.wait.Milliseconds(), 10)
		if o.hasArrived {
			result += " arrived"
		}
		h.Set(resultHeader, result)
		h.Set("Content-Length", "0")
		w.WriteHeader(http.StatusServiceUnavailable)
	case broken:
		h.Set(resultHeader, "broken")
		h.Set("Content-Length", "0")
		w.WriteHeader(http.StatusBadGateway)
	case answered:
		n.writeAnswer(w, o)
	}
}

// copyBuffer is the size of the pieces in which a long body is passed on.
const copyBuffer = 4 << 10

func (n *Node) writeAnswer(w http.ResponseWriter, a answered) {
	defer a.body.Close()
	h := w.Header()
	for name, values := range a.header {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // guessed by net/http otherwise
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
	size := copyBuffer
	if a.length >= 0 {
		size = int(min(copyBuffer, max(1, a.length))) // an empty read may not reach the end
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
			// The connection is reset, so that a truncated response does not look whole.
			panic(http.ErrAbortHandler)
		}
		if a.length < 0 || a.length > smallBody {
			_ = controller.Flush()
		}
	}
}
