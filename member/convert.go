package member

import (
	"time"

	"github.com/zeebo/errs"

	"github.com/sapphiretack/sapphiretack/peer"
	"github.com/sapphiretack/sapphiretack/quarantine"
	"github.com/sapphiretack/sapphiretack/request"
)

// Error is the class of errors for invalid messages from other nodes.
var Error = errs.Class("member")

// Limits for received messages. They are a multiple of what a node with reasonable settings sends.
const (
	maxMembersReceived = 512
	maxCrashesReceived = 512
	maxDigestsReceived = 512
	maxPartsReceived   = 256
	maxNameLength      = 255
	// maxRevision prevents an overflow when the instance increments a false revision to refute it.
	maxRevision = 1 << 31
)

// RequestProto converts the message to a gossip request.
func (msg *Message) RequestProto() *peer.GossipRequest {
	return &peer.GossipRequest{
		From:                 string(msg.From),
		Members:              membersProto(msg.Members),
		Crashes:              crashesProto(msg.Crashes),
		ConfigurationVersion: msg.ConfigurationVersion,
		Digests:              digestsProto(msg.Digests),
		Probe:                string(msg.Probe),
	}
}

// ResponseProto converts the message to a gossip response.
func (msg *Message) ResponseProto() *peer.GossipResponse {
	return &peer.GossipResponse{
		From:                 string(msg.From),
		Members:              membersProto(msg.Members),
		Crashes:              crashesProto(msg.Crashes),
		ConfigurationVersion: msg.ConfigurationVersion,
		Digests:              digestsProto(msg.Digests),
		ProbeAnswered:        msg.ProbeAnswered,
	}
}

// NoticeProto converts the message to a notice.
func (msg *Message) NoticeProto() *peer.Notice {
	return &peer.Notice{
		From:    string(msg.From),
		Members: membersProto(msg.Members),
		Crashes: crashesProto(msg.Crashes),
	}
}

// RequestFromProto validates and converts a gossip request; errors are of class Error.
func RequestFromProto(p *peer.GossipRequest) (Message, error) {
	msg := Message{
		From:                 request.InstanceID(p.GetFrom()),
		ConfigurationVersion: p.GetConfigurationVersion(),
		Probe:                request.InstanceID(p.GetProbe()),
	}
	if len(p.GetProbe()) > maxNameLength {
		return Message{}, Error.New("name of the instance to probe has %d bytes; %d are allowed", len(p.GetProbe()), maxNameLength)
	}
	return msg, msg.setContents(p.GetMembers(), p.GetCrashes(), p.GetDigests())
}

// ResponseFromProto validates and converts a gossip response; errors are of class Error.
func ResponseFromProto(p *peer.GossipResponse) (Message, error) {
	msg := Message{
		From:                 request.InstanceID(p.GetFrom()),
		ConfigurationVersion: p.GetConfigurationVersion(),
		ProbeAnswered:        p.GetProbeAnswered(),
	}
	return msg, msg.setContents(p.GetMembers(), p.GetCrashes(), p.GetDigests())
}

// NoticeFromProto validates and converts a notice; errors are of class Error.
func NoticeFromProto(p *peer.Notice) (Message, error) {
	msg := Message{From: request.InstanceID(p.GetFrom())}
	return msg, msg.setContents(p.GetMembers(), p.GetCrashes(), nil)
}

func (msg *Message) setContents(members []*peer.Member, crashes []*peer.Crash, digests []*peer.RangeDigest) error {
	if len(msg.From) > maxNameLength {
		return Error.New("name of the sender has %d bytes; %d are allowed", len(msg.From), maxNameLength)
	}
	if len(members) > maxMembersReceived || len(crashes) > maxCrashesReceived || len(digests) > maxDigestsReceived {
		return Error.New("message has %d members, %d crashes and %d digests; send at most %d, %d and %d",
			len(members), len(crashes), len(digests), maxMembersReceived, maxCrashesReceived, maxDigestsReceived)
	}
	for _, p := range members {
		m, err := memberFromProto(p)
		if err != nil {
			return err
		}
		msg.Members = append(msg.Members, m)
	}
	for _, p := range crashes {
		r, err := crashFromProto(p)
		if err != nil {
			return err
		}
		msg.Crashes = append(msg.Crashes, r)
	}
	for _, p := range digests {
		if p.GetFirst() > p.GetLast() {
			return Error.New("digest range starts at %d, after its end %d", p.GetFirst(), p.GetLast())
		}
		if len(p.GetParts()) > maxPartsReceived || len(p.GetEntries()) > maxPartsReceived {
			return Error.New("digest has %d parts and %d entries; send at most %d of each", len(p.GetParts()), len(p.GetEntries()), maxPartsReceived)
		}
		msg.Digests = append(msg.Digests, RangeDigest{
			First: p.GetFirst(), Last: p.GetLast(), Hash: p.GetHash(), Count: p.GetCount(),
			Parts: p.GetParts(), Entries: p.GetEntries(),
		})
	}
	return nil
}

func memberFromProto(p *peer.Member) (Member, error) {
	for _, name := range []string{p.GetInstance(), p.GetService(), p.GetZone(), p.GetRegion(), p.GetAddress(), p.GetSuspectedBy()} {
		if len(name) > maxNameLength {
			return Member{}, Error.New("a name of member %.40q has %d bytes; %d are allowed", p.GetInstance(), len(name), maxNameLength)
		}
	}
	if p.GetInstance() == "" || p.GetIncarnation() == 0 {
		return Member{}, Error.New("member %q has incarnation %d; both must be set", p.GetInstance(), p.GetIncarnation())
	}
	if p.GetState() >= uint32(stateCount) {
		return Member{}, Error.New("member %q has state %d, which does not exist", p.GetInstance(), p.GetState())
	}
	if p.GetRevision() > maxRevision {
		return Member{}, Error.New("member %q has revision %d; at most %d is possible", p.GetInstance(), p.GetRevision(), maxRevision)
	}
	return Member{
		Instance:             request.InstanceID(p.GetInstance()),
		Service:              request.ServiceID(p.GetService()),
		Zone:                 request.ZoneID(p.GetZone()),
		Region:               request.RegionID(p.GetRegion()),
		Address:              p.GetAddress(),
		Incarnation:          request.Incarnation(p.GetIncarnation()),
		State:                State(p.GetState()),
		Revision:             p.GetRevision(),
		Slots:                p.GetSlots(),
		ConfigurationVersion: p.GetConfigurationVersion(),
		SuspectedBy:          request.InstanceID(p.GetSuspectedBy()),
	}, nil
}

func crashFromProto(p *peer.Crash) (quarantine.Record, error) {
	if len(p.GetService()) > maxNameLength || len(p.GetCrashes()) > quarantine.MaxCrashes {
		return quarantine.Record{}, Error.New("crash record has a service name of %d bytes and %d crashes; %d and %d are allowed",
			len(p.GetService()), len(p.GetCrashes()), maxNameLength, quarantine.MaxCrashes)
	}
	r := quarantine.Record{
		Fingerprint: request.Fingerprint(p.GetFingerprint()),
		Service:     request.ServiceID(p.GetService()),
		Count:       int(min(p.GetCount(), quarantine.MaxCrashes)),
		Remaining:   time.Duration(p.GetRemainingNs()),
	}
	for _, c := range p.GetCrashes() {
		if len(c.GetInstance()) > maxNameLength {
			return quarantine.Record{}, Error.New("crashed instance has a name of %d bytes; %d are allowed", len(c.GetInstance()), maxNameLength)
		}
		r.Crashes = append(r.Crashes, quarantine.Crash{
			Instance:    request.InstanceID(c.GetInstance()),
			Incarnation: request.Incarnation(c.GetIncarnation()),
		})
	}
	var err error
	r.Losses, err = LossesFromProto(p.GetLosses())
	return r, err
}

// LossesFromProto validates and converts the unconfirmed losses of a fingerprint; errors are of class Error.
func LossesFromProto(losses []*peer.Loss) ([]quarantine.Loss, error) {
	if len(losses) > quarantine.MaxCrashes {
		return nil, Error.New("fingerprint has %d losses; %d are allowed", len(losses), quarantine.MaxCrashes)
	}
	var out []quarantine.Loss
	for _, l := range losses {
		if len(l.GetInstance()) > maxNameLength {
			return nil, Error.New("lost instance has a name of %d bytes; %d are allowed", len(l.GetInstance()), maxNameLength)
		}
		out = append(out, quarantine.Loss{
			Instance:    request.InstanceID(l.GetInstance()),
			Incarnation: request.Incarnation(l.GetIncarnation()),
			Remaining:   time.Duration(l.GetRemainingNs()),
		})
	}
	return out, nil
}

// LossesProto converts the unconfirmed losses of one fingerprint to protobuf; each identifies a node to which a source lost
// the stream of a request with that fingerprint.
func LossesProto(losses []quarantine.Loss) []*peer.Loss {
	var out []*peer.Loss
	for _, l := range losses {
		out = append(out, &peer.Loss{
			Instance:    string(l.Instance),
			Incarnation: uint64(l.Incarnation),
			RemainingNs: int64(l.Remaining),
		})
	}
	return out
}

func membersProto(members []Member) []*peer.Member {
	if len(members) == 0 {
		return nil
	}
	out := make([]*peer.Member, len(members))
	for i := range members {
		m := &members[i]
		out[i] = &peer.Member{
			Instance:             string(m.Instance),
			Service:              string(m.Service),
			Zone:                 string(m.Zone),
			Region:               string(m.Region),
			Address:              m.Address,
			Incarnation:          uint64(m.Incarnation),
			State:                uint32(m.State),
			Revision:             m.Revision,
			Slots:                m.Slots,
			ConfigurationVersion: m.ConfigurationVersion,
			SuspectedBy:          string(m.SuspectedBy),
		}
	}
	return out
}

func crashesProto(records []quarantine.Record) []*peer.Crash {
	if len(records) == 0 {
		return nil
	}
	out := make([]*peer.Crash, len(records))
	for i, r := range records {
		out[i] = &peer.Crash{
			Fingerprint: uint64(r.Fingerprint),
			Service:     string(r.Service),
			Count:       uint32(r.Count),
			RemainingNs: int64(r.Remaining),
			Losses:      LossesProto(r.Losses),
		}
		for _, c := range r.Crashes {
			out[i].Crashes = append(out[i].Crashes, &peer.ServerCrash{Instance: string(c.Instance), Incarnation: uint64(c.Incarnation)})
		}
	}
	return out
}

func digestsProto(digests []RangeDigest) []*peer.RangeDigest {
	if len(digests) == 0 {
		return nil
	}
	out := make([]*peer.RangeDigest, len(digests))
	for i, d := range digests {
		out[i] = &peer.RangeDigest{
			First: d.First, Last: d.Last, Hash: d.Hash, Count: d.Count,
			Parts: d.Parts, Entries: d.Entries,
		}
	}
	return out
}
