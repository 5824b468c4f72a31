package main

import (
	"net/http"
	"time"
)

func init() { cases["path"] = playPath }

// playPath sends requests for a route with the prefix "/". With trouble, their path begins with two slashes.
func playPath(l *lab) (bool, error) {
	l.store.put("op", "config", configText(7, []route{permitRoute("/"), orderRoute()}, []string{permits, orders}))
	nodes, upstreams, err := l.startAll(permits, permits, orders)
	if err != nil {
		return false, err
	}
	target := "/lanterns/2f?feast=7"
	if l.trouble {
		target = "//lanterns/2f?feast=7"
	}
	sent := map[string]bool{}
	for range 20 {
		for _, n := range nodes {
			sent[l.ask(n, http.MethodGet, "permits.example", target, 400*time.Millisecond, "").id] = true
		}
	}
	changed := 0
	for _, u := range upstreams {
		for _, r := range u.ran() {
			if sent[r.id] && (r.target != target || r.host != "permits.example") {
				changed++
			}
		}
	}
	l.note("%d of %d requests ran with another path or host than their client sent", changed, len(sent))
	return changed > 0, nil
}
