package standin

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/sapphiretack/sapphiretack/store"
)

// The paths of the platform's administration.
const (
	PlatformFaultsPath = "/admin/faults"
	PlatformStatsPath  = "/admin/stats"
)

const (
	// maxLatencyMs bounds the latency, so that an outage that was set by mistake ends.
	maxLatencyMs = 60_000
	// maxPlatformRequests bounds the requests in flight, which a long latency piles up.
	maxPlatformRequests = 4096
)

// PlatformFaults says what goes wrong. The zero value is a healthy platform.
type PlatformFaults struct {
	Down          bool `json:"down"`           // every request gets status 503 and has no effect
	LatencyMs     int  `json:"latency_ms"`     // each request takes this long, also when its client has gone
	LoseRequests  int  `json:"lose_requests"`  // the next changes have no effect and no response
	LoseResponses int  `json:"lose_responses"` // the next changes take effect and have no response
	Stale         bool `json:"stale"`          // reads are served from the state when this was set
}

// PlatformStats counts the requests that arrived, also those that failed.
type PlatformStats struct {
	Reads   int `json:"reads"`
	Scans   int `json:"scans"`
	Commits int `json:"commits"`
	Gets    int `json:"gets"`
	Puts    int `json:"puts"`
	Rows    int `json:"rows"` // present
}

// Platform is a stand-in for the platform's table and object store.
type Platform struct {
	fake  *store.Fake
	slots chan struct{}

	mu     sync.Mutex
	faults PlatformFaults
	stats  PlatformStats
}

// NewPlatform returns an empty platform.
func NewPlatform() *Platform {
	p := &Platform{fake: store.NewFake(), slots: make(chan struct{}, maxPlatformRequests)}
	p.fake.Inject(p.fault)
	return p
}

// Handler serves the protocol of package platform and the administration.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+store.ReadPath, p.bounded(p.serveRead))
	mux.HandleFunc("POST "+store.ScanPath, p.bounded(p.serveScan))
	mux.HandleFunc("POST "+store.CommitPath, p.bounded(p.serveCommit))
	mux.HandleFunc("GET "+store.ObjectPath+"{name}", p.bounded(p.serveGet))
	mux.HandleFunc("PUT "+store.ObjectPath+"{name}", p.bounded(p.servePut))
	mux.HandleFunc("GET "+PlatformFaultsPath, p.serveFaults)
	mux.HandleFunc("PUT "+PlatformFaultsPath, p.setFaults)
	mux.HandleFunc("GET "+PlatformStatsPath, p.serveStats)
	return mux
}

// fault counts a request and returns what goes wrong with it.
func (p *Platform) fault(_ context.Context, k store.OperationKind) store.Fault {
	latency, fault := p.next(k)
	if latency > 0 {
		time.Sleep(latency)
	}
	return fault
}

func (p *Platform) next(k store.OperationKind) (time.Duration, store.Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	*p.stats.counter(k)++
	latency := time.Duration(p.faults.LatencyMs) * time.Millisecond
	change := k == store.CommitOperation || k == store.PutOperation
	switch {
	case p.faults.Down:
		return latency, store.Down
	case change && p.faults.LoseRequests > 0:
		p.faults.LoseRequests--
		return latency, store.LostRequest
	case change && p.faults.LoseResponses > 0:
		p.faults.LoseResponses--
		return latency, store.LostResponse
	case !change && p.faults.Stale:
		return latency, store.StaleRead
	}
	return latency, store.NoFault
}

func (s *PlatformStats) counter(k store.OperationKind) *int {
	switch k {
	case store.ReadOperation:
		return &s.Reads
	case store.ScanOperation:
		return &s.Scans
	case store.CommitOperation:
		return &s.Commits
	case store.GetOperation:
		return &s.Gets
	}
	return &s.Puts
}

// bounded bounds the requests in flight and the body, and writes the error of the request.
func (p *Platform) bounded(serve func(w http.ResponseWriter, r *http.Request, body []byte) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case p.slots <- struct{}{}:
			defer func() { <-p.slots }()
		default:
			writePlatformError(w, store.Unavailable.New("%d requests are in flight; send it again later", maxPlatformRequests))
			return
		}
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, store.MaxBodyBytes))
		if err != nil {
			writePlatformError(w, store.Refused.New("the body cannot be read: %v; send at most %d bytes", err, store.MaxBodyBytes))
			return
		}
		// A change takes effect also when its client has gone, as at a remote service.
		if err := serve(w, r.WithContext(context.WithoutCancel(r.Context())), body); err != nil {
			writePlatformError(w, err)
		}
	}
}

func (p *Platform) serveRead(w http.ResponseWriter, r *http.Request, body []byte) error {
	var request store.ReadRequest
	if err := store.DecodeStrict(body, &request); err != nil {
		return err
	}
	rows, err := p.fake.Read(r.Context(), request.Keys)
	return writeRows(w, rows, err)
}

func (p *Platform) serveScan(w http.ResponseWriter, r *http.Request, body []byte) error {
	var request store.ScanRequest
	if err := store.DecodeStrict(body, &request); err != nil {
		return err
	}
	rows, err := p.fake.Scan(r.Context(), request.Prefix, request.After, request.Limit)
	return writeRows(w, rows, err)
}

func (p *Platform) serveCommit(w http.ResponseWriter, r *http.Request, body []byte) error {
	var t store.Transaction
	if err := store.DecodeStrict(body, &t); err != nil {
		return err
	}
	if err := p.fake.Commit(r.Context(), t); err != nil {
		return err
	}
	return writePlatformJSON(w, http.StatusOK, struct{}{})
}

func (p *Platform) serveGet(w http.ResponseWriter, r *http.Request, _ []byte) error {
	data, err := p.fake.Get(r.Context(), r.PathValue("name"))
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, err = w.Write(data)
	return err
}

func (p *Platform) servePut(w http.ResponseWriter, r *http.Request, body []byte) error {
	if err := p.fake.Put(r.Context(), r.PathValue("name"), body); err != nil {
		return err
	}
	return writePlatformJSON(w, http.StatusOK, struct{}{})
}

func (p *Platform) serveFaults(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	faults := p.faults
	p.mu.Unlock()
	_ = writePlatformJSON(w, http.StatusOK, faults)
}

func (p *Platform) setFaults(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 1<<10))
	if err != nil {
		writePlatformError(w, store.Refused.New("the body cannot be read: %v; send the faults as JSON", err))
		return
	}
	var faults PlatformFaults
	if err := store.DecodeStrict(body, &faults); err != nil {
		writePlatformError(w, err)
		return
	}
	if faults.LatencyMs < 0 || faults.LatencyMs > maxLatencyMs || faults.LoseRequests < 0 || faults.LoseResponses < 0 {
		writePlatformError(w, store.Refused.New("a number is out of range; use latency_ms from 0 to %d and counts from 0", maxLatencyMs))
		return
	}
	p.SetFaults(faults)
	_ = writePlatformJSON(w, http.StatusOK, faults)
}

// SetFaults replaces what goes wrong.
func (p *Platform) SetFaults(faults PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if faults.Stale && !p.faults.Stale {
		p.fake.Freeze()
	}
	p.faults = faults
}

func (p *Platform) serveStats(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	stats := p.stats
	p.mu.Unlock()
	stats.Rows = p.fake.Len()
	_ = writePlatformJSON(w, http.StatusOK, stats)
}

func writeRows(w http.ResponseWriter, rows []store.Row, err error) error {
	if err != nil {
		return err
	}
	return writePlatformJSON(w, http.StatusOK, store.RowsResponse{Rows: rows})
}

func writePlatformJSON(w http.ResponseWriter, status int, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data) // the client may have gone
	return nil
}

// writePlatformError writes a typed error. A lost response ends the connection instead.
func writePlatformError(w http.ResponseWriter, err error) {
	status, kind := http.StatusInternalServerError, "internal"
	switch {
	case store.Indeterminate.Has(err):
		panic(http.ErrAbortHandler)
	case store.ConditionFailed.Has(err):
		status, kind = http.StatusConflict, store.KindConditionFailed
	case store.Unavailable.Has(err):
		status, kind = http.StatusServiceUnavailable, store.KindUnavailable
	case store.Refused.Has(err):
		status, kind = http.StatusBadRequest, store.KindRefused
	case store.NotFound.Has(err):
		status, kind = http.StatusNotFound, store.KindNotFound
	}
	message := err.Error()
	if cause := errors.Unwrap(err); cause != nil {
		message = cause.Error()
	}
	_ = writePlatformJSON(w, status, store.ErrorResponse{Kind: kind, Message: message, Remedy: "see package platform"})
}
