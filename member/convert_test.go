package member_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/sapphiretack/sapphiretack/member"
	"github.com/sapphiretack/sapphiretack/peer"
	"github.com/sapphiretack/sapphiretack/quarantine"
	"github.com/sapphiretack/sapphiretack/request"
)

// TestMessageSizeAndRoundTrip guards against message sizes that differ from the encoded sizes, which would make the byte
// budget inaccurate, and against fields that are lost in the conversion to protobuf and back.
func TestMessageSizeAndRoundTrip(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		msg := randomMessage(random)
		requestProto := msg.RequestProto()
		qt.Assert(t, msg.Size(), qt.Equals, proto.Size(requestProto))
		back, err := member.RequestFromProto(requestProto)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, back, qt.DeepEquals, msg)

		msg.Probe = ""
		responseProto := msg.ResponseProto()
		qt.Assert(t, msg.Size(), qt.Equals, proto.Size(responseProto))
		back, err = member.ResponseFromProto(responseProto)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, back, qt.DeepEquals, msg)

		notice, err := member.NoticeFromProto(msg.NoticeProto())
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, notice.Members, qt.DeepEquals, msg.Members)
		qt.Assert(t, notice.Crashes, qt.DeepEquals, msg.Crashes)
	}
}

func randomMessage(random *rand.Rand) member.Message {
	c := newCluster(member.DefaultSettings(), 1)
	msg := member.Message{From: "instance-0001", Probe: "instance-0002", ConfigurationVersion: random.Uint64() >> random.IntN(64)}
	for range random.IntN(4) {
		m := c.row(random.IntN(2800), random.IntN(16))
		m.State = member.State(random.IntN(4))
		m.Revision = random.Uint32() >> (1 + random.IntN(31))
		m.ConfigurationVersion = random.Uint64() >> random.IntN(64)
		msg.Members = append(msg.Members, m)
	}
	for range random.IntN(3) {
		msg.Digests = append(msg.Digests, member.RangeDigest{First: random.Uint64() / 2, Last: 1<<63 + random.Uint64()/2, Hash: random.Uint64(), Count: random.Uint32N(4)})
	}
	for range random.IntN(3) {
		msg.Crashes = append(msg.Crashes, quarantine.Record{
			Fingerprint: request.Fingerprint(random.Uint64()),
			Service:     "racedesk",
			Count:       random.IntN(quarantine.MaxCrashes),
			Crashes:     []quarantine.Crash{{Instance: "racedesk-1", Incarnation: request.Incarnation(random.Uint64())}},
			Remaining:   time.Duration(random.Int64()),
			Losses:      []quarantine.Loss{{Instance: "racedesk-2", Incarnation: request.Incarnation(random.Uint64()), Remaining: time.Duration(random.Int64())}},
		})
	}
	return msg
}

// FuzzGossipRequest guards against a request from a faulty peer that crashes the node or grows its memory without
// bound.
func FuzzGossipRequest(f *testing.F) {
	fuzzConversion(f, &peer.GossipRequest{}, (*member.Message).RequestProto, member.RequestFromProto, member.GossipRequest)
}

// FuzzGossipResponse guards against a response from a faulty peer that crashes the node or grows its memory without
// bound.
func FuzzGossipResponse(f *testing.F) {
	fuzzConversion(f, &peer.GossipResponse{}, (*member.Message).ResponseProto, member.ResponseFromProto, member.GossipResponse)
}

// FuzzNotice guards against a notice from a faulty peer that crashes the node or grows its memory without bound.
func FuzzNotice(f *testing.F) {
	fuzzConversion(f, &peer.Notice{}, (*member.Message).NoticeProto, member.NoticeFromProto, member.Notice)
}

func fuzzConversion[P proto.Message](f *testing.F, empty P, to func(*member.Message) P, from func(P) (member.Message, error), kind member.MessageKind) {
	random := rand.New(rand.NewPCG(2, 2))
	for range 8 {
		msg := randomMessage(random)
		data, err := proto.Marshal(to(&msg))
		qt.Assert(f, err, qt.IsNil)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		p := proto.Clone(empty).(P)
		if proto.Unmarshal(data, p) != nil {
			return
		}
		if msg, err := from(p); err == nil {
			checkReceived(t, member.Received{Kind: kind, Message: msg, Exchange: 1})
		}
	})
}

// checkReceived passes a message to a membership of 64 members and checks that it responds to each request exactly once and
// that its own member is unaffected.
func checkReceived(t *testing.T, e member.Received) {
	c := newCluster(member.DefaultSettings(), 1)
	self := c.row(0, 0)
	m := member.New(self, c.settings, rand.New(rand.NewPCG(3, 3)))
	for i := 1; i < 64; i++ {
		m.Handle(0, member.Bootstrap{Rows: []member.Member{c.row(i, i%4)}}, nil)
	}
	got := 0
	for _, a := range m.Handle(1, e, nil) {
		switch a := a.(type) {
		case member.Reply:
			got++
		case member.Probe:
			// The request asks for an indirect probe, and the response has its result.
			got++
			qt.Assert(t, a.Exchange, qt.Equals, e.Exchange)
		}
	}
	replies := map[member.MessageKind]int{member.GossipRequest: 1}
	qt.Assert(t, got, qt.Equals, replies[e.Kind])
	qt.Assert(t, m.Self().Incarnation, qt.Equals, self.Incarnation)
	qt.Assert(t, m.Self().State, qt.Equals, member.Alive)
	quarantine.New(quarantine.DefaultSettings()).Merge(1, e.Message.Crashes)
	for i := range 200 {
		m.Handle(request.Instant(i)*request.Instant(c.settings.TickInterval), member.Tick{}, nil)
	}
}
