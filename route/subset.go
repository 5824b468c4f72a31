package route

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"

	"github.com/sapphiretack/sapphiretack/request"
)

// tier ranks instances by distance; suspect instances come last regardless of their zone.
type tier uint8

const (
	sameZone tier = iota
	sameRegion
	otherRegion
	suspected
	tierCount
)

func (s *Settings) tierOf(m Member) tier {
	switch {
	case m.State == Suspect:
		return suspected
	case m.Zone == s.Zone:
		return sameZone
	case m.Region == s.Region:
		return sameRegion
	}
	return otherRegion
}

// candidate is a member with its rendezvous hash for this source.
type candidate struct {
	member Member
	hash   uint64
	local  bool
}

// rendezvousHash returns the rendezvous hash of a member for a source; each source orders the members differently, which distributes the subsets.
func rendezvousHash(source, target request.InstanceID) uint64 {
	h := fnv.New64a()
	h.Write([]byte(source))
	h.Write([]byte{0})
	h.Write([]byte(target))
	// FNV hashes of similar names differ little in the high bits, so a finalizer mixes them.
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// minSubset is the minimum subset size, so that Pick can choose between two instances even if the connection limit allows fewer.
const minSubset = 2

// localShare is the share of an instance's connections for sources in its own zone; the rest is for all other zones.
const localShare = 0.6

// subsetCounts are the numbers of sources and instances that determine the subset size, by whether they are in the source's own zone.
type subsetCounts struct {
	localSources, otherSources     int
	localInstances, otherInstances int
}

// subset returns the members of one service that the source may connect to, few enough to keep each instance within its connection limit.
func (s *Settings) subset(members []candidate, p subsetCounts) []candidate {
	slices.SortFunc(members, func(a, b candidate) int { return cmp.Compare(a.hash, b.hash) })
	connections := float64(s.MaxConnections)
	local := subsetSize(localShare*connections, p.localSources, p.localInstances)
	other := subsetSize((1-localShare)*connections, p.otherSources, p.otherInstances)
	local = max(local, min(1, p.localInstances))
	other = max(other, min(minSubset-local, p.otherInstances))
	if p.otherInstances > 0 {
		// Keeps one instance outside the zone, so that the service stays reachable if all instances in the zone fail.
		other = max(other, 1)
	}
	out := members[:0:0]
	for _, c := range members {
		remaining := &other
		if c.local {
			remaining = &local
		}
		if *remaining > 0 {
			*remaining--
			out = append(out, c)
		}
	}
	return out
}

// subsetSize returns how many of the instances each source may use so that no instance exceeds the given number of connections.
//
// With k instances per source, the expected number of connections of an instance is sources*k/instances. Rendezvous hashing distributes them
// like a random choice, so the result leaves a margin of four standard deviations.
func subsetSize(connections float64, sources, instances int) int {
	if instances == 0 {
		return 0
	}
	if float64(sources) <= connections {
		return instances
	}
	root := math.Sqrt(4+connections) - 2 // solves mean + 4*sqrt(mean) = connections for sqrt(mean)
	mean := root * root
	return min(instances, int(mean*float64(instances)/float64(sources)))
}
