package main

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// storeLatency is the time that the store takes for a call.
const storeLatency = 4 * time.Millisecond

// row is a row of the store as the protocol spells it.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store is a stand-in of the platform's metadata store: rows and the feed of their changes.
type store struct {
	mu      sync.Mutex
	rows    map[[3]string]row
	feed    []row
	version uint64
	changed chan struct{}
	begun   time.Time
	isDown  bool // whether every call gets 503
}

func newStore() *store {
	return &store{rows: map[[3]string]row{}, changed: make(chan struct{}), begun: time.Now()}
}

// setDown makes the store refuse every call, or serve again.
func (s *store) setDown(isDown bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDown = isDown
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes one row, as the operator does.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Value: value}}, nil)
}

// apply changes rows in one transaction. The caller holds s.mu.
func (s *store) apply(set, remove []row) {
	s.version++
	for _, r := range set {
		r.Version, r.Deleted = s.version, false
		s.rows[[3]string{r.Table, r.Part, r.Key}] = r
		s.feed = append(s.feed, r)
	}
	for _, r := range remove {
		key := [3]string{r.Table, r.Part, r.Key}
		if _, ok := s.rows[key]; !ok {
			continue
		}
		delete(s.rows, key)
		s.feed = append(s.feed, row{Table: r.Table, Part: r.Part, Key: r.Key, Version: s.version, Deleted: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// page is the body of an answer with rows.
type page struct {
	Rows    []row  `json:"rows"`
	More    bool   `json:"has_more"`
	Version uint64 `json:"ver"`
	NowMs   int64  `json:"now_ms"`
}

func (s *store) newPage(rows []row) page {
	if rows == nil {
		rows = []row{}
	}
	return page{Rows: rows, Version: s.version, NowMs: time.Since(s.begun).Milliseconds()}
}

func answerJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	s.mu.Lock()
	isDown := s.isDown
	s.mu.Unlock()
	if isDown {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/-/rows-get":
		s.get(w, r)
	case "/-/rows-feed":
		s.watch(w, r)
	case "/-/rows-tx":
		s.commit(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	var found []row
	for _, held := range s.rows {
		if held.Table == q.Get("table") && held.Part == q.Get("part") && held.Key >= q.Get("from") && (q.Get("target") == "" || held.Key < q.Get("target")) {
			found = append(found, held)
		}
	}
	slices.SortFunc(found, func(a, b row) int { return cmp.Compare(a.Key, b.Key) })
	limit := 500
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	p := s.newPage(found[:min(limit, len(found))])
	p.More = len(found) > limit
	s.mu.Unlock()
	answerJSON(w, http.StatusOK, p)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	for {
		s.mu.Lock()
		var found []row
		for _, f := range s.feed {
			if f.Table == q.Get("table") && f.Version > after {
				found = append(found, f)
			}
		}
		p, changed, isDown := s.newPage(found), s.changed, s.isDown
		s.mu.Unlock()
		if isDown {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if len(found) > 0 {
			answerJSON(w, http.StatusOK, p)
			return
		}
		select {
		case <-changed:
		case <-end.C:
			answerJSON(w, http.StatusOK, p)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// transaction is the body of rows-tx.
type transaction struct {
	Conditions []row `json:"precondition"`
	Set        []row `json:"set_keys"`
	Remove     []row `json:"remove"`
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range t.Conditions {
		if s.rows[[3]string{c.Table, c.Part, c.Key}].Version != c.Version {
			answerJSON(w, http.StatusPreconditionFailed, s.newPage(nil))
			return
		}
	}
	s.apply(t.Set, t.Remove)
	answerJSON(w, http.StatusOK, s.newPage(nil))
}
