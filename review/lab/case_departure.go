package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() { cases["departure"] = playDeparture }

// departure is an upstream that leaves, with the requests that it ran after it had to get none.
type departure struct {
	upstream *upstream
	bound    time.Time // the latest time at which a request may reach it
}

// check returns the number of requests that reached the upstream too late, and notes what became of them.
func (d departure) check(l *lab, answers []answer) bool {
	status := map[string]int{}
	for _, a := range answers {
		status[a.id] = a.status
	}
	tooLate, lost := 0, 0
	for _, r := range d.upstream.ran() {
		if !r.at.After(d.bound) {
			continue
		}
		tooLate++
		if status[r.id]/100 != 2 {
			lost++
		}
	}
	l.note("%d of %d requests were served; %d of %d at %s reached it later than drain_ms after the acknowledgement, and %d of these were lost when it ended",
		served(answers), len(answers), tooLate, len(d.upstream.ran()), d.upstream.id, lost)
	return tooLate > 0
}

// playDeparture has an upstream leave with a DELETE; with trouble, the node beside it is killed after its acknowledgement and started
// again, and a liveness report that the upstream sent before arrives late.
func playDeparture(l *lab) (bool, error) {
	l.store.put("op", "config", configText(7, []route{permitRoute("/permits/"), orderRoute()}, []string{permits, orders}))
	nodes, upstreams, err := l.startAll(orders, orders, permits)
	if err != nil {
		return false, err
	}
	load := l.askEvery(25*time.Millisecond, nodes[1:], http.MethodPost, "orders.example", "/order/w290/2f", 6*time.Second)
	time.Sleep(2 * time.Second)

	leaving, beside := upstreams[0], nodes[0]
	late := leaving.report("ready") // sent now; with trouble it arrives late
	lateSent := time.Now()
	if !l.trouble {
		leaving.send(http.MethodPut, late)
	}
	leaving.stopReports()
	time.Sleep(100 * time.Millisecond)
	leaving.setState("gone")
	if !leaving.send(http.MethodDelete, nil) {
		return false, fmt.Errorf("the node does not acknowledge the DELETE")
	}
	leaving.noteAck()
	bound := leaving.acked.Add(drainTime)
	if l.trouble {
		time.Sleep(200 * time.Millisecond)
		beside.signal(syscall.SIGKILL)
		beside.await()
		time.Sleep(300 * time.Millisecond)
		if err := beside.launch(); err != nil {
			return false, err
		}
		if err := beside.awaitReady(5 * time.Second); err != nil {
			return false, err
		}
		// The machine is in touch again when its process has run for stable_window_ms.
		if inTouch := beside.started.Add(stableWindow); inTouch.After(bound) {
			bound = inTouch
		}
		time.Sleep(time.Until(lateSent.Add(2 * time.Second)))
		l.note("the liveness report that was sent %v ago arrives", time.Since(lateSent))
		leaving.send(http.MethodPut, late)
	}
	// The upstream goes on for many seconds after the acknowledgement.
	time.Sleep(time.Until(leaving.acked.Add(10 * time.Second)))
	leaving.end()
	time.Sleep(500 * time.Millisecond)
	return departure{leaving, bound}.check(l, load.end()), nil
}
