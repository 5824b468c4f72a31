package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() { cases["service"] = playService }

// playService sends permit requests. With trouble, one of the upstreams falls silent, and after reuse_delay_s its address belongs to an
// upstream of the orders service.
func playService(l *lab) (bool, error) {
	l.store.put("op", "config", configText(7, []route{permitRoute("/permits/"), orderRoute()}, []string{permits, orders}))
	services := []string{permits, permits, orders}
	var nodes []*node
	var upstreams []*upstream
	for i, s := range services {
		n := l.newNode(i+1, "palermo", s)
		nodes = append(nodes, n)
		upstreams = append(upstreams, l.newUpstream(fmt.Sprintf("i-%s-%d", s, i+1), s, n, 29, 87, 24*time.Millisecond))
	}
	hidden := l.address(1, l.ports.app+4)
	front, err := newProxy(nodes[0].app(), hidden)
	if err != nil {
		return false, err
	}
	for i, n := range nodes {
		if err := n.launch(); err != nil {
			return false, err
		}
		address := n.app()
		if i == 0 {
			address = hidden
		}
		if err := upstreams[i].listen(address); err != nil {
			return false, err
		}
	}
	for i, n := range nodes {
		if err := n.awaitReady(10 * time.Second); err != nil {
			return false, err
		}
		upstreams[i].reportEvery(heartbeat)
	}
	time.Sleep(stableWindow)
	load := l.askEvery(time.Second/1300, nodes, http.MethodGet, "permits.example", "/permits/2f", 400*time.Millisecond)
	time.Sleep(3 * time.Second)

	next := l.newUpstream("i-ordini-9", orders, nodes[0], 261, 144, 24*time.Millisecond)
	if l.trouble {
		l.note("%s falls silent for good", upstreams[0].id)
		front.silence()
		upstreams[0].end()
		time.Sleep(reuseDelay + 500*time.Millisecond)
		nodes[0].service = orders
		if err := nodes[0].writeSettings(); err != nil {
			return false, err
		}
		nodes[0].signal(syscall.SIGHUP)
		next.born = time.Now().UnixMilli()
		if err := next.listen(l.address(1, l.ports.app+5)); err != nil {
			return false, err
		}
		front.forward(l.address(1, l.ports.app+5))
		l.note("the address belongs to %s of %s", next.id, next.service)
		next.reportEvery(heartbeat)
	}
	time.Sleep(3 * time.Second)
	answers := load.end()
	wrong := 0
	for _, u := range append(upstreams, next) {
		for _, r := range u.ran() {
			if u.service != permits && r.host == "permits.example" {
				wrong++
			}
		}
	}
	l.note("%d of %d requests were served; %d ran at an upstream of a service to which no config lets them go", served(answers), len(answers), wrong)
	return wrong > 0, nil
}
