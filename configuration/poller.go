package configuration

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sapphiretack/sapphiretack/request"
)

// The intervals. The 9 s in which a change must be in force hold a poll, two gossip rounds and a fetch.
const (
	PollInterval = time.Second
	// FallbackInterval is how often an instance that is no reader polls, in case no reader's news reach it.
	// At 2,800 instances these are under 3% of the platform's reads.
	FallbackInterval = 60 * time.Second
	// jitter is the share of an interval by which it varies, so that readers do not poll in step.
	jitter = 0.1
	// fetchRetry is the wait after the first failed fetch from a peer; it doubles up to maxFetchRetry.
	fetchRetry    = 250 * time.Millisecond
	maxFetchRetry = 8 * time.Second
	// startFailures is the number of failed fetches after which a start no longer waits for a peer.
	startFailures = 2
	// maxAsks is the number of zone peers of unknown version that a start asks at once. Each may send a snapshot.
	maxAsks = 8
)

// Peer is another instance as membership knows it. Version is 0 if it is not known, as for a row of the platform's table.
type Peer struct {
	Instance request.InstanceID
	Zone     request.ZoneID
	Version  Version
}

// PollEvent is an event of Poller.
type PollEvent interface{ pollEvent() }

// The events.
type (
	// MembersChanged gives all present instances but this one. The first one tells that this instance has joined.
	MembersChanged struct{ Peers []Peer }
	// Heard tells the version that a peer reports.
	Heard struct {
		Instance request.InstanceID
		Version  Version
	}
	// Polled is the result of PollPlatform: the replica's version after the update was applied, or an error.
	Polled struct {
		Version Version
		Err     error
	}
	// Fetched is the result of FetchPeer, as Polled.
	Fetched struct {
		Instance request.InstanceID
		Version  Version
		Err      error
	}
	// Committed tells that a change was committed through this instance, which polls at once.
	Committed struct{}
	// PollTick tells that the time of SetPollTimer has come.
	PollTick struct{}
)

func (MembersChanged) pollEvent() {}
func (Heard) pollEvent()          {}
func (Polled) pollEvent()         {}
func (Fetched) pollEvent()        {}
func (Committed) pollEvent()      {}
func (PollTick) pollEvent()       {}

// PollAction is an action of Poller.
type PollAction interface{ pollAction() }

// The actions.
type (
	// PollPlatform asks the shell to read Store.Since and to apply the update. Polled must follow.
	PollPlatform struct{}
	// FetchPeer asks the shell to fetch from a peer and to apply the update. Fetched must follow.
	FetchPeer struct{ Instance request.InstanceID }
	// Announce asks the shell to spread the new version by gossip.
	Announce struct{ Version Version }
	// Ready tells that the instance holds the highest version that it can reach and may serve.
	Ready struct{ Version Version }
	// SetPollTimer asks for a PollTick at the time; it replaces the former one.
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

// peerState is what the Poller knows about a peer.
type peerState struct {
	zone     request.ZoneID
	version  Version
	known    bool // the peer told a version since this instance started
	failures int
	retryAt  request.Instant
	listing  uint64 // the last MembersChanged that had the peer
}

// Poller decides when a node polls the platform, when it fetches from a peer and when it may serve. It is not safe for
// concurrent use.
type Poller struct {
	settings PollSettings
	random   *rand.Rand
	peers    map[request.InstanceID]*peerState
	zone     []request.InstanceID        // the peers in the zone, in order of their names
	asked    map[request.InstanceID]bool // peers that a start asks for their version now
	listing  uint64                      // counts MembersChanged
	version  Version                     // that the replica holds
	heard    Version                     // highest version that a peer reported
	joined   bool
	ready    bool
	reader   bool
	polling  bool
	again    bool // a poll must follow the one under way
	polled   bool // a poll ended since the start
	reached  bool // the last poll reached the platform
	nextPoll request.Instant
	fetching request.InstanceID
	timer    request.Instant
}

// NewPoller returns a Poller whose first poll is due at once.
func NewPoller(s PollSettings, now request.Instant, random *rand.Rand) *Poller {
	return &Poller{
		settings: s, random: random,
		peers: map[request.InstanceID]*peerState{}, asked: map[request.InstanceID]bool{},
		reader: true, nextPoll: now, timer: -1,
	}
}

// Ready reports whether the instance may serve. Once true it stays true.
func (p *Poller) Ready() bool { return p.ready }

// Reader reports whether the instance polls for its zone.
func (p *Poller) Reader() bool { return p.reader }

// Handle handles one event and appends the actions to out.
func (p *Poller) Handle(now request.Instant, e PollEvent, out []PollAction) []PollAction {
	switch e := e.(type) {
	case MembersChanged:
		p.members(now, e.Peers)
	case Heard:
		p.hear(e.Instance, e.Version)
	case Polled:
		out = p.pollEnded(now, e, out)
	case Fetched:
		out = p.fetchEnded(now, e, out)
	case Committed:
		p.again = p.polling
		p.nextPoll = min(p.nextPoll, now)
	case PollTick:
		p.timer = -1
	}
	out = p.poll(now, out)
	out = p.fetch(now, out)
	out = p.ask(now, out)
	out = p.start(out)
	return p.setTimer(out)
}

// members takes over the present peers. It keeps the states of those that stay, since a change of 2,800 members is frequent
// when many instances restart.
func (p *Poller) members(now request.Instant, peers []Peer) {
	p.listing++
	p.zone = p.zone[:0]
	p.heard = 0
	for _, peer := range peers {
		s := p.peers[peer.Instance]
		if s == nil {
			s = &peerState{}
			p.peers[peer.Instance] = s
		}
		s.listing = p.listing
		s.zone = peer.Zone
		s.version = max(s.version, peer.Version)
		s.known = s.known || peer.Version > 0
		p.heard = max(p.heard, s.version)
		if peer.Zone == p.settings.Zone {
			p.zone = append(p.zone, peer.Instance)
		}
	}
	maps.DeleteFunc(p.peers, func(_ request.InstanceID, s *peerState) bool { return s.listing != p.listing })
	slices.Sort(p.zone)
	p.joined = true
	wasReader := p.reader
	p.reader = IsReader(p.settings.Instance, p.settings.Zone, p.zone)
	if p.reader && !wasReader {
		p.nextPoll = min(p.nextPoll, now.Add(p.vary(PollInterval)))
	}
}

func (p *Poller) hear(instance request.InstanceID, v Version) {
	s := p.peers[instance]
	if s == nil {
		return
	}
	s.known = true
	s.version = max(s.version, v)
	p.heard = max(p.heard, v)
}

// advance notes the replica's version; a lower one, from a stale read, changes nothing.
func (p *Poller) advance(v Version, out []PollAction) []PollAction {
	if v <= p.version {
		return out
	}
	p.version = v
	return append(out, Announce{Version: v})
}

func (p *Poller) pollEnded(now request.Instant, e Polled, out []PollAction) []PollAction {
	p.polling = false
	p.polled = true
	p.reached = e.Err == nil
	interval := FallbackInterval
	if p.reader || !p.ready {
		interval = PollInterval
	}
	p.nextPoll = now.Add(p.vary(interval))
	if p.again {
		p.again = false
		p.nextPoll = now
	}
	if e.Err != nil {
		return out
	}
	return p.advance(e.Version, out)
}

func (p *Poller) fetchEnded(now request.Instant, e Fetched, out []PollAction) []PollAction {
	if p.fetching == e.Instance {
		p.fetching = ""
	}
	delete(p.asked, e.Instance)
	if e.Err == nil {
		out = p.advance(e.Version, out)
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
	// Also a peer that gave less than it reported counts as failed; it may have restarted.
	wait := min(fetchRetry<<min(s.failures, 10), maxFetchRetry)
	s.failures++
	s.retryAt = now.Add(p.vary(wait))
	return out
}

func (p *Poller) poll(now request.Instant, out []PollAction) []PollAction {
	if p.polling || now < p.nextPoll {
		return out
	}
	p.polling = true
	return append(out, PollPlatform{})
}

// fetch starts a fetch from the peer with the highest version above ours, from one in the zone if several have it.
func (p *Poller) fetch(now request.Instant, out []PollAction) []PollAction {
	if p.fetching != "" || p.heard <= p.version {
		return out
	}
	var best request.InstanceID
	var bestState *peerState
	for instance, s := range p.peers {
		if s.version <= p.version || now < s.retryAt || p.busy(instance) {
			continue
		}
		if bestState == nil || p.better(instance, s, best, bestState) {
			best, bestState = instance, s
		}
	}
	if bestState == nil {
		return out
	}
	p.fetching = best
	return append(out, FetchPeer{Instance: best})
}

// better orders peers by zone, failures and version. Among equal ones the rendezvous hash with this instance decides, so
// that the instances of a zone do not all ask the same peer.
func (p *Poller) better(a request.InstanceID, as *peerState, b request.InstanceID, bs *peerState) bool {
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
	return rendezvous(own, a) > rendezvous(own, b)
}

// ask fetches from the zone peers whose version is not known, since a start must not miss the one that holds the highest.
// It waits for the first poll, after which their responses are small.
func (p *Poller) ask(now request.Instant, out []PollAction) []PollAction {
	if p.ready || !p.polled {
		return out
	}
	for _, instance := range p.zone {
		if len(p.asked) >= maxAsks {
			return out
		}
		if s := p.peers[instance]; p.unheard(s) && now >= s.retryAt && !p.busy(instance) {
			p.asked[instance] = true
			out = append(out, FetchPeer{Instance: instance})
		}
	}
	return out
}

// busy reports whether a fetch from the peer is under way.
func (p *Poller) busy(instance request.InstanceID) bool {
	return p.asked[instance] || p.fetching == instance
}

// unheard reports whether a start waits to hear the peer's version. A peer that failed to respond is not waited for.
func (p *Poller) unheard(s *peerState) bool { return !s.known && s.failures < startFailures }

// start applies the start rule: the highest version of the platform and the zone peers; with the platform down, the highest
// that the zone holds. Each zone peer must have told its version or have failed to respond. Without any configuration at
// hand the instance does not serve.
func (p *Poller) start(out []PollAction) []PollAction {
	if p.ready || !p.joined || !p.polled || !p.reached && p.version == 0 {
		return out
	}
	for _, instance := range p.zone {
		if s := p.peers[instance]; p.unheard(s) || s.version > p.version && s.failures < startFailures {
			return out
		}
	}
	p.ready = true
	return append(out, Ready{Version: p.version})
}

// setTimer asks for a tick at the next poll or fetch.
func (p *Poller) setTimer(out []PollAction) []PollAction {
	at := request.Instant(-1)
	earlier := func(t request.Instant) {
		if at < 0 || t < at {
			at = t
		}
	}
	if !p.polling {
		earlier(p.nextPoll)
	}
	if p.fetching == "" && p.heard > p.version {
		for instance, s := range p.peers {
			if s.version > p.version && !p.busy(instance) {
				earlier(s.retryAt)
			}
		}
	}
	if !p.ready && p.polled && len(p.asked) < maxAsks {
		for _, instance := range p.zone {
			if s := p.peers[instance]; p.unheard(s) && !p.busy(instance) {
				earlier(s.retryAt)
			}
		}
	}
	if at < 0 || at == p.timer {
		return out
	}
	p.timer = at
	return append(out, SetPollTimer{At: at})
}

// vary returns the interval, longer or shorter by up to the share jitter.
func (p *Poller) vary(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - jitter + 2*jitter*p.random.Float64()))
}
