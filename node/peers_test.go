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

// TestConnectionsToReplacedInstancesClose guards against a leak of connections: 310 instances are replaced per day, and each
// may return with another address.
func TestConnectionsToReplacedInstancesClose(t *testing.T) {
	seed := netip.MustParseAddrPort("127.0.0.1:1")
	n := &Node{peers: newPeers(), settings: settings.Settings{Seeds: []netip.AddrPort{seed}}}
	defer n.peers.close()
	for _, address := range []string{seed.String(), "127.0.0.1:2", "127.0.0.1:3"} {
		_, err := n.peers.client(address)
		qt.Assert(t, err, qt.IsNil)
	}
	n.peers.closeExcept(n.peerAddresses([]member.Member{{Instance: "registry-1", Address: "127.0.0.1:2"}}))
	qt.Assert(t, len(n.peers.connections), qt.Equals, 2)
	_, kept := n.peers.connections["127.0.0.1:3"]
	qt.Assert(t, kept, qt.IsFalse)
}

// TestSourcesExpire guards against a leak of sources, and against a leave notice that omits a recent source.
func TestSourcesExpire(t *testing.T) {
	s := newSources()
	s.touch("old", 0)
	now := request.Instant(2 * time.Minute)
	s.touch("recent", now)
	s.expire(now)
	qt.Assert(t, len(s.lastSeen), qt.Equals, 1)
	qt.Assert(t, s.recent(now), qt.DeepEquals, []request.InstanceID{"recent"})
}
