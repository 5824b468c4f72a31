package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sapphiretack/sapphiretack/request"
)

// The headers that a backend server and its node exchange, and a header that makes the stand-in crash on the request.
const (
	headerCall    = "Sapphiretack-Call"
	headerEffect  = "Sapphiretack-Effect"
	headerOutcome = "Sapphiretack-Outcome"
	headerStep    = "Sapphiretack-Step"
	headerTimeout = "Sapphiretack-Timeout-Ms"
	headerNotRun  = "Sapphiretack-Not-Run"
	headerCrash   = "Standin-Crash"
)

const (
	// maxBodyBytes is the limit on request bodies from docs/design.md, section 4.14.
	maxBodyBytes = 1 << 20
	// initialColdFactor is the factor on the service time at the beginning of a cold start; it falls to 1 at its end.
	initialColdFactor = 4
	// crashExitStatus is the exit status after a request that makes the backend server crash.
	crashExitStatus = 2
)

// BackendSettings configure a Backend.
type BackendSettings struct {
	Instance    string
	Service     string
	Slots       int
	ColdStart   time.Duration
	LoopbackURL string // base URL of the loopback listener of its node
	Behavior    Behavior
	Log         io.Writer        // receives one line per execution; may be nil
	Client      *http.Client     // for nested calls
	Exit        func(status int) // ends the process
}

// Payload is the request body that a Backend understands; it accepts other bodies too.
type Payload struct {
	Key     string `json:"key"`                // identifies the request in executions and responses
	CrashAt string `json:"crash_at,omitempty"` // service whose backend servers crash on the request
}

// Part is one line of a response.
type Part struct {
	Part      int    `json:"part"`
	Parts     int    `json:"parts"`
	Operation string `json:"operation"`
	Key       string `json:"key"`
	Padding   string `json:"padding,omitempty"`
}

// Load is the response of the load endpoint.
type Load struct {
	InFlight int `json:"in_flight"`
	Queued   int `json:"queued"`
	Slots    int `json:"slots"`
}

// Backend is a stand-in for a backend server that speaks the Sapphiretack headers; it is an http.Handler.
type Backend struct {
	settings   BackendSettings
	mux        http.ServeMux
	slots      chan struct{}
	start      time.Time
	executions executionLog

	mu          sync.Mutex
	behavior    Behavior
	draining    bool
	inFlight    int
	queued      int
	loadSamples []loadSample
}

type loadSample struct {
	at   time.Time
	load Load
}

// NewBackend returns a Backend whose cold start begins immediately.
func NewBackend(s BackendSettings) *Backend {
	b := &Backend{
		settings:   s,
		slots:      make(chan struct{}, s.Slots),
		start:      time.Now(),
		behavior:   s.Behavior,
		executions: executionLog{writer: s.Log},
	}
	b.mux.HandleFunc("POST /{operation}", b.serveOperation)
	b.mux.HandleFunc("GET /health", b.serveHealth)
	b.mux.HandleFunc("GET /load", b.serveLoad)
	b.mux.HandleFunc("GET /admin/executions", b.serveExecutions)
	b.mux.HandleFunc("PUT /admin/behavior", b.serveBehavior)
	b.mux.HandleFunc("POST /admin/drain", b.serveDrain)
	return b
}

// ServeHTTP implements http.Handler.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) { b.mux.ServeHTTP(w, r) }

// Drain makes health checks fail and sheds the requests that arrive from then on.
func (b *Backend) Drain() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.draining = true
}

func (b *Backend) serveOperation(w http.ResponseWriter, r *http.Request) {
	operation := r.PathValue("operation")
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "the body cannot be read: "+err.Error(), http.StatusBadRequest)
		return
	}
	b.mu.Lock()
	o, known := b.behavior.Operations[operation]
	b.mu.Unlock()
	if !known {
		http.Error(w, fmt.Sprintf("service %s has no operation %q", b.settings.Service, operation), http.StatusNotFound)
		return
	}
	ctx, cancel := withTimeout(r)
	defer cancel()
	if !b.acquire(ctx) {
		w.Header().Set(headerNotRun, "true")
		http.Error(w, "the backend server sheds load; the request was not run", http.StatusServiceUnavailable)
		return
	}
	defer b.release()
	run := &run{backend: b, name: operation, operation: o, header: r.Header, body: body}
	// A body that is not a Payload leaves the key empty.
	_ = json.Unmarshal(body, &run.payload)
	run.serve(ctx, w)
}

// withTimeout returns the context of the request with the timeout that the node sends, if there is one.
func withTimeout(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.Atoi(r.Header.Get(headerTimeout))
	if err != nil || ms <= 0 {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}

// acquire takes a slot, if necessary after waiting in the queue; it returns false if the server drains, the queue is full or the
// context ends.
func (b *Backend) acquire(ctx context.Context) bool {
	b.mu.Lock()
	if b.draining {
		b.mu.Unlock()
		return false
	}
	select {
	case b.slots <- struct{}{}:
		b.inFlight++
		b.mu.Unlock()
		return true
	default:
	}
	if b.queued >= b.behavior.Queue {
		b.mu.Unlock()
		return false
	}
	b.queued++
	b.mu.Unlock()
	return b.awaitSlot(ctx)
}

func (b *Backend) awaitSlot(ctx context.Context) bool {
	acquired := false
	select {
	case b.slots <- struct{}{}:
		acquired = true
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queued--
	if acquired {
		b.inFlight++
	}
	return acquired
}

func (b *Backend) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight--
	<-b.slots
}

// run is one request that holds a slot.
type run struct {
	backend   *Backend
	name      string
	operation OperationBehavior
	header    http.Header
	body      []byte
	payload   Payload
}

func (r *run) serve(ctx context.Context, w http.ResponseWriter) {
	b := r.backend
	err := b.executions.add(Execution{Instance: b.settings.Instance, Operation: b.settings.Service + "/" + r.name, Effect: r.header.Get(headerEffect), Key: r.payload.Key})
	if err != nil {
		w.Header().Set(headerNotRun, "true")
		http.Error(w, "the execution cannot be recorded: "+err.Error(), http.StatusServiceUnavailable)
		return
	}
	if r.header.Get(headerCrash) != "" || (r.payload.CrashAt != "" && r.payload.CrashAt == b.settings.Service) {
		b.settings.Exit(crashExitStatus)
		return
	}
	for i, nested := range r.operation.Nested {
		if err := r.call(ctx, i+1, nested); err != nil {
			http.Error(w, fmt.Sprintf("nested call %s: %v", nested, err), http.StatusBadGateway)
			return
		}
	}
	r.respond(ctx, w)
}

// call makes a nested call through the node and reads the whole response.
func (r *run) call(ctx context.Context, step int, target string) error {
	s := r.backend.settings
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, s.LoopbackURL+"/call/"+target, bytes.NewReader(r.body))
	if err != nil {
		return err
	}
	request.Header.Set(headerCall, r.header.Get(headerCall))
	request.Header.Set(headerStep, strconv.Itoa(step))
	request.Header.Set("Content-Type", r.header.Get("Content-Type"))
	response, err := s.Client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	answer, err := ReadBody(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK || response.Trailer.Get(headerOutcome) != "answered" {
		return BackendError.New("status %d: %s", response.StatusCode, strings.TrimSpace(string(answer)))
	}
	return nil
}

// respond spreads the service time evenly over the parts of the response and writes each part at its end.
func (r *run) respond(ctx context.Context, w http.ResponseWriter) {
	parts := max(1, r.operation.Parts)
	padding := strings.Repeat("x", r.operation.PartBytes)
	partTime := time.Duration(float64(r.operation.serviceTime()) * r.backend.coldFactor() / float64(parts))
	w.Header().Set("Content-Type", "application/jsonl")
	encoder := json.NewEncoder(w)
	flusher := http.NewResponseController(w)
	for i := range parts {
		if !request.Sleep(ctx, partTime) {
			// Aborts the connection, so that the caller does not take an incomplete response for a whole one.
			panic(http.ErrAbortHandler)
		}
		if encoder.Encode(Part{Part: i + 1, Parts: parts, Operation: r.name, Key: r.payload.Key, Padding: padding}) != nil {
			return
		}
		if parts > 1 {
			_ = flusher.Flush()
		}
	}
}

// coldFactor returns the factor on the service time, which falls linearly from initialColdFactor to 1 during the cold start.
func (b *Backend) coldFactor() float64 {
	remaining := b.settings.ColdStart - time.Since(b.start)
	if remaining <= 0 {
		return 1
	}
	return 1 + (initialColdFactor-1)*float64(remaining)/float64(b.settings.ColdStart)
}
