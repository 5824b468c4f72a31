package node

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/sapphiretack/sapphiretack/member"
	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/settings"
)

// Guards against connections that pile up: 310 instances are replaced a day, and each may come back with another address.
func TestConnectionsOfReplacedInstancesClose(t *testing.T) {
	seed := netip.MustParseAddrPort("127.0.0.1:1")
	n := &Node{peers: newPeers(), settings: settings.Settings{Seeds: []netip.AddrPort{seed}}}
	defer n.peers.close()
	for _, address := range []string{seed.String(), "127.0.0.1:2", "127.0.0.1:3"} {
		_, err := n.peers.client(address)
		qt.Assert(t, err, qt.IsNil)
	}
	n.peers.forget(n.addresses([]member.Member{{Instance: "registry-1", Address: "127.0.0.1:2"}}))
	qt.Assert(t, len(n.peers.connections), qt.Equals, 2)
	_, kept := n.peers.connections["127.0.0.1:3"]
	qt.Assert(t, kept, qt.IsFalse)
}

// Guards against sources that pile up, and against a notice of departure that leaves out a recent source.
func TestSourcesAreForgotten(t *testing.T) {
	s := newSources()
	s.seen("old", 0)
	now := request.Instant(2 * time.Minute)
	s.seen("recent", now)
	s.forgetOld(now)
	qt.Assert(t, len(s.last), qt.Equals, 1)
	qt.Assert(t, s.recent(now), qt.DeepEquals, []request.InstanceID{"recent"})
}
