package faultmatrix

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/sapphiretack/sapphiretack/request"
)

// simulation runs functions in the order of their virtual time.
type simulation struct {
	now    request.Instant
	random *rand.Rand
	queue  occurrences
	number uint64
}

// occurrence is a function that runs at a time; number keeps the order of those at the same time.
type occurrence struct {
	at     request.Instant
	number uint64
	run    func()
}

type occurrences []occurrence

func (q occurrences) Len() int { return len(q) }

func (q occurrences) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].number < q[j].number
}

func (q occurrences) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *occurrences) Push(x any)   { *q = append(*q, x.(occurrence)) }

func (q *occurrences) Pop() any {
	last := len(*q) - 1
	o := (*q)[last]
	(*q)[last] = occurrence{}
	*q = (*q)[:last]
	return o
}

// after runs f when d has passed.
func (s *simulation) after(d time.Duration, f func()) {
	s.number++
	heap.Push(&s.queue, occurrence{at: s.now.Add(max(d, 0)), number: s.number, run: f})
}

// runUntil runs all occurrences up to a time.
func (s *simulation) runUntil(end request.Instant) {
	for len(s.queue) > 0 && s.queue[0].at <= end {
		o := heap.Pop(&s.queue).(occurrence)
		s.now = o.at
		o.run()
	}
	s.now = end
}

// between returns a random duration.
func (s *simulation) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Int64N(int64(high-low)+1))
}

// Seconds returns a duration of whole seconds.
func Seconds(n int) time.Duration { return time.Duration(n) * time.Second }
