package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["clock"] = playClock }

// clockStep is how far the time of day of a machine jumps back.
const clockStep = 2000 * time.Millisecond

// playClock has an upstream start, crash and start again under the id that it had, and leave later as planned. With trouble, the time of day
// of its machine jumps back before its second start, so that it names an earlier start time.
func playClock(l *lab) (bool, error) {
	l.store.put("op", "config", configText(7, []route{permitRoute("/permits/"), orderRoute()}, []string{permits, orders}))
	nodes, upstreams, err := l.startAll(orders, orders, permits)
	if err != nil {
		return false, err
	}
	load := l.askEvery(25*time.Millisecond, nodes[1:], http.MethodPost, "orders.example", "/order/w290/2f", 6*time.Second)
	time.Sleep(time.Second)
	upstreams[0].end()
	time.Sleep(2 * time.Second)

	start := func(clock time.Duration) (*upstream, error) {
		u := l.newUpstream(upstreams[0].id, orders, nodes[0], 29, 87, 24*time.Millisecond)
		u.born = time.Now().Add(clock).UnixMilli()
		if err := u.listen(nodes[0].app()); err != nil {
			return nil, err
		}
		u.reportEvery(heartbeat)
		return u, nil
	}
	second, err := start(0)
	if err != nil {
		return false, err
	}
	time.Sleep(200 * time.Millisecond)
	clock := time.Duration(0)
	if l.trouble {
		clock = -clockStep
		l.note("the time of day of %s jumps by %v", nodes[0].name(), clock)
	}
	second.end()
	time.Sleep(1200 * time.Millisecond)
	third, err := start(clock)
	if err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)

	third.setState("draining")
	if !third.send(http.MethodPut, third.report("draining")) {
		return false, fmt.Errorf("the node does not acknowledge that the upstream is draining")
	}
	third.noteAck()
	time.Sleep(time.Until(third.acked.Add(8 * time.Second)))
	third.end()
	time.Sleep(500 * time.Millisecond)
	return departure{third, third.acked.Add(drainTime)}.check(l, load.end()), nil
}
