package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
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

// Platform is a stand-in for the platform's store: rows with versions, a feed of changes, and objects.
type Platform struct {
	fake  *store.Fake
	slots chan struct{}

	mu     sync.Mutex
	faults PlatformFaults
	stats  PlatformStats

	// commitMu makes the order of the changes that of their versions.
	commitMu sync.Mutex
	changes  []platformChange
	changed  chan struct{}
}

// platformChange is a row that was set or removed.
type platformChange struct {
	row     platformRow
	version store.Revision
}

// platformRow is a row on the wire.
type platformRow struct {
	Table   string         `json:"table"`
	Part    string         `json:"part"`
	Key     string         `json:"key"`
	Value   []byte         `json:"value,omitempty"`
	Version store.Revision `json:"ver"`
	Deleted bool           `json:"deleted,omitempty"`
}

// platformTransaction is the body of a transaction.
type platformTransaction struct {
	Conditions []platformRow `json:"precondition"`
	Set        []platformRow `json:"set_keys"`
	Remove     []platformRow `json:"remove"`
	Across     bool          `json:"across"`
}

// platformPage is the answer about rows.
type platformPage struct {
	Rows    []platformRow  `json:"rows"`
	More    bool           `json:"has_more"`
	Version store.Revision `json:"ver"`
	NowMs   int64          `json:"now_ms"`
}

const (
	maxPlatformBody = 8 << 20
	maxPlatformRows = 500
	// maxPlatformPage is the size of the values from which a page ends.
	maxPlatformPage = 1 << 20
	// maxPlatformHistory is the number of changes that the feed keeps.
	maxPlatformHistory = 10_000
	// maxPlatformWait bounds a wait for changes, in milliseconds.
	maxPlatformWait = 30_000
)

// NewPlatform returns an empty platform.
func NewPlatform() *Platform {
	p := &Platform{fake: store.NewFake(), slots: make(chan struct{}, maxPlatformRequests), changed: make(chan struct{})}
	p.fake.Inject(p.fault)
	return p
}

// Handler serves the platform's protocol and the administration.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/rows-get", p.bounded(p.serveGetRows))
	mux.HandleFunc("GET /-/rows-feed", p.bounded(p.serveFeed))
	mux.HandleFunc("POST /-/rows-tx", p.bounded(p.serveTransaction))
	mux.HandleFunc("GET /-/blob-get/{name}", p.bounded(p.serveGet))
	mux.HandleFunc("PUT /-/blob-put/{name}", p.bounded(p.servePut))
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
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxPlatformBody))
		if err != nil {
			writePlatformError(w, store.Refused.New("the body cannot be read: %v; send at most %d bytes", err, maxPlatformBody))
			return
		}
		// A change takes effect also when its client has gone, as at a remote service.
		if err := serve(w, r.WithContext(context.WithoutCancel(r.Context())), body); err != nil {
			writePlatformError(w, err)
		}
	}
}

// key returns where a row lies in the fake.
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
	out := platformPage{Rows: []platformRow{}, NowMs: time.Now().UnixMilli()}
	size := 0
	for {
		p.commitMu.Lock()
		out.Version = p.fake.Last()
		rows, err := p.fake.Scan(r.Context(), prefix, beforeKey(after), store.MaxRows)
		p.commitMu.Unlock()
		if err != nil {
			return err
		}
		for _, found := range rows {
			key := string(found.Key[len(prefix):])
			if end := query.Get("target"); end != "" && key >= end {
				return writePlatformJSON(w, http.StatusOK, out)
			}
			if len(out.Rows) == limit || size >= maxPlatformPage {
				out.More = true
				return writePlatformJSON(w, http.StatusOK, out)
			}
			size += len(found.Value)
			out.Rows = append(out.Rows, platformRow{Table: base.Table, Part: base.Part, Key: key, Value: found.Value, Version: found.Revision})
		}
		if len(rows) == 0 {
			return writePlatformJSON(w, http.StatusOK, out)
		}
		after = rows[len(rows)-1].Key + "\x00"
	}
}

// beforeKey returns a key behind all that are smaller than the given one, since a scan begins behind its key.
func beforeKey(k store.Key) store.Key {
	if n := len(k); k[n-1] == 0 {
		return k[:n-1]
	}
	return k[:len(k)-1] + store.Key([]byte{k[len(k)-1] - 1}) + "\xff\xff\xff\xff"
}

func (p *Platform) serveTransaction(w http.ResponseWriter, r *http.Request, body []byte) error {
	var t platformTransaction
	if err := decodeStrict(body, &t); err != nil {
		return err
	}
	var out store.Transaction
	for _, c := range t.Conditions {
		out.Conditions = append(out.Conditions, store.Condition{Key: c.key(), Revision: c.Version})
	}
	for _, set := range t.Set {
		out.Writes = append(out.Writes, store.Write{Key: set.key(), Value: set.Value})
	}
	for _, removed := range t.Remove {
		out.Writes = append(out.Writes, store.Write{Key: removed.key(), Delete: true})
	}
	p.commitMu.Lock()
	defer p.commitMu.Unlock()
	before := p.fake.Last()
	err := p.fake.Commit(r.Context(), out)
	if version := p.fake.Last(); version != before {
		p.record(t, version)
	}
	if err != nil {
		return err
	}
	return writePlatformJSON(w, http.StatusOK, platformPage{Version: p.fake.Last(), NowMs: time.Now().UnixMilli()})
}

// Set writes a row as the platform's operator; an error means that it may not have been written.
func (p *Platform) Set(ctx context.Context, table, key string, value []byte) error {
	r := platformRow{Table: table, Key: key, Value: value}
	p.commitMu.Lock()
	defer p.commitMu.Unlock()
	before := p.fake.Last()
	err := p.fake.Commit(ctx, store.Transaction{Writes: []store.Write{{Key: r.key(), Value: value}}})
	if version := p.fake.Last(); version != before {
		p.record(platformTransaction{Set: []platformRow{r}}, version)
	}
	return err
}

// record adds a transaction to the history and wakes those that wait for changes; the caller holds commitMu.
func (p *Platform) record(t platformTransaction, version store.Revision) {
	for _, set := range t.Set {
		set.Version = version
		p.changes = append(p.changes, platformChange{set, version})
	}
	for _, removed := range t.Remove {
		removed.Version, removed.Deleted = version, true
		p.changes = append(p.changes, platformChange{removed, version})
	}
	p.changes = p.changes[max(0, len(p.changes)-maxPlatformHistory):]
	close(p.changed)
	p.changed = make(chan struct{})
}

// serveFeed returns the changes of a table after a version, as soon as there is one.
func (p *Platform) serveFeed(w http.ResponseWriter, r *http.Request, _ []byte) error {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		return store.Refused.New("after %q is no version", query.Get("after"))
	}
	wait, err := strconv.Atoi(query.Get("wait_ms"))
	if err != nil || wait < 0 || wait > maxPlatformWait {
		return store.Refused.New("wait_ms %q is out of range", query.Get("wait_ms"))
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		if fault := p.fault(r.Context(), store.ReadOperation); fault != store.NoFault && fault != store.StaleRead {
			return store.Unavailable.New("the platform is down")
		}
		out, changed := p.changesAfter(query.Get("table"), store.Revision(after))
		if len(out.Rows) > 0 {
			return writePlatformJSON(w, http.StatusOK, out)
		}
		select {
		case <-changed:
		case <-timer.C:
			return writePlatformJSON(w, http.StatusOK, out)
		}
	}
}

func (p *Platform) changesAfter(table string, after store.Revision) (platformPage, <-chan struct{}) {
	p.commitMu.Lock()
	defer p.commitMu.Unlock()
	out := platformPage{Rows: []platformRow{}, Version: p.fake.Last(), NowMs: time.Now().UnixMilli()}
	for _, c := range p.changes {
		if c.row.Table == table && c.version > after {
			out.Rows = append(out.Rows, c.row)
		}
	}
	return out, p.changed
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

// platformError is the body of an answer to a request that was not carried out.
type platformError struct {
	Kind    string `json:"kind"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
}

// decodeStrict reads one JSON value into v and refuses unknown fields and trailing text.
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
