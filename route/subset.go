package route

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"

	"github.com/sapphiretack/sapphiretack/request"
)

// tier orders instances by distance; a suspect instance comes last wherever it is.
type tier uint8

const (
	sameZone tier = iota
	sameRegion
	elsewhere
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
	return elsewhere
}

// candidate is a member with its place in the rendezvous order of this source.
type candidate struct {
	member Member
	rank   uint64
	local  bool
}

// rendezvous ranks a member for a source; different sources rank the same members differently, which spreads their subsets.
func rendezvous(source, target request.InstanceID) uint64 {
	h := fnv.New64a()
	h.Write([]byte(source))
	h.Write([]byte{0})
	h.Write([]byte(target))
	// FNV leaves similar names close together in the high bits, so they are mixed once more.
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// The smallest subset leaves two instances to choose between, also where the connections would allow fewer.
const minSubset = 2

// localShare is the part of an instance's connections that sources of its own zone may take; the rest is for all other zones.
const localShare = 0.6

// population counts what bounds a subset: the sources that may connect and the instances that they share.
type population struct {
	localSources, otherSources     int
	localInstances, otherInstances int
}

// subset returns the members of one service that the source connects to, at most as many as keeps the connections of each within bounds.
func (s *Settings) subset(members []candidate, p population) []candidate {
	slices.SortFunc(members, func(a, b candidate) int { return cmp.Compare(a.rank, b.rank) })
	connections := float64(s.Connections)
	local := fit(localShare*connections, p.localSources, p.localInstances)
	other := fit((1-localShare)*connections, p.otherSources, p.otherInstances)
	local = max(local, min(1, p.localInstances))
	other = max(other, min(minSubset-local, p.otherInstances))
	if p.otherInstances > 0 {
		// One instance outside the zone keeps the service within reach when the zone's instances are gone.
		other = max(other, 1)
	}
	out := members[:0:0]
	for _, c := range members {
		left := &other
		if c.local {
			left = &local
		}
		if *left > 0 {
			*left--
			out = append(out, c)
		}
	}
	return out
}

// fit returns how many of the instances each source may choose so that an instance has at most the given connections.
//
// With k choices a source, an instance expects sources*k/instances connections. Rendezvous hashing spreads them like a random choice, so the
// bound keeps a margin of four standard deviations.
func fit(connections float64, sources, instances int) int {
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
