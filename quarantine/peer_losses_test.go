package quarantine_test

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sapphiretack/sapphiretack/quarantine"
	"github.com/sapphiretack/sapphiretack/request"
)

// TestPeerLosses guards against a node that ended alone, and whose backend server still runs, being taken for a crash of that server, and
// against a crash that is not told because the node ended as well.
func TestPeerLosses(t *testing.T) {
	c := qt.New(t)
	var p quarantine.PeerLosses
	peer := netip.MustParseAddr("10.1.0.8")
	now := request.Instant(time.Hour)
	check := func(current request.InstanceID) []quarantine.PeerCrash {
		now = now.Add(time.Second)
		return p.Check(now, func(netip.Addr) request.InstanceID { return current })
	}
	p.Add(now, peer, "i-1@a", 7)
	p.Add(now, peer, "i-1@a", 8)
	p.Add(now, peer, "i-1@a", 7)
	for _, current := range []request.InstanceID{"i-1@a", "", "i-1"} {
		c.Check(check(current), qt.HasLen, 0, qt.Commentf("%q", current))
	}
	c.Check(check("i-1@b"), qt.DeepEquals, []quarantine.PeerCrash{{Instance: "i-1@a", InFlight: []request.Fingerprint{7, 8}}})
	c.Check(check("i-1@b"), qt.HasLen, 0)
	p.Add(now, peer, "i-1@b", 9)
	now = now.Add(time.Minute)
	c.Check(check("i-2@a"), qt.HasLen, 0, qt.Commentf("the backend server may have been replaced as planned meanwhile"))
}

// TestObservePart guards against a request that is put in quarantine because it was the only one of one source at two crashes of which others
// know nothing, and against a crash that counts twice.
func TestObservePart(t *testing.T) {
	c := qt.New(t)
	l := quarantine.NewCrashLog(quarantine.DefaultCrashLogSettings())
	at := func(s int) request.Instant { return request.Instant(time.Duration(s) * time.Second) }
	crash := func(instance request.InstanceID) quarantine.Crash { return quarantine.Crash{Instance: instance} }
	c.Check(l.ObservePart(at(1), crash("i-1"), []request.Fingerprint{7}), qt.HasLen, 0)
	c.Check(l.State(at(1), 7), qt.Equals, quarantine.Clear)
	c.Check(l.ObservePart(at(2), crash("i-1"), []request.Fingerprint{7}), qt.HasLen, 0)
	c.Check(l.State(at(2), 7), qt.Equals, quarantine.Clear)
	c.Check(l.ObservePart(at(3), crash("i-2"), []request.Fingerprint{7, 8}), qt.DeepEquals, []request.Fingerprint{7})
	c.Check(l.State(at(3), 8), qt.Equals, quarantine.Clear)
}
