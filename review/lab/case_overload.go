package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["overload"] = playOverload }

const (
	// ordersPerSecond is the rate of orders, and orderWork the time that one takes.
	ordersPerSecond = 950
	orderWork       = 24 * time.Millisecond
	// burstFactor, burstTime and burstPause are the burst: how much more clients come, for how long, and the time without one.
	burstFactor = 1.8
	burstTime   = 20 * time.Second
	burstPause  = 2 * time.Second
)

// orderBytes are the sizes of the bodies of orders.
var orderBytes = []int{300, 1000, 1600, 12000, 20000, 30000}

// playOverload sends orders, and to the node beside their upstream also lookups on kept connections. With trouble, more clients come
// at once.
func playOverload(l *lab) (bool, error) {
	lookup := permitRoute("/permits/")
	lookup.timeoutMs, lookup.targetMs = 3000, 1000
	l.store.put("op", "config", configText(7, []route{lookup, orderRoute()}, []string{permits, orders}))
	var nodes []*node
	var upstreams []*upstream
	for i, s := range []string{orders, permits, permits, permits} {
		n := l.newNode(i+1, "palermo", s)
		u := l.newUpstream(fmt.Sprintf("i-%s-%d", s, i+1), s, n, 29, 87, orderWork)
		nodes, upstreams = append(nodes, n), append(upstreams, u)
		if err := n.launch(); err != nil {
			return false, err
		}
		if err := u.listen(n.app()); err != nil {
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
	beside := nodes[0]
	stop := make(chan struct{})
	var cutOff sync.Map
	var group sync.WaitGroup
	for range 12 {
		group.Go(func() { l.lookups(beside, stop, &cutOff) })
	}
	var mu sync.Mutex
	status := map[string]int{}
	var isBurst atomic.Bool
	group.Go(func() {
		for due := time.Now(); ; {
			rate := float64(ordersPerSecond)
			if isBurst.Load() {
				rate *= burstFactor
			}
			due = due.Add(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
			select {
			case <-stop:
				return
			case <-time.After(time.Until(due)):
			}
			group.Go(func() {
				body := strings.Repeat("x", orderBytes[rand.IntN(len(orderBytes))])
				a := l.ask(nodes[1+rand.IntN(len(nodes)-1)], http.MethodPost, "orders.example", "/order/7", 6*time.Second, body)
				mu.Lock()
				defer mu.Unlock()
				status[a.id] = a.status
			})
		}
	})
	end := time.After(95 * time.Second)
	next := time.After(burstPause)
	for isRunning := true; isRunning; {
		select {
		case <-beside.ended: // nobody has stopped it
			isRunning = false
		case <-end:
			isRunning = false
		case <-next:
			if !l.trouble {
				continue
			}
			isBurst.Store(!isBurst.Load())
			l.note("burst: %v", isBurst.Load())
			next = time.After(burstPause)
			if isBurst.Load() {
				next = time.After(burstTime)
			}
		}
	}
	time.Sleep(200 * time.Millisecond)
	close(stop)
	group.Wait()
	ran := map[string]bool{}
	for _, u := range upstreams {
		for _, r := range u.ran() {
			ran[r.id] = true
		}
	}
	count, unrun := 0, 0
	cutOff.Range(func(id, _ any) bool {
		if ran[id.(string)] {
			count++
		}
		return true
	})
	counts := map[int]int{}
	for id, s := range status {
		counts[s]++
		if s == http.StatusBadGateway && !ran[id] {
			unrun++
		}
	}
	l.note("answers to orders by status: %v; %d with 502 had not run", counts, unrun)
	l.note("%d lookups from kept connections were passed on to a sound upstream and got no answer", count)
	if text := beside.panicText(); text != "" {
		l.note("the process of %s says: %s", beside.name(), text)
	}
	return count > maxCutOff, nil
}
