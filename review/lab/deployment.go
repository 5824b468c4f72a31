package main

import (
	"fmt"
	"time"
)

// The services and routes of the cases.
const (
	permits = "autorizza"
	orders  = "ordini"
)

func permitRoute(prefix string) route {
	return route{name: "r-permits", host: "permits.example", prefix: prefix, kind: "safe", service: permits, timeoutMs: 400, targetMs: 100, priority: 1, attempts: 2}
}

func orderRoute() route {
	return route{name: "r-orders", host: "orders.example", prefix: "/order/", kind: "unsafe", service: orders, timeoutMs: 6000, targetMs: 1500, priority: 0, attempts: 1}
}

// startAll starts a node on each machine, the first ones beside upstreams of the first service, and waits until they are ready.
func (l *lab) startAll(services ...string) ([]*node, []*upstream, error) {
	var nodes []*node
	var upstreams []*upstream
	for i, s := range services {
		n := l.newNode(i+1, "palermo", s)
		u := l.newUpstream(fmt.Sprintf("i-%s-%d", s, i+1), s, n, 29, 87, 24*time.Millisecond)
		nodes, upstreams = append(nodes, n), append(upstreams, u)
	}
	for i, n := range nodes {
		if err := n.launch(); err != nil {
			return nil, nil, err
		}
		if err := upstreams[i].listen(n.app()); err != nil {
			return nil, nil, err
		}
	}
	for i, n := range nodes {
		if err := n.awaitReady(10 * time.Second); err != nil {
			return nil, nil, err
		}
		upstreams[i].reportEvery(heartbeat)
	}
	time.Sleep(stableWindow)
	return nodes, upstreams, nil
}
