package quarantine

import (
	"net/netip"
	"slices"
	"time"

	"github.com/sapphiretack/sapphiretack/request"
)

// PeerLosses tells from the source of attempts that a backend server has ended together with its node, which therefore cannot tell of the
// crash: connections to the node break, and later the node reports another incarnation of the backend server. It is not safe for concurrent
// use.
type PeerLosses struct {
	losses []peerLoss // in the order of time
}

// peerLoss is an attempt whose connection to another node broke.
type peerLoss struct {
	peer     netip.Addr
	instance request.InstanceID
	content  request.Fingerprint
	at       request.Instant
}

const (
	// peerLossWindow is how long a lost attempt is remembered; a machine is back some seconds after it has ended.
	peerLossWindow = 15 * time.Second
	// maxPeerLosses bounds the attempts that are remembered.
	maxPeerLosses = 256
)

// Add records that the connection to a node broke during an attempt at an incarnation of the backend server beside it.
func (p *PeerLosses) Add(now request.Instant, peer netip.Addr, instance request.InstanceID, content request.Fingerprint) {
	if instance == "" || content == 0 {
		return
	}
	if len(p.losses) >= maxPeerLosses {
		p.losses = slices.Delete(p.losses, 0, 1)
	}
	p.losses = append(p.losses, peerLoss{peer, instance, content, now})
}

// PeerCrash is a crash of a backend server whose node ended with it.
type PeerCrash struct {
	Instance request.InstanceID
	// InFlight are the requests whose attempts were lost, as far as this source knows.
	InFlight []request.Fingerprint
}

// Check returns the crashes that show, and forgets their attempts. current returns the incarnation that a node has last reported of the backend
// server beside it, or an empty one.
func (p *PeerLosses) Check(now request.Instant, current func(netip.Addr) request.InstanceID) []PeerCrash {
	var out []PeerCrash
	p.losses = slices.DeleteFunc(p.losses, func(l peerLoss) bool {
		if now.Sub(l.at) > peerLossWindow {
			return true
		}
		found := current(l.peer)
		if found == "" || isSameIncarnation(found, l.instance) {
			return false
		}
		i := slices.IndexFunc(out, func(c PeerCrash) bool { return c.Instance == l.instance })
		if i < 0 {
			i = len(out)
			out = append(out, PeerCrash{Instance: l.instance})
		}
		if !slices.Contains(out[i].InFlight, l.content) {
			out[i].InFlight = append(out[i].InFlight, l.content)
		}
		return true
	})
	return out
}

// isSameIncarnation reports whether two identifiers may be of one incarnation. A node that has started may know the identifier before the start
// time.
func isSameIncarnation(a, b request.InstanceID) bool {
	idA, startA := a.SplitStart()
	idB, startB := b.SplitStart()
	return idA == idB && (startA == startB || startA == "" || startB == "")
}
