package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"github.com/sapphiretack/sapphiretack/store"
)

// The paths of the administration endpoints of a Platform.
const (
	PlatformFaultsPath = "/admin/faults"
	PlatformStatsPath  = "/admin/stats"
)

const (
	// maxLatencyMs limits the injected latency, so that requests end even if an excessive latency was set by mistake.
	maxLatencyMs = 60_000
	// maxPlatformRequests limits the requests in flight, which accumulate under a high injected latency.
	maxPlatformRequests = 4096
)

// PlatformFaults are the faults to inject; the zero value is a healthy platform.
type PlatformFaults struct {
	Down          bool `json:"down"`           // every request gets status 503 and has no effect
	LatencyMs     int  `json:"latency_ms"`     // each request takes this long, even if its client has disconnected
	LoseRequests  int  `json:"lose_requests"`  // number of next changes that have no effect and get no response
	LoseResponses int  `json:"lose_responses"` // number of next changes that take effect and get no response
	Stale         bool `json:"stale"`          // reads return the state at the time when this was set
}

// PlatformStats counts the requests that arrived, including those that failed.
type PlatformStats struct {
	Reads   int `json:"reads"`
	Scans   int `json:"scans"`
	Commits int `json:"commits"`
	Gets    int `json:"gets"`
	Puts    int `json:"puts"`
	Rows    int `json:"rows"` // rows that the store holds
}

// Platform is a stand-in for the store of the platform: versioned rows, a change feed and blobs.
type Platform struct {
	fake  *store.Fake
	slots chan struct{}

	mu     sync.Mutex
	faults PlatformFaults
	stats  PlatformStats

	// commitMu keeps changes in the order of their versions.
	commitMu sync.Mutex
	changes  []platformChange
	changed  chan struct{}
	era      atomic.Uint64 // changes with commitMu held
}

// PlatformEraHeader is the header of all responses with the number of times that the store came back from a copy, from 1.
const PlatformEraHeader = "Store-Era"

// errHistoryLost is the error of a request for changes after a version that the store does not have.
var errHistoryLost = errs.New("the store does not have this version")

// platformChange is an entry of the change feed: a row that was set or removed.
type platformChange struct {
	row     platformRow
	version uint64
}

// platformRow is the wire format of a row.
type platformRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// platformTransaction is the request body of a transaction.
type platformTransaction struct {
	Conditions []platformRow `json:"precondition"`
	Set        []platformRow `json:"set_keys"`
	Remove     []platformRow `json:"remove"`
	Across     bool          `json:"across"`
}

// platformPage is the response to requests for rows and to transactions.
type platformPage struct {
	Rows    []platformRow `json:"rows"`
	More    bool          `json:"has_more"`
	Version uint64        `json:"ver"`
	NowMs   int64         `json:"now_ms"`
	era     uint64        // of the rows
}

const (
	maxPlatformBodyBytes = 8 << 20
	maxPlatformRows      = 500
	// maxPlatformPageBytes is the total size of values at which a page ends.
	maxPlatformPageBytes = 1 << 20
	// maxPlatformChanges is the number of recent changes that the feed retains.
	maxPlatformChanges = 10_000
	// maxPlatformWaitMs limits how long a request may wait for changes.
	maxPlatformWaitMs = 30_000
)

// NewPlatform returns an empty platform.
func NewPlatform() *Platform {
	p := &Platform{fake: store.NewFake(), slots: make(chan struct{}, maxPlatformRequests), changed: make(chan struct{})}
	p.era.Store(1)
	p.fake.SetFaultHook(p.fault)
	return p
}

// SaveCopy saves a copy of the rows and objects, to which Restore returns.
func (p *Platform) SaveCopy() {
	p.commitMu.Lock()
	defer p.commitMu.Unlock()
	p.fake.SaveCopy()
}

// Restore returns to the saved copy, or to an empty store if there is none, and begins the next era. All that was written since is gone, and
// the versions since are given out again.
func (p *Platform) Restore() {
	p.commitMu.Lock()
	defer p.commitMu.Unlock()
	p.fake.Restore()
	version := p.fake.LastRevision()
	p.changes = slices.DeleteFunc(p.changes, func(c platformChange) bool { return c.version > version })
	p.era.Add(1)
	close(p.changed)
	p.changed = make(chan struct{})
}

// eraWriter adds the current era to the headers of a response that does not have the era of the rows in it.
type eraWriter struct {
	http.ResponseWriter
	platform *Platform
}

// WriteHeader implements http.ResponseWriter.
func (w eraWriter) WriteHeader(status int) {
	if w.Header().Get(PlatformEraHeader) == "" {
		setEra(w, w.platform.era.Load())
	}
	w.ResponseWriter.WriteHeader(status)
}

func setEra(w http.ResponseWriter, era uint64) {
	w.Header().Set(PlatformEraHeader, strconv.FormatUint(era, 10))
}

// Handler returns a handler for the protocol of the platform and the administration endpoints.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/rows-get", p.withLimits(p.serveGetRows))
	mux.HandleFunc("GET /-/rows-feed", p.withLimits(p.serveFeed))
	mux.HandleFunc("POST /-/rows-tx", p.withLimits(p.serveTransaction))
	mux.HandleFunc("GET /-/blob-get/{name}", p.withLimits(p.serveGetBlob))
	mux.HandleFunc("PUT /-/blob-put/{name}", p.withLimits(p.servePutBlob))
	mux.HandleFunc("GET "+PlatformFaultsPath, p.serveGetFaults)
	mux.HandleFunc("PUT "+PlatformFaultsPath, p.serveSetFaults)
	mux.HandleFunc("GET "+PlatformStatsPath, p.serveStats)
	return mux
}

// fault counts a request, waits for the injected latency and returns the fault to inject.
func (p *Platform) fault(_ context.Context, k store.OperationKind) store.Fault {
	latency, fault := p.nextFault(k)
	if latency > 0 {
		time.Sleep(latency)
	}
	return fault
}

func (p *Platform) nextFault(k store.OperationKind) (time.Duration, store.Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	*p.stats.counter(k)++
	latency := time.Duration(p.faults.LatencyMs) * time.Millisecond
	isChange := k == store.CommitOperation || k == store.PutOperation
	switch {
	case p.faults.Down:
		return latency, store.Down
	case isChange && p.faults.LoseRequests > 0:
		p.faults.LoseRequests--
		return latency, store.LostRequest
	case isChange && p.faults.LoseResponses > 0:
		p.faults.LoseResponses--
		return latency, store.LostResponse
	case !isChange && p.faults.Stale:
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

// withLimits limits the requests in flight and the size of request bodies, and writes the error that serve returns.
func (p *Platform) withLimits(serve func(w http.ResponseWriter, r *http.Request, body []byte) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w = eraWriter{w, p}
		select {
		case p.slots <- struct{}{}:
			defer func() { <-p.slots }()
		default:
			writePlatformError(w, store.Unavailable.New("%d requests are in flight; send it again later", maxPlatformRequests))
			return
		}
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxPlatformBodyBytes))
		if err != nil {
			writePlatformError(w, store.Refused.New("the body cannot be read: %v; send at most %d bytes", err, maxPlatformBodyBytes))
			return
		}
		if err := serve(w, r, body); err != nil {
			writePlatformError(w, err)
		}
	}
}

// key returns the key of the row in the fake store.
func (r platformRow) key() store.Key { return store.Key(r.Table + "\x00" + r.Part + "\x00" + r.Key) }

func (p *Platform) serveGetRows(w http.ResponseWriter, r *http.Request, _ []byte) error {
	query := r.URL.Query()
	limit := maxPlatformRows
	if text := query.Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 {
			return store.Refused.New("limit %q is no positive number", text)
		}
		limit = min(n, maxPlatformRows)
	}
	base := platformRow{Table: query.Get("table"), Part: query.Get("part")}
	prefix := base.key()
	after := prefix + store.Key(query.Get("from"))
	page := platformPage{Rows: []platformRow{}, NowMs: time.Now().UnixMilli(), era: p.era.Load()}
	size := 0
	for {
		p.commitMu.Lock()
		if p.era.Load() != page.era {
			p.commitMu.Unlock()
			return store.Unavailable.New("the store has been restored meanwhile")
		}
		page.Version = p.fake.LastRevision()
		rows, err := p.fake.Scan(r.Context(), prefix, keyBefore(after), store.MaxRows)
		p.commitMu.Unlock()
		if err != nil {
			return err
		}
		for _, found := range rows {
			key := string(found.Key[len(prefix):])
			if end := query.Get("target"); end != "" && key >= end {
				return writePlatformPage(w, page)
			}
			if len(page.Rows) == limit || size >= maxPlatformPageBytes {
				page.More = true
				return writePlatformPage(w, page)
			}
			size += len(found.Value)
			page.Rows = append(page.Rows, platformRow{Table: base.Table, Part: base.Part, Key: key, Value: found.Value, Version: found.Revision.Number})
		}
		if len(rows) == 0 {
			return writePlatformPage(w, page)
		}
		after = rows[len(rows)-1].Key + "\x00"
	}
}

// keyBefore returns a key that sorts before k and after the smaller keys in the store, since a scan starts after its key and
// must include k.
func keyBefore(k store.Key) store.Key {
	if n := len(k); k[n-1] == 0 {
		return k[:n-1]
	}
	return k[:len(k)-1] + store.Key([]byte{k[len(k)-1] - 1}) + "\xff\xff\xff\xff"
}

func (p *Platform) serveTransaction(w http.ResponseWriter, r *http.Request, body []byte) error {
	var request platformTransaction
	if err := decodeStrict(body, &request); err != nil {
		return err
	}
	var transaction store.Transaction
	for _, c := range request.Conditions {
		transaction.Conditions = append(transaction.Conditions, store.Condition{Key: c.key(), Revision: store.Revision{Number: c.Version}})
	}
	for _, set := range request.Set {
		transaction.Writes = append(transaction.Writes, store.Write{Key: set.key(), Value: set.Value})
	}
	for _, removed := range request.Remove {
		transaction.Writes = append(transaction.Writes, store.Write{Key: removed.key(), Delete: true})
	}
	p.commitMu.Lock()
	defer p.commitMu.Unlock()
	before := p.fake.LastRevision()
	// A change takes effect even if its client has disconnected, as at a remote service.
	err := p.fake.Commit(context.WithoutCancel(r.Context()), transaction)
	if version := p.fake.LastRevision(); version != before {
		p.record(request, version)
	}
	if err != nil {
		return err
	}
	return writePlatformPage(w, platformPage{Version: p.fake.LastRevision(), NowMs: time.Now().UnixMilli(), era: p.era.Load()})
}

// WriteRow writes a row on behalf of the operator of the platform; after an error the row may or may not have been written.
func (p *Platform) WriteRow(ctx context.Context, table, key string, value []byte) error {
	r := platformRow{Table: table, Key: key, Value: value}
	p.commitMu.Lock()
	defer p.commitMu.Unlock()
	before := p.fake.LastRevision()
	err := p.fake.Commit(ctx, store.Transaction{Writes: []store.Write{{Key: r.key(), Value: value}}})
	if version := p.fake.LastRevision(); version != before {
		p.record(platformTransaction{Set: []platformRow{r}}, version)
	}
	return err
}

// record adds a transaction to the change feed and wakes the requests that wait for changes; the caller holds commitMu.
func (p *Platform) record(t platformTransaction, version uint64) {
	for _, set := range t.Set {
		set.Version = version
		p.changes = append(p.changes, platformChange{set, version})
	}
	for _, removed := range t.Remove {
		removed.Version, removed.Deleted = version, true
		p.changes = append(p.changes, platformChange{removed, version})
	}
	p.changes = p.changes[max(0, len(p.changes)-maxPlatformChanges):]
	close(p.changed)
	p.changed = make(chan struct{})
}

// serveFeed returns the changes of a table after a version; it waits up to wait_ms until there is one.
func (p *Platform) serveFeed(w http.ResponseWriter, r *http.Request, _ []byte) error {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		return store.Refused.New("after %q is no version", query.Get("after"))
	}
	waitMs, err := strconv.Atoi(query.Get("wait_ms"))
	if err != nil || waitMs < 0 || waitMs > maxPlatformWaitMs {
		return store.Refused.New("wait_ms %q is out of range", query.Get("wait_ms"))
	}
	timer := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer timer.Stop()
	for {
		if fault := p.fault(r.Context(), store.ReadOperation); fault != store.NoFault && fault != store.StaleRead {
			return store.Unavailable.New("the platform is down")
		}
		page, changed := p.changesAfter(query.Get("table"), after)
		if after > page.Version {
			return errHistoryLost
		}
		if len(page.Rows) > 0 {
			return writePlatformPage(w, page)
		}
		select {
		case <-changed:
		case <-timer.C:
			return writePlatformPage(w, page)
		case <-r.Context().Done():
			return store.Unavailable.Wrap(r.Context().Err())
		}
	}
}

func (p *Platform) changesAfter(table string, after uint64) (platformPage, <-chan struct{}) {
	p.commitMu.Lock()
	defer p.commitMu.Unlock()
	page := platformPage{Rows: []platformRow{}, Version: p.fake.LastRevision(), NowMs: time.Now().UnixMilli(), era: p.era.Load()}
	for _, c := range p.changes {
		if c.row.Table == table && c.version > after {
			page.Rows = append(page.Rows, c.row)
		}
	}
	return page, p.changed
}

func (p *Platform) serveGetBlob(w http.ResponseWriter, r *http.Request, _ []byte) error {
	data, err := p.fake.Get(r.Context(), r.PathValue("name"))
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.WriteHeader(http.StatusOK)
	_, err = w.Write(data)
	return err
}

func (p *Platform) servePutBlob(w http.ResponseWriter, r *http.Request, body []byte) error {
	if err := p.fake.Put(context.WithoutCancel(r.Context()), r.PathValue("name"), body); err != nil {
		return err
	}
	return writePlatformJSON(w, http.StatusOK, struct{}{})
}

func (p *Platform) serveGetFaults(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	faults := p.faults
	p.mu.Unlock()
	_ = writePlatformJSON(w, http.StatusOK, faults)
}

func (p *Platform) serveSetFaults(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 1<<10))
	if err != nil {
		writePlatformError(w, store.Refused.New("the body cannot be read: %v; send the faults as JSON", err))
		return
	}
	var faults PlatformFaults
	if err := decodeStrict(body, &faults); err != nil {
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

// SetFaults replaces the faults to inject.
func (p *Platform) SetFaults(faults PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if faults.Stale && !p.faults.Stale {
		p.fake.SaveStaleState()
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

func writePlatformPage(w http.ResponseWriter, page platformPage) error {
	setEra(w, page.era)
	return writePlatformJSON(w, http.StatusOK, page)
}

func writePlatformJSON(w http.ResponseWriter, status int, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data) // fails if the client has disconnected
	return nil
}

// writePlatformError writes an error response with the kind of the error. For an indeterminate outcome it aborts the connection,
// as if the response was lost.
func writePlatformError(w http.ResponseWriter, err error) {
	status, kind := http.StatusInternalServerError, "internal"
	switch {
	case store.Indeterminate.Has(err):
		panic(http.ErrAbortHandler)
	case errors.Is(err, errHistoryLost):
		status, kind = http.StatusGone, "history_lost"
	case store.ConditionFailed.Has(err):
		status, kind = http.StatusPreconditionFailed, "condition_failed"
	case store.Unavailable.Has(err):
		status, kind = http.StatusServiceUnavailable, "unavailable"
	case store.Refused.Has(err):
		status, kind = http.StatusBadRequest, "refused"
	case store.NotFound.Has(err):
		status, kind = http.StatusNotFound, "not_found"
	}
	message := err.Error()
	if cause := errors.Unwrap(err); cause != nil {
		message = cause.Error()
	}
	_ = writePlatformJSON(w, status, platformError{Kind: kind, Message: message, Remedy: "see package platform"})
}

// platformError is the response body of a request that failed.
type platformError struct {
	Kind    string `json:"kind"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
}

// decodeStrict decodes one JSON value into v and rejects unknown fields and trailing data.
func decodeStrict(data []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return store.Refused.New("the body is not valid: %v; see package platform for the protocol", err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return store.Refused.New("there is text after the body; send one JSON value")
	}
	return nil
}
