package main

import (
	"net/http"
	"time"
)

func init() { cases["slash"] = playSlash }

// playSlash sends requests whose path begins with "/order", followed by a slash, or by an encoded slash with trouble. The route with the
// prefix "/order/" leads to one service, that with the prefix "/" to another one.
func playSlash(l *lab) (bool, error) {
	all := permitRoute("/")
	order := orderRoute()
	order.host = all.host
	l.store.put("op", "config", configText(7, []route{all, order}, []string{permits, orders}))
	nodes, upstreams, err := l.startAll(permits, permits, orders)
	if err != nil {
		return false, err
	}
	target, allowed := "/order/7", orders
	if l.trouble {
		target, allowed = "/order%2F7", permits
	}
	sent := map[string]bool{}
	for range 20 {
		for _, n := range nodes {
			sent[l.ask(n, http.MethodGet, all.host, target, 400*time.Millisecond, "").id] = true
		}
	}
	wrong := 0
	for _, u := range upstreams {
		for _, r := range u.ran() {
			if sent[r.id] && r.service != allowed {
				wrong++
			}
		}
	}
	l.note("%d of %d requests for %s ran at a service other than %s", wrong, len(sent), target, allowed)
	return wrong > 0, nil
}
