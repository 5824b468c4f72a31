package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// answer is what a client got for one request.
type answer struct {
	id     string
	sent   time.Time
	status int // 0 if there was no whole answer
	seal   string
}

var lastRequest atomic.Int64

// ask sends one request on a new connection.
func (l *lab) ask(n *node, method, host, target string, budget time.Duration, body string) answer {
	a := answer{id: fmt.Sprintf("%08x%08x", lastRequest.Add(1), time.Now().UnixNano()&0xffffffff), sent: time.Now()}
	l.note("SENT %s %s %s host %s body of %d bytes to %s", a.id, method, target, host, len(body), n.name())
	defer func() { l.note("ANSWERED %s status %d seal %q", a.id, a.status, a.seal) }()
	conn, err := net.DialTimeout("tcp4", n.outbound(), time.Second)
	if err != nil {
		return a
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(budget + 500*time.Millisecond))
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, target, host, a.id, budget.Milliseconds())
	if body != "" {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := io.WriteString(conn, text+"\r\n"+body); err != nil {
		return a
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return a
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return a
	}
	a.status, a.seal = response.StatusCode, response.Header.Get("X-Response-Seal")
	return a
}

// traffic is a stream of requests that lasts until end is called.
type traffic struct {
	stop    chan struct{}
	group   sync.WaitGroup
	mu      sync.Mutex
	answers []answer
}

// askEvery sends a request at each interval, to the nodes in turn.
func (l *lab) askEvery(interval time.Duration, nodes []*node, method, host, target string, budget time.Duration) *traffic {
	t := &traffic{stop: make(chan struct{})}
	t.group.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-t.stop:
				return
			case <-ticker.C:
			}
			t.group.Go(func() {
				a := l.ask(nodes[i%len(nodes)], method, host, target, budget, "")
				t.mu.Lock()
				t.answers = append(t.answers, a)
				t.mu.Unlock()
			})
		}
	})
	return t
}

// end stops the traffic and returns the answers.
func (t *traffic) end() []answer {
	close(t.stop)
	t.group.Wait()
	return t.answers
}

// served counts the answers with a success.
func served(answers []answer) int {
	n := 0
	for _, a := range answers {
		if a.status/100 == 2 {
			n++
		}
	}
	return n
}
