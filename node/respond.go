package node

import (
	"net/http"
	"time"

	"github.com/sapphiretack/sapphiretack/peer"
	"github.com/sapphiretack/sapphiretack/request"
)

// responseWriter writes a response to a caller over HTTP, or to a node that forwarded the call.
type responseWriter interface {
	sink
	// end completes the response; the receiver must treat a response without an end as incomplete.
	end(r result)
}

// httpResponseWriter streams a response to a caller.
type httpResponseWriter struct {
	w             http.ResponseWriter
	controller    *http.ResponseController
	timeout       time.Duration // write timeout of one part
	requestID     request.ID
	priority      request.Priority
	service       request.ServiceID
	fingerprint   request.Fingerprint
	headerWritten bool
}

func (n *Node) newHTTPResponseWriter(w http.ResponseWriter, out outgoingCall) *httpResponseWriter {
	return &httpResponseWriter{
		w:           w,
		controller:  http.NewResponseController(w),
		timeout:     n.settings.Timeouts.Body,
		requestID:   out.requestID,
		priority:    out.plan.Priority,
		service:     out.plan.Service,
		fingerprint: out.plan.Fingerprint,
	}
}

// writePart implements sink.
func (h *httpResponseWriter) writePart(status int, contentType string, data []byte) error {
	if !h.headerWritten {
		h.headerWritten = true
		header := h.w.Header()
		header.Set("Trailer", headerOutcome)
		header.Set(headerRequestID, h.requestID.String())
		if contentType != "" {
			header.Set(headerContentType, contentType)
		}
		h.w.WriteHeader(status)
	}
	// The deadline keeps a receiver that does not read from holding the response and its slot indefinitely.
	if err := h.controller.SetWriteDeadline(time.Now().Add(h.timeout)); err != nil {
		return err
	}
	if _, err := h.w.Write(data); err != nil {
		return err
	}
	// Flushed at once, so that each part reaches the caller without delay.
	return h.controller.Flush()
}

// end implements responseWriter. It aborts the connection after a truncated response, so that the caller cannot mistake it
// for a complete one.
func (h *httpResponseWriter) end(r result) {
	whole := r.outcome == request.Answered || r.outcome == request.Failed
	switch {
	case h.headerWritten && (r.truncated || !whole):
		panic(http.ErrAbortHandler)
	case h.headerWritten:
		_ = h.controller.SetWriteDeadline(time.Now().Add(h.timeout))
		h.w.Header().Set(headerOutcome, r.outcome.String())
	default:
		h.writeError(r, "")
	}
}

func (h *httpResponseWriter) writeError(r result, message string) {
	service := r.path.service
	if service == "" {
		service = h.service
	}
	body := errorResponse{
		Outcome:      r.outcome.String(),
		Reason:       r.reason.String(),
		Service:      string(service),
		Level:        int(r.path.level),
		Priority:     int(h.priority),
		RetryAfterMS: r.retryAfter.Milliseconds(),
		Remedy:       r.reason.Remedy(),
		Message:      message,
		RequestID:    h.requestID.String(),
	}
	if r.reason == request.Quarantined {
		body.Fingerprint = h.fingerprint.String()
	}
	writeErrorResponse(h.w, body, statusOf(r.outcome, r.reason))
}

// peerResponseWriter streams a response to the node that forwarded the call.
type peerResponseWriter struct {
	send  sendFunc
	parts int
}

// writePart implements sink.
func (p *peerResponseWriter) writePart(status int, contentType string, data []byte) error {
	err := p.send(partMessage(p.parts, status, contentType, data))
	p.parts++
	return err
}

// end implements responseWriter.
func (p *peerResponseWriter) end(r result) {
	if r.truncated {
		return // the receiver treats a stream without an end message as truncated
	}
	load := &peer.Load{PathLevel: uint32(r.path.level), PathService: string(r.path.service)}
	// A failure is ignored: the receiver has disconnected, or it treats the missing end message as a loss.
	_ = p.send(&peer.CallResponse{Event: &peer.CallResponse_End{End: &peer.End{
		Parts:        uint32(p.parts),
		Outcome:      uint32(r.outcome),
		Reason:       uint32(r.reason),
		RetryAfterNs: int64(r.retryAfter),
		Load:         load,
	}}})
}
