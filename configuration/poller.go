package configuration

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sapphiretack/sapphiretack/request"
)

// The polling intervals and limits. A change must take effect everywhere within 9 s, which leaves time for one poll, two
// gossip ticks and one fetch.
const (
	// PollInterval is how often a reader polls the platform.
	PollInterval = time.Second
	// FallbackInterval is how often any other instance polls, in case gossip from the readers does not reach it.
	// With 2,800 instances these polls are under 3% of the platform's reads.
	FallbackInterval = 60 * time.Second
	// jitterFraction is the fraction by which an interval varies, so that readers do not poll in lockstep.
	jitterFraction = 0.1
	// minFetchBackoff is the delay after the first failed fetch from a peer; it doubles with each failure up to
	// maxFetchBackoff.
	minFetchBackoff = 250 * time.Millisecond
	maxFetchBackoff = 8 * time.Second
	// maxStartFailures is the number of failed fetches after which a starting instance no longer waits for a peer.
	maxStartFailures = 2
	// maxVersionFetches limits the concurrent fetches of a starting instance from zone peers of unknown version, because
	// each peer may send a snapshot.
	maxVersionFetches = 8
)

// Peer is another instance in the membership list. Version is 0 if it is unknown, as for a peer known only from its row in the
// platform's table.
type Peer struct {
	Instance request.InstanceID
	Zone     request.ZoneID
	Version  Version
}

// PollEvent is an input of Poller.Handle.
type PollEvent interface{ pollEvent() }

// The events.
type (
	// MembersChanged lists all current members except this instance. The first one means that this instance has joined.
	MembersChanged struct{ Peers []Peer }
	// VersionReported reports the version that a peer announced.
	VersionReported struct {
		Instance request.InstanceID
		Version  Version
	}
	// Polled reports the result of PollPlatform: the replica's version after the update was applied, or an error.
	Polled struct {
		Version Version
		Err     error
	}
	// Fetched reports the result of FetchPeer in the same way as Polled.
	Fetched struct {
		Instance request.InstanceID
		Version  Version
		Err      error
	}
	// Committed reports that a change was committed through this instance, which then polls at once.
	Committed struct{}
	// PollTick reports that the timer of SetPollTimer has expired.
	PollTick struct{}
)

func (MembersChanged) pollEvent()  {}
func (VersionReported) pollEvent() {}
func (Polled) pollEvent()          {}
func (Fetched) pollEvent()         {}
func (Committed) pollEvent()       {}
func (PollTick) pollEvent()        {}

// PollAction is an action that Poller.Handle requests from its driver.
type PollAction interface{ pollAction() }

// The actions.
type (
	// PollPlatform requests a call of Store.Since and the application of its update. Polled must follow.
	PollPlatform struct{}
	// FetchPeer requests a fetch from a peer and the application of its update. Fetched must follow.
	FetchPeer struct{ Instance request.InstanceID }
	// Announce requests that the new version be gossiped to the peers.
	Announce struct{ Version Version }
	// Ready reports that the instance holds the highest version that it can reach and may serve.
	Ready struct{ Version Version }
	// SetPollTimer requests a PollTick at the time At; it replaces the previous timer.
	SetPollTimer struct{ At request.Instant }
)

func (PollPlatform) pollAction() {}
func (FetchPeer) pollAction()    {}
func (Announce) pollAction()     {}
func (Ready) pollAction()        {}
func (SetPollTimer) pollAction() {}

// PollSettings configures a Poller.
type PollSettings struct {
	Instance request.InstanceID
	Zone     request.ZoneID
}

// peerState is the Poller's state of one peer.
type peerState struct {
	zone         request.ZoneID
	version      Version
	known        bool // the peer has reported a version since this instance started
	failures     int  // failed fetches in a row
	retryAt      request.Instant
	memberUpdate uint64 // number of the last MembersChanged that listed the peer
}

// Poller decides when a node polls the platform, when it fetches from a peer and when it may serve. It is not safe for
// concurrent use.
type Poller struct {
	settings           PollSettings
	random             *rand.Rand
	peers              map[request.InstanceID]*peerState
	zonePeers          []request.InstanceID        // peers in the own zone, sorted
	versionFetches     map[request.InstanceID]bool // zone peers of unknown version with a fetch in flight
	memberUpdates      uint64                      // number of MembersChanged events
	version            Version                     // of the replica
	highestPeerVersion Version                     // highest version that a current peer reported
	joined             bool
	ready              bool
	isReader           bool
	polling            bool
	pollAgain          bool // poll again after the one in flight
	polledOnce         bool // a poll has completed since the start
	platformUp         bool // the last poll succeeded
	nextPoll           request.Instant
	fetchingFrom       request.InstanceID // peer with the fetch in flight; empty if none
	timerAt            request.Instant    // time of the pending PollTick; -1 if none
}

// NewPoller returns a Poller whose first poll is due immediately; random supplies the jitter.
func NewPoller(s PollSettings, now request.Instant, random *rand.Rand) *Poller {
	return &Poller{
		settings: s, random: random,
		peers: map[request.InstanceID]*peerState{}, versionFetches: map[request.InstanceID]bool{},
		isReader: true, nextPoll: now, timerAt: -1,
	}
}

// Ready reports whether the instance may serve. Once true, it stays true.
func (p *Poller) Ready() bool { return p.ready }

// Reader reports whether the instance polls the platform on behalf of its zone.
func (p *Poller) Reader() bool { return p.isReader }

// Handle processes one event and appends the resulting actions to out.
func (p *Poller) Handle(now request.Instant, e PollEvent, out []PollAction) []PollAction {
	switch e := e.(type) {
	case MembersChanged:
		p.updateMembers(now, e.Peers)
	case VersionReported:
		p.recordVersion(e.Instance, e.Version)
	case Polled:
		out = p.handlePolled(now, e, out)
	case Fetched:
		out = p.handleFetched(now, e, out)
	case Committed:
		p.pollAgain = p.polling
		p.nextPoll = min(p.nextPoll, now)
	case PollTick:
		p.timerAt = -1
	}
	out = p.startPoll(now, out)
	out = p.startFetch(now, out)
	out = p.fetchUnknownVersions(now, out)
	out = p.checkReady(out)
	return p.setTimer(out)
}

// updateMembers replaces the list of peers. It reuses the states of the remaining ones, because lists of 2,800 members
// arrive often when many instances restart.
func (p *Poller) updateMembers(now request.Instant, peers []Peer) {
	p.memberUpdates++
	p.zonePeers = p.zonePeers[:0]
	p.highestPeerVersion = 0
	for _, peer := range peers {
		s := p.peers[peer.Instance]
		if s == nil {
			s = &peerState{}
			p.peers[peer.Instance] = s
		}
		s.memberUpdate = p.memberUpdates
		s.zone = peer.Zone
		s.version = max(s.version, peer.Version)
		s.known = s.known || peer.Version > 0
		p.highestPeerVersion = max(p.highestPeerVersion, s.version)
		if peer.Zone == p.settings.Zone {
			p.zonePeers = append(p.zonePeers, peer.Instance)
		}
	}
	maps.DeleteFunc(p.peers, func(_ request.InstanceID, s *peerState) bool { return s.memberUpdate != p.memberUpdates })
	slices.Sort(p.zonePeers)
	p.joined = true
	wasReader := p.isReader
	p.isReader = IsReader(p.settings.Instance, p.settings.Zone, p.zonePeers)
	if p.isReader && !wasReader {
		p.nextPoll = min(p.nextPoll, now.Add(p.addJitter(PollInterval)))
	}
}

// recordVersion records the version that a peer reported.
func (p *Poller) recordVersion(instance request.InstanceID, v Version) {
	s := p.peers[instance]
	if s == nil {
		return
	}
	s.known = true
	s.version = max(s.version, v)
	p.highestPeerVersion = max(p.highestPeerVersion, v)
}

// advanceVersion records the replica's version and announces it; a version from a stale read that is not higher is ignored.
func (p *Poller) advanceVersion(v Version, out []PollAction) []PollAction {
	if v <= p.version {
		return out
	}
	p.version = v
	return append(out, Announce{Version: v})
}

// handlePolled handles the result of a poll and schedules the next one.
func (p *Poller) handlePolled(now request.Instant, e Polled, out []PollAction) []PollAction {
	p.polling = false
	p.polledOnce = true
	p.platformUp = e.Err == nil
	interval := FallbackInterval
	if p.isReader || !p.ready {
		interval = PollInterval
	}
	p.nextPoll = now.Add(p.addJitter(interval))
	if p.pollAgain {
		p.pollAgain = false
		p.nextPoll = now
	}
	if e.Err != nil {
		return out
	}
	return p.advanceVersion(e.Version, out)
}

// handleFetched handles the result of a fetch and schedules a retry after a failure.
func (p *Poller) handleFetched(now request.Instant, e Fetched, out []PollAction) []PollAction {
	if p.fetchingFrom == e.Instance {
		p.fetchingFrom = ""
	}
	delete(p.versionFetches, e.Instance)
	if e.Err == nil {
		out = p.advanceVersion(e.Version, out)
	}
	s := p.peers[e.Instance]
	if s == nil {
		return out
	}
	s.known = s.known || e.Err == nil
	if e.Err == nil && p.version >= s.version {
		s.failures = 0
		return out
	}
	// A peer that returned a lower version than it had reported also counts as failed; it may have restarted.
	wait := min(minFetchBackoff<<min(s.failures, 10), maxFetchBackoff)
	s.failures++
	s.retryAt = now.Add(p.addJitter(wait))
	return out
}

// startPoll starts a poll if one is due and none is in flight.
func (p *Poller) startPoll(now request.Instant, out []PollAction) []PollAction {
	if p.polling || now < p.nextPoll {
		return out
	}
	p.polling = true
	return append(out, PollPlatform{})
}

// startFetch starts a fetch if a peer has reported a version above the replica's. Among such peers it picks the first in the
// order of preferred.
func (p *Poller) startFetch(now request.Instant, out []PollAction) []PollAction {
	if p.fetchingFrom != "" || p.highestPeerVersion <= p.version {
		return out
	}
	var best request.InstanceID
	var bestState *peerState
	for instance, s := range p.peers {
		if s.version <= p.version || now < s.retryAt || p.isFetching(instance) {
			continue
		}
		if bestState == nil || p.preferred(instance, s, best, bestState) {
			best, bestState = instance, s
		}
	}
	if bestState == nil {
		return out
	}
	p.fetchingFrom = best
	return append(out, FetchPeer{Instance: best})
}

// preferred reports whether peer a is preferred to peer b: a peer in the own zone first, then the one with fewer failures, then
// the one with the higher version. Ties are broken by a rendezvous hash with this instance, so that the instances of a zone
// spread their fetches over the peers.
func (p *Poller) preferred(a request.InstanceID, as *peerState, b request.InstanceID, bs *peerState) bool {
	if inA, inB := as.zone == p.settings.Zone, bs.zone == p.settings.Zone; inA != inB {
		return inA
	}
	if as.failures != bs.failures {
		return as.failures < bs.failures
	}
	if as.version != bs.version {
		return as.version > bs.version
	}
	own := request.ZoneID(p.settings.Instance)
	return rendezvousWeight(own, a) > rendezvousWeight(own, b)
}

// fetchUnknownVersions fetches from the zone peers of unknown version, because one of them may hold the highest version. It
// waits for the first poll, after which the responses are small.
func (p *Poller) fetchUnknownVersions(now request.Instant, out []PollAction) []PollAction {
	if p.ready || !p.polledOnce {
		return out
	}
	for _, instance := range p.zonePeers {
		if len(p.versionFetches) >= maxVersionFetches {
			return out
		}
		if s := p.peers[instance]; p.awaitsVersion(s) && now >= s.retryAt && !p.isFetching(instance) {
			p.versionFetches[instance] = true
			out = append(out, FetchPeer{Instance: instance})
		}
	}
	return out
}

// isFetching reports whether a fetch from the peer is in flight.
func (p *Poller) isFetching(instance request.InstanceID) bool {
	return p.versionFetches[instance] || p.fetchingFrom == instance
}

// awaitsVersion reports whether a starting instance still waits for the peer's version. It stops waiting after maxStartFailures
// failed fetches.
func (p *Poller) awaitsVersion(s *peerState) bool { return !s.known && s.failures < maxStartFailures }

// checkReady makes the instance ready once it holds the highest version of the platform and its zone peers or, while the
// platform is down, of its zone peers alone. Each zone peer must have reported its version or failed to respond. With the
// platform down and no configuration from a peer, the instance does not serve.
func (p *Poller) checkReady(out []PollAction) []PollAction {
	if p.ready || !p.joined || !p.polledOnce || !p.platformUp && p.version == 0 {
		return out
	}
	for _, instance := range p.zonePeers {
		if s := p.peers[instance]; p.awaitsVersion(s) || s.version > p.version && s.failures < maxStartFailures {
			return out
		}
	}
	p.ready = true
	return append(out, Ready{Version: p.version})
}

// setTimer requests a PollTick at the time of the next poll or fetch, unless that timer is already set.
func (p *Poller) setTimer(out []PollAction) []PollAction {
	at := request.Instant(-1)
	consider := func(t request.Instant) {
		if at < 0 || t < at {
			at = t
		}
	}
	if !p.polling {
		consider(p.nextPoll)
	}
	if p.fetchingFrom == "" && p.highestPeerVersion > p.version {
		for instance, s := range p.peers {
			if s.version > p.version && !p.isFetching(instance) {
				consider(s.retryAt)
			}
		}
	}
	if !p.ready && p.polledOnce && len(p.versionFetches) < maxVersionFetches {
		for _, instance := range p.zonePeers {
			if s := p.peers[instance]; p.awaitsVersion(s) && !p.isFetching(instance) {
				consider(s.retryAt)
			}
		}
	}
	if at < 0 || at == p.timerAt {
		return out
	}
	p.timerAt = at
	return append(out, SetPollTimer{At: at})
}

// addJitter returns the interval, longer or shorter by a random fraction of up to jitterFraction.
func (p *Poller) addJitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - jitterFraction + 2*jitterFraction*p.random.Float64()))
}
