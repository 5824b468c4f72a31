package admission

import (
	"math/bits"

	"github.com/sapphiretack/sapphiretack/request"
)

const (
	wordBits  = 64
	wordCount = int(request.MaxPriority) / wordBits
)

// queue orders entries by priority and, within one priority, by arrival.
type queue struct {
	buckets [request.MaxPriority]list
	// present has a bit for each bucket that is not empty.
	present [wordCount]uint64
	// lengths counts the entries under each word of present.
	lengths [wordCount]int
	length  int
}

func (q *queue) push(t *table, p position) {
	priority := t.at(p).priority
	t.pushBack(&q.buckets[priority], p)
	word := priority / wordBits
	q.present[word] |= 1 << (priority % wordBits)
	q.lengths[word]++
	q.length++
}

func (q *queue) remove(t *table, p position) {
	priority := t.at(p).priority
	bucket := &q.buckets[priority]
	t.unlink(bucket, p)
	word := priority / wordBits
	if bucket.length == 0 {
		q.present[word] &^= 1 << (priority % wordBits)
	}
	q.lengths[word]--
	q.length--
}

// first returns the most important entry, or 0.
func (q *queue) first() position {
	for i, w := range q.present {
		if w != 0 {
			return q.buckets[i*wordBits+bits.TrailingZeros64(w)].head
		}
	}
	return 0
}

// last returns the least important entry, the newest of its priority, or 0.
func (q *queue) last() position {
	for i := wordCount - 1; i >= 0; i-- {
		if w := q.present[i]; w != 0 {
			return q.buckets[i*wordBits+bits.Len64(w)-1].tail
		}
	}
	return 0
}

// ahead counts the entries that are served before a new one with the given
// priority. It counts the whole word of the priority, so the result can be
// too high by the entries that are less important by under 64.
func (q *queue) ahead(priority request.Priority) int {
	n := 0
	for i := range int(priority/wordBits) + 1 {
		n += q.lengths[i]
	}
	return n
}
