package member

import (
	"cmp"

	"github.com/sapphiretack/sapphiretack/quarantine"
	"github.com/sapphiretack/sapphiretack/request"
)

// State is the state of an instance as other instances see it.
type State uint8

// The states; a later one supersedes an earlier one at the same incarnation and revision.
const (
	Alive State = iota
	Suspect
	Leaving
	Dead
	stateCount
)

var stateNames = [stateCount]string{"alive", "suspect", "leaving", "dead"}

// String returns the name of the state, as printed by the status command.
func (s State) String() string {
	if s < stateCount {
		return stateNames[s]
	}
	return "invalid"
}

// Member describes an instance.
type Member struct {
	Instance request.InstanceID
	Service  request.ServiceID
	Zone     request.ZoneID
	Region   request.RegionID
	// Address is the host:port of the peer listener.
	Address     string
	Incarnation request.Incarnation
	State       State
	// Revision counts the state changes that the instance itself announced within one incarnation.
	Revision uint32
	// Slots is the declared request concurrency of the backend server.
	Slots uint32
	// ConfigurationVersion is the latest version reported by the instance; it plays no part in the order of updates.
	ConfigurationVersion uint64
	// SuspectedBy is the instance that reported the suspicion; set in state Suspect only.
	SuspectedBy request.InstanceID
}

// compare orders two updates for the same instance; the result is positive if a supersedes b.
func compare(a, b *Member) int {
	return cmp.Or(
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.Revision, b.Revision),
		cmp.Compare(a.State, b.State),
	)
}

// stateOnly returns the update without the fields that are constant within an incarnation, which halves its size.
func (m Member) stateOnly() Member {
	return Member{
		Instance:    m.Instance,
		Incarnation: m.Incarnation,
		State:       m.State,
		Revision:    m.Revision,
		SuspectedBy: m.SuspectedBy,
	}
}

// isStateOnly reports whether the update lacks the fields required to create a list entry.
func (m *Member) isStateOnly() bool { return m.Address == "" }

// RangeDigest summarizes the members whose key lies in [First, Last]: by the hashes of equal subranges (Parts), by the
// hashes of the members (Entries), or otherwise by a single hash and the member count.
type RangeDigest struct {
	First, Last uint64
	Hash        uint64
	Count       uint32
	Parts       []uint32
	Entries     []uint32
}

// Message is a gossip request, a gossip response or a notice.
type Message struct {
	From    request.InstanceID
	Members []Member
	Crashes []quarantine.Record
	// ConfigurationVersion is the configuration version applied by the sender.
	ConfigurationVersion uint64
	Digests              []RangeDigest
	// Probe is the instance that the receiver of a request probes on behalf of the sender.
	Probe request.InstanceID
	// ProbeAnswered reports, in the response to a request with Probe, that the instance responded.
	ProbeAnswered bool
}
