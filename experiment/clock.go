package experiment

import (
	"time"

	"github.com/sapphiretack/sapphiretack/request"
)

// clock runs functions in the order of their virtual time, and in the order of their scheduling at the same time.
type clock struct {
	now   request.Instant
	next  uint64
	heap  []task
	steps uint64
}

type task struct {
	at    request.Instant
	order uint64
	run   func()
}

func (t *task) before(u *task) bool {
	return t.at < u.at || t.at == u.at && t.order < u.order
}

// after schedules f for d from now.
func (c *clock) after(d time.Duration, f func()) {
	c.next++
	c.heap = append(c.heap, task{at: c.now.Add(d), order: c.next, run: f})
	h := c.heap
	for i := len(h) - 1; i > 0; {
		parent := (i - 1) / 2
		if !h[i].before(&h[parent]) {
			break
		}
		h[i], h[parent] = h[parent], h[i]
		i = parent
	}
}

// runUntil runs what is scheduled up to the given time.
func (c *clock) runUntil(end request.Instant) {
	for len(c.heap) > 0 && c.heap[0].at <= end {
		t := c.pop()
		c.now = t.at
		c.steps++
		t.run()
	}
	c.now = end
}

func (c *clock) pop() task {
	h := c.heap
	first := h[0]
	n := len(h) - 1
	h[0], h[n] = h[n], task{}
	h = h[:n]
	for i := 0; ; {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < n; child++ {
			if h[child].before(&h[least]) {
				least = child
			}
		}
		if least == i {
			break
		}
		h[i], h[least] = h[least], h[i]
		i = least
	}
	c.heap = h
	return first
}
