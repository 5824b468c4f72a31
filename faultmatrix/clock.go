package faultmatrix

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/sapphiretack/sapphiretack/request"
)

// clock is a discrete event scheduler: it runs functions in the order of their virtual time.
type clock struct {
	now     request.Instant
	random  *rand.Rand
	queue   taskQueue
	lastSeq uint64
}

// task is a function to run at a virtual time; seq orders tasks with the same time.
type task struct {
	at  request.Instant
	seq uint64
	run func()
}

type taskQueue []task

func (q taskQueue) Len() int { return len(q) }

func (q taskQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}

func (q taskQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *taskQueue) Push(x any)   { *q = append(*q, x.(task)) }

func (q *taskQueue) Pop() any {
	last := len(*q) - 1
	o := (*q)[last]
	(*q)[last] = task{}
	*q = (*q)[:last]
	return o
}

// after schedules f to run after d.
func (c *clock) after(d time.Duration, f func()) {
	c.lastSeq++
	heap.Push(&c.queue, task{at: c.now.Add(max(d, 0)), seq: c.lastSeq, run: f})
}

// runUntil runs all tasks up to a time and sets the clock to it.
func (c *clock) runUntil(end request.Instant) {
	for len(c.queue) > 0 && c.queue[0].at <= end {
		o := heap.Pop(&c.queue).(task)
		c.now = o.at
		o.run()
	}
	c.now = end
}

// randomDuration returns a duration drawn uniformly from low to high, both inclusive.
func (c *clock) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(c.random.Int64N(int64(high-low)+1))
}

// Seconds returns n seconds as a duration.
func Seconds(n int) time.Duration { return time.Duration(n) * time.Second }
