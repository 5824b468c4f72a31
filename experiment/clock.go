package experiment

import (
	"time"

	"github.com/sapphiretack/sapphiretack/request"
)

// clock is a discrete event scheduler: it runs functions in the order of their virtual time. Functions
// with the same time run in the order in which they were scheduled.
type clock struct {
	now     request.Instant
	lastSeq uint64
	heap    []task
	steps   uint64
}

type task struct {
	at  request.Instant
	seq uint64
	run func()
}

func (t *task) before(u *task) bool {
	return t.at < u.at || t.at == u.at && t.seq < u.seq
}

// after schedules f to run after d.
func (c *clock) after(d time.Duration, f func()) {
	c.lastSeq++
	c.heap = append(c.heap, task{at: c.now.Add(d), seq: c.lastSeq, run: f})
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

// runUntil runs all tasks up to a time and sets the clock to it.
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
