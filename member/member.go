package member

import (
	"cmp"

	"github.com/sapphiretack/sapphiretack/quarantine"
	"github.com/sapphiretack/sapphiretack/request"
)

// State is the state of an instance as other instances see it.
type State uint8

// The states, in the order in which they supersede each other at the same incarnation and revision.
const (
	Alive State = iota
	Suspect
	Leaving
	Dead
	stateCount
)

var stateNames = [stateCount]string{"alive", "suspect", "leaving", "dead"}

// String returns the name of the state as status prints it.
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
	// Address is the host and port of the peer listener.
	Address     string
	Incarnation request.Incarnation
	State       State
	// Revision counts the state changes that the instance itself made within one incarnation.
	Revision uint32
	// Slots is the number of requests that the backend server declares to run at once.
	Slots uint32
	// ConfigurationVersion is the latest version heard from the instance; it is not part of the order of updates.
	ConfigurationVersion uint64
	// SuspectedBy is the instance that raised the suspicion; set in state Suspect only.
	SuspectedBy request.InstanceID
}

// compare orders two updates about one instance; a positive result means that a supersedes b.
func compare(a, b *Member) int {
	return cmp.Or(
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.Revision, b.Revision),
		cmp.Compare(a.State, b.State),
	)
}

// stateOnly returns the update without the fields that do not change within an incarnation; it is half the size.
func (m Member) stateOnly() Member {
	return Member{
		Instance:    m.Instance,
		Incarnation: m.Incarnation,
		State:       m.State,
		Revision:    m.Revision,
		SuspectedBy: m.SuspectedBy,
	}
}

// isStateOnly reports whether the update lacks the fields that a new list entry needs.
func (m *Member) isStateOnly() bool { return m.Address == "" }

// RangeDigest summarizes the members whose hash lies in [First, Last]: with Parts by the hashes of equal parts of the
// range, with Entries by the hash of each member, else by one hash and the count.
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
	// ConfigurationVersion is the version that the sender has applied.
	ConfigurationVersion uint64
	Digests              []RangeDigest
	// Probe asks the receiver of a request to probe this instance for the sender.
	Probe request.InstanceID
	// ProbeAnswered is set in the response to a request with Probe.
	ProbeAnswered bool
}
