package admission

import (
	"math/bits"

	"github.com/sapphiretack/sapphiretack/request"
)

const (
	wordBits  = 64
	wordCount = int(request.PriorityCount) / wordBits
)

// queue is a priority queue; entries of equal priority are in order of arrival.
type queue struct {
	buckets [request.PriorityCount]list
	// occupied is a bitmap of the buckets that are not empty.
	occupied [wordCount]uint64
	// wordLengths is the number of entries in the buckets of each word of occupied.
	wordLengths [wordCount]int
	length      int
}

func (q *queue) push(t *table, p position) {
	priority := t.at(p).priority
	t.pushBack(&q.buckets[priority], p)
	word := priority / wordBits
	q.occupied[word] |= 1 << (priority % wordBits)
	q.wordLengths[word]++
	q.length++
}

func (q *queue) remove(t *table, p position) {
	priority := t.at(p).priority
	bucket := &q.buckets[priority]
	t.unlink(bucket, p)
	word := priority / wordBits
	if bucket.length == 0 {
		q.occupied[word] &^= 1 << (priority % wordBits)
	}
	q.wordLengths[word]--
	q.length--
}

// first returns the most important entry, or 0.
func (q *queue) first() position {
	for i, w := range q.occupied {
		if w != 0 {
			return q.buckets[i*wordBits+bits.TrailingZeros64(w)].head
		}
	}
	return 0
}

// last returns the least important entry, the newest of its priority, or 0.
func (q *queue) last() position {
	for i := wordCount - 1; i >= 0; i-- {
		if w := q.occupied[i]; w != 0 {
			return q.buckets[i*wordBits+bits.Len64(w)-1].tail
		}
	}
	return 0
}

// countAhead returns about how many entries precede a new one with the given
// priority. It includes the whole bitmap word of the priority, so the result
// also counts less important entries within the same 64 priorities.
func (q *queue) countAhead(priority request.Priority) int {
	n := 0
	for i := range int(priority/wordBits) + 1 {
		n += q.wordLengths[i]
	}
	return n
}
