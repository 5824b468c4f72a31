package fleet

import (
	"slices"
	"time"
)

const (
	// maxSilence is the age at which an entry or summary is stale in any case.
	maxSilence = 5 * time.Second
	// staleFactor is the ratio between the age at which an entry is stale and the median age.
	staleFactor = 8
	// minAges is the number of entries from which on their ages tell how long entries take.
	minAges = 8
	// ageSmoothing is the number of updates over which the median age is averaged, so that the nodes of a zone agree on the age at
	// which an entry is stale.
	ageSmoothing = 10
)

// ageMeter measures how long entries take to arrive. Entries that arrive late, because the fleet is large or the network loses
// messages, do not mean that their nodes are gone.
type ageMeter struct {
	median time.Duration // averaged over some updates; 0 if there are too few entries
}

// update adds the current ages of all entries to the average; it reorders them.
func (a *ageMeter) update(ages []time.Duration) {
	live := ages[:0]
	for _, age := range ages {
		if age < maxSilence {
			live = append(live, age)
		}
	}
	if len(live) < minAges {
		a.median = 0
		return
	}
	slices.Sort(live)
	if median := live[(len(live)-1)/2]; a.median == 0 {
		a.median = median
	} else {
		a.median += (median - a.median) / ageSmoothing
	}
}

// maxAge returns the age at which an entry is stale: least, or more if entries take long, but at most maxSilence.
func (a *ageMeter) maxAge(least time.Duration) time.Duration {
	return min(maxSilence, max(least, staleFactor*a.median))
}
