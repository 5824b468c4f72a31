package node

import (
	"net/http"
	"time"

	"github.com/sapphiretack/sapphiretack/peer"
	"github.com/sapphiretack/sapphiretack/request"
)

// reply is whoever asked: a caller over HTTP, or another node that passed the caller's call on.
type reply interface {
	sink
	// end ends the response; without it, the asker must not take the response for a whole one.
	end(r result)
}

// httpReply streams a response to a caller.
type httpReply struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	timeout    time.Duration // longest time that the receiver may take for one part
	requestID  request.ID
	priority   request.Priority
	service    request.ServiceID
	content    request.Fingerprint
	started    bool
}

func (n *Node) newHTTPReply(w http.ResponseWriter, out outgoing) *httpReply {
	return &httpReply{
		w:          w,
		controller: http.NewResponseController(w),
		timeout:    n.settings.Timeouts.Body,
		requestID:  out.requestID,
		priority:   out.plan.Priority,
		service:    out.plan.Service,
		content:    out.plan.Fingerprint,
	}
}

// part implements sink.
func (h *httpReply) part(status int, contentType string, data []byte) error {
	if !h.started {
		h.started = true
		header := h.w.Header()
		header.Set("Trailer", headerOutcome)
		header.Set(headerRequestID, h.requestID.String())
		if contentType != "" {
			header.Set(headerContentType, contentType)
		}
		h.w.WriteHeader(status)
	}
	// A receiver that does not read must not hold the response, and the slot behind it, for ever.
	if err := h.controller.SetWriteDeadline(time.Now().Add(h.timeout)); err != nil {
		return err
	}
	if _, err := h.w.Write(data); err != nil {
		return err
	}
	// Parts reach the caller as early as possible.
	return h.controller.Flush()
}

// end implements reply. A response that was cut ends with a reset, so that the caller cannot take it for a whole one.
func (h *httpReply) end(r result) {
	whole := r.outcome == request.Answered || r.outcome == request.Failed
	switch {
	case h.started && (r.cut || !whole):
		panic(http.ErrAbortHandler)
	case h.started:
		_ = h.controller.SetWriteDeadline(time.Now().Add(h.timeout))
		h.w.Header().Set(headerOutcome, r.outcome.String())
	default:
		h.refuse(r, "")
	}
}

func (h *httpReply) refuse(r result, message string) {
	service := r.path.service
	if service == "" {
		service = h.service
	}
	body := refusal{
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
		body.Fingerprint = formatFingerprint(h.content)
	}
	writeRefusal(h.w, body, statusOf(r.outcome, r.reason))
}

// peerReply streams a response to the node that passed a call on.
type peerReply struct {
	send  sendFunc
	parts int
}

// part implements sink.
func (p *peerReply) part(status int, contentType string, data []byte) error {
	err := p.send(partMessage(p.parts, status, contentType, data))
	p.parts++
	return err
}

// end implements reply.
func (p *peerReply) end(r result) {
	if r.cut {
		return // the stream ends without an end message
	}
	load := &peer.Load{PathLevel: uint32(r.path.level), PathService: string(r.path.service)}
	// A source that went away cannot be told; it treats the missing end as a loss.
	_ = p.send(&peer.CallResponse{Event: &peer.CallResponse_End{End: &peer.End{
		Parts:        uint32(p.parts),
		Outcome:      uint32(r.outcome),
		Reason:       uint32(r.reason),
		RetryAfterNs: int64(r.retryAfter),
		Load:         load,
	}}})
}
