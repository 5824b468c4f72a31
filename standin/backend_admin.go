package standin

import (
	"encoding/json"
	"net/http"
	"time"
)

func (b *Backend) serveHealth(w http.ResponseWriter, _ *http.Request) {
	b.mu.Lock()
	draining := b.draining
	b.mu.Unlock()
	if draining {
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}

func (b *Backend) serveLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, b.reportedLoad(time.Now()))
}

// reportedLoad returns the load as the behavior has it reported.
func (b *Backend) reportedLoad(now time.Time) Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	load := Load{InFlight: b.inFlight, Queued: b.queued, Slots: b.settings.Slots}
	switch b.behavior.LoadReport {
	case LoadMisleading:
		return Load{Slots: b.settings.Slots}
	case LoadLagging:
		return b.lagging(now, load)
	}
	return load
}

// lagging returns the newest report that is old enough, and drops older ones; before that, the server seems idle.
func (b *Backend) lagging(now time.Time, load Load) Load {
	b.reports = append(b.reports, loadSample{at: now, load: load})
	lag := time.Duration(b.behavior.LoadLagMs) * time.Millisecond
	newest := -1
	for i, sample := range b.reports {
		if now.Sub(sample.at) >= lag {
			newest = i
		}
	}
	if newest < 0 {
		return Load{Slots: b.settings.Slots}
	}
	b.reports = b.reports[newest:]
	return b.reports[0].load
}

func (b *Backend) serveExecutions(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, b.record.list())
}

// serveBehavior replaces the behavior; requests that hold a slot keep the former one.
func (b *Backend) serveBehavior(w http.ResponseWriter, r *http.Request) {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
	decoder.DisallowUnknownFields()
	var behavior Behavior
	if err := decoder.Decode(&behavior); err != nil {
		http.Error(w, "the behavior cannot be read: "+err.Error(), http.StatusBadRequest)
		return
	}
	if err := behavior.check(); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.behavior = behavior
}

func (b *Backend) serveDrain(http.ResponseWriter, *http.Request) { b.Drain() }

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// An error here means that the client is gone.
	_ = json.NewEncoder(w).Encode(v)
}
