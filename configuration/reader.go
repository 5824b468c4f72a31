package configuration

import (
	"hash/fnv"

	"github.com/sapphiretack/sapphiretack/request"
)

// ReadersPerZone is the number of instances in a zone that poll the platform. One could be leaving; two polls a second for
// each of 16 zones are under 2% of the platform's reads.
const ReadersPerZone = 2

// IsReader reports whether the instance is one of the zone's readers, derived by rendezvous hash from the members present.
// Instances that see other members may disagree for a while; then there are more readers, or peers pass the changes on.
func IsReader(self request.InstanceID, zone request.ZoneID, present []request.InstanceID) bool {
	own := rendezvous(zone, self)
	above := 0
	for _, other := range present {
		if other == self {
			continue
		}
		if h := rendezvous(zone, other); h > own || h == own && other > self {
			above++
		}
	}
	return above < ReadersPerZone
}

func rendezvous(zone request.ZoneID, instance request.InstanceID) uint64 {
	f := fnv.New64a()
	f.Write([]byte(zone))
	f.Write([]byte{0})
	f.Write([]byte(instance))
	// FNV changes the high bits little for names that differ in the last byte only; the multiplications spread the change.
	h := f.Sum64()
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
