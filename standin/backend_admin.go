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

// reportedLoad returns the load to report, which the behavior may distort.
func (b *Backend) reportedLoad(now time.Time) Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	load := Load{InFlight: b.inFlight, Queued: b.queued, Slots: b.settings.Slots}
	switch b.behavior.LoadReport {
	case LoadMisleading:
		return Load{Slots: b.settings.Slots}
	case LoadLagging:
		return b.laggingLoad(now, load)
	}
	return load
}

// laggingLoad returns the newest sample of at least the configured age and drops older ones; until there is one, it returns the
// load of an idle server.
func (b *Backend) laggingLoad(now time.Time, load Load) Load {
	b.loadSamples = append(b.loadSamples, loadSample{at: now, load: load})
	lag := time.Duration(b.behavior.LoadLagMs) * time.Millisecond
	newest := -1
	for i, sample := range b.loadSamples {
		if now.Sub(sample.at) >= lag {
			newest = i
		}
	}
	if newest < 0 {
		return Load{Slots: b.settings.Slots}
	}
	b.loadSamples = b.loadSamples[newest:]
	return b.loadSamples[0].load
}

func (b *Backend) serveExecutions(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, b.executions.list())
}

// serveBehavior replaces the behavior; requests that have started keep the previous one.
func (b *Backend) serveBehavior(w http.ResponseWriter, r *http.Request) {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
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
	// Encoding fails only if the client closed the connection.
	_ = json.NewEncoder(w).Encode(v)
}
