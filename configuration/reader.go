package configuration

import (
	"hash/fnv"

	"github.com/sapphiretack/sapphiretack/request"
)

// ReadersPerZone is the number of instances per zone that poll the platform: two, because one may be shutting down. Two polls
// per second from each of 16 zones are under 2% of the platform's reads.
const ReadersPerZone = 2

// IsReader reports whether the instance is one of the zone's readers, which are chosen by rendezvous hashing over the current
// members. While instances disagree about the membership, a zone may have more or fewer readers; without any, it gets its
// changes from peers.
func IsReader(self request.InstanceID, zone request.ZoneID, members []request.InstanceID) bool {
	own := rendezvousWeight(zone, self)
	higher := 0
	for _, other := range members {
		if other == self {
			continue
		}
		if h := rendezvousWeight(zone, other); h > own || h == own && other > self {
			higher++
		}
	}
	return higher < ReadersPerZone
}

// rendezvousWeight returns the weight of an instance in a zone.
func rendezvousWeight(zone request.ZoneID, instance request.InstanceID) uint64 {
	f := fnv.New64a()
	f.Write([]byte(zone))
	f.Write([]byte{0})
	f.Write([]byte(instance))
	// FNV hardly changes the high bits for names that differ only in the last byte, so the hash is mixed further.
	h := f.Sum64()
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
