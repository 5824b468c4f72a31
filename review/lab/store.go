package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// platformStore is a stand-in for the platform's store: rows in tables, transactions and a feed of changes.
type platformStore struct {
	mu      sync.Mutex
	rows    map[rowKey]storedRow
	feed    []storedRow
	version uint64
	changed chan struct{}
	start   time.Time
}

type rowKey struct{ table, part, key string }

type storedRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (r storedRow) id() rowKey { return rowKey{r.Table, r.Part, r.Key} }

func newPlatformStore(address string) (*platformStore, error) {
	s := &platformStore{rows: map[rowKey]storedRow{}, changed: make(chan struct{}), start: time.Now()}
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/rows-get", s.get)
	mux.HandleFunc("GET /-/rows-feed", s.follow)
	mux.HandleFunc("POST /-/rows-tx", s.commit)
	go func() { _ = http.Serve(listener, mux) }()
	return s, nil
}

// put writes a row as the operator does.
func (s *platformStore) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(storedRow{Table: table, Key: key, Value: value, Version: s.version})
	s.wake()
}

func (s *platformStore) set(r storedRow) {
	if r.Deleted {
		delete(s.rows, r.id())
	} else {
		s.rows[r.id()] = r
	}
	s.feed = append(s.feed, r)
}

func (s *platformStore) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *platformStore) reply(w http.ResponseWriter, status int, rows []storedRow, hasMore bool) {
	if rows == nil {
		rows = []storedRow{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "has_more": hasMore, "ver": s.version, "now_ms": time.Since(s.start).Milliseconds(),
	})
}

func (s *platformStore) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > 500 {
		limit = 500
	}
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []storedRow
	for k, row := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") && (q.Get("target") == "" || k.key < q.Get("target")) {
			out = append(out, row)
		}
	}
	slices.SortFunc(out, func(a, b storedRow) int { return strings.Compare(a.Key, b.Key) })
	hasMore := len(out) > limit
	s.reply(w, http.StatusOK, out[:min(limit, len(out))], hasMore)
}

func (s *platformStore) follow(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	waitMs, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(min(waitMs, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		var out []storedRow
		for _, row := range s.feed {
			if row.Version > after && row.Table == q.Get("table") {
				out = append(out, row)
			}
		}
		if len(out) > 0 {
			s.reply(w, http.StatusOK, out, false)
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end:
			s.mu.Lock()
			s.reply(w, http.StatusOK, nil, false)
			s.mu.Unlock()
			return
		}
	}
}

func (s *platformStore) commit(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Conditions []storedRow `json:"precondition"`
		Set        []storedRow `json:"set_keys"`
		Remove     []storedRow `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []storedRow
	hasFailed := false
	for _, c := range t.Conditions {
		row, ok := s.rows[c.id()]
		hasFailed = hasFailed || row.Version != c.Version
		if ok {
			current = append(current, row)
		}
	}
	if hasFailed {
		s.reply(w, http.StatusPreconditionFailed, current, false)
		return
	}
	for _, row := range slices.Concat(t.Set, t.Remove) {
		if row.Table == "op" || row.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.version++
	for _, row := range t.Set {
		row.Version, row.Deleted = s.version, false
		s.set(row)
	}
	for _, row := range t.Remove {
		row.Version, row.Deleted, row.Value = s.version, true, nil
		s.set(row)
	}
	s.wake()
	s.reply(w, http.StatusOK, nil, false)
}

// route is a route of the operator's config.
type route struct {
	name, host, prefix, kind, service string
	timeoutMs, targetMs, priority     int
	attempts                          int
}

// configText returns the operator's config.
func configText(version int, routes []route, services []string) []byte {
	var routeRows, serviceRows [][]any
	for _, r := range routes {
		routeRows = append(routeRows, []any{r.name, r.host, r.prefix, r.kind, r.timeoutMs, r.targetMs, r.priority, nil, r.attempts, r.service})
	}
	for _, s := range services {
		serviceRows = append(serviceRows, []any{s, "/health", 1666, "h1", false})
	}
	data, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": map[string]any{
			"columns": []string{"name", "host", "prefix", "kind", "timeout_ms", "target_latency_ms", "priority", "split", "max_attempts", "service"},
			"rows":    routeRows,
		},
		"services": map[string]any{"columns": []string{"name", "health_path", "max_connections", "protocol", "tls"}, "rows": serviceRows},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	return data
}
