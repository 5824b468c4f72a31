package fleet

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/routing"
)

// Server is an instance of a summarized service that attempts can be sent to.
type Server struct {
	_           struct{} `cbor:",toarray"`
	Address     netip.Addr
	Instance    request.InstanceID
	Limit       uint16
	ServiceTime time.Duration
	// DominantRoute is the route that ServiceTime was measured for.
	DominantRoute routing.RouteID
}

// RouteSpeed sums the instances whose dominant route is Route, so that speeds can be compared between zones.
type RouteSpeed struct {
	_     struct{} `cbor:",toarray"`
	Route routing.RouteID
	// Slots is the sum of the limits.
	Slots uint32
	// ServiceTime is the mean service time, weighted by the limits.
	ServiceTime time.Duration
	// PerSecond is the number of requests that the slots complete per second.
	PerSecond float32
}

// Summary is the state of a service in one zone, summed over its nodes. Its size does not depend on their number, apart from
// Servers, which holds at most MaxServers of them.
type Summary struct {
	_       struct{} `cbor:",toarray"`
	Zone    request.ZoneID
	Service request.ServiceID
	Age     time.Duration // since the summary was made
	// Nodes is the number of live nodes, whatever the health of their backend servers.
	Nodes uint16
	// Instances is the number of usable instances, and Slots the sum of their limits.
	Instances uint16
	Slots     uint32
	// LoadPermille and FailurePercent are the means over the usable instances, weighted by their limits.
	LoadPermille   uint16
	FailurePercent uint8
	Speeds         []RouteSpeed
	Rates          []Rate
	// Servers is a random choice of the usable instances; each summary has another one.
	Servers []Server
}

// MaxServers is the maximum number of servers that a summary names.
const MaxServers = 3

// partialTime is the age up to which a summary is not replaced by one of less than half of its nodes.
const partialTime = time.Second

// maxSummaryRates limits the rates in a summary, so that it fits into one message.
const maxSummaryRates = 64

type summaryKey struct {
	zone    request.ZoneID
	service request.ServiceID
}

// heldSummary is a summary with the times that decide when it is sent on.
type heldSummary struct {
	summary Summary
	made    request.Instant
	told    request.Instant
}

// SetSummaries replaces the summaries of the local zone. They are ignored until the node has been told of the whole zone after
// its start or a pause, because a summary of a part of the zone would replace complete ones at all other nodes.
func (t *Table) SetSummaries(now request.Instant, own []Summary) {
	t.isSettled = t.isSettled || now.Sub(t.discovered) >= t.settings.SettleTime
	if !t.isSettled {
		return
	}
	seen := map[request.ServiceID]bool{}
	for i := range own {
		s := &own[i]
		s.Zone = t.zone
		seen[s.Service] = true
		s.Rates = limitRates(s.Rates)
		t.holdSummary(*s, now)
	}
	for key := range t.summaries {
		if key.zone == t.zone && !seen[key.service] {
			delete(t.summaries, key)
		}
	}
}

// limitRates returns the highest rates, sorted by route.
func limitRates(rates []Rate) []Rate {
	if len(rates) > maxSummaryRates {
		slices.SortFunc(rates, func(a, b Rate) int {
			return cmp.Or(cmp.Compare(b.PerSecond, a.PerSecond), cmp.Compare(a.Route, b.Route))
		})
		rates = rates[:maxSummaryRates]
	}
	slices.SortFunc(rates, func(a, b Rate) int { return cmp.Compare(a.Route, b.Route) })
	return rates
}

func (t *Table) holdSummary(s Summary, made request.Instant) {
	key := summaryKey{s.Zone, s.Service}
	h := t.summaries[key]
	if h == nil {
		h = &heldSummary{told: neverSent}
		t.summaries[key] = h
	}
	h.summary, h.made = s, made
}

// MergeSummaries adds received summaries of other zones that were made later than the known ones, and the nodes that they name.
func (t *Table) MergeSummaries(now request.Instant, received []Summary) {
	for i := range received {
		s := &received[i]
		if s.Zone == t.zone || !s.isValid() {
			continue
		}
		made := now.Add(-s.Age)
		h := t.summaries[summaryKey{s.Zone, s.Service}]
		if h == nil && len(t.summaries) >= maxSummaries || h != nil && (made <= h.made || isPartial(now, s, h)) {
			continue
		}
		t.holdSummary(*s, made)
		for _, server := range s.Servers {
			if server.Address == t.self {
				continue
			}
			m := t.members[server.Address]
			if m == nil {
				if len(t.members) >= maxMembers {
					continue
				}
				m = &member{lastSent: neverSent, told: neverSent}
				t.members[server.Address] = m
			}
			if !m.hasEntry {
				m.entry.Address, m.entry.Zone = server.Address, s.Zone
			}
			m.heard = max(m.heard, made)
		}
	}
}

// isValid reports whether a node can mean the summary.
func (s *Summary) isValid() bool {
	return s.Age >= 0 && areValid(s.Rates) && len(s.Servers) <= MaxServers &&
		!slices.ContainsFunc(s.Servers, func(r Server) bool { return !IsNodeAddress(r.Address) || r.ServiceTime < 0 }) &&
		!slices.ContainsFunc(s.Speeds, func(r RouteSpeed) bool { return !isRate(r.PerSecond) || r.ServiceTime < 0 })
}

// isPartial reports whether a summary counts less than half of the nodes of the known one although that is recent. Its maker was
// probably cut off from its zone.
func isPartial(now request.Instant, s *Summary, known *heldSummary) bool {
	return 2*s.Nodes < known.summary.Nodes && now.Sub(known.made) < partialTime
}

// Summaries returns the current summaries of other zones, sorted by zone and service.
func (t *Table) Summaries(now request.Instant) []Summary {
	isLive := t.liveZones(now)
	var out []Summary
	for key, h := range t.summaries {
		if isLive[key.zone] && now.Sub(h.made) < maxSilence {
			s := h.summary
			s.Age = now.Sub(h.made)
			out = append(out, s)
		}
	}
	slices.SortFunc(out, compareSummaries)
	return out
}

func compareSummaries(a, b Summary) int {
	return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Service, b.Service))
}

// liveZones returns the other zones from which a summary of any service has arrived lately. One of another service may be older:
// a message carries only some services of a zone, and a zone that is cut off falls silent as a whole.
func (t *Table) liveZones(now request.Instant) map[request.ZoneID]bool {
	newest := map[request.ZoneID]request.Instant{}
	for key, h := range t.summaries {
		if key.zone == t.zone {
			continue
		}
		if made, ok := newest[key.zone]; !ok || h.made > made {
			newest[key.zone] = h.made
		}
	}
	limit := t.summaryAges.maxAge(t.settings.SummaryMaxAge)
	out := make(map[request.ZoneID]bool, len(newest))
	for zone, made := range newest {
		out[zone] = now.Sub(made) < limit
	}
	return out
}

// removeSummaries removes the summaries that are older than maxAge.
func (t *Table) removeSummaries(now request.Instant, maxAge time.Duration) {
	for key, h := range t.summaries {
		if now.Sub(h.made) > maxAge {
			delete(t.summaries, key)
		}
	}
}

// nextSummaries returns the summaries for one message, those that have changed since they were last sent first, and marks them
// as sent. If isOwn is set they are those of the local zone, otherwise those of all other zones.
func (t *Table) nextSummaries(now request.Instant, isOwn bool) []Summary {
	if isOwn && !t.isSettled {
		return nil
	}
	var candidates []*heldSummary
	for key, h := range t.summaries {
		if (key.zone == t.zone) == isOwn && now.Sub(h.made) < maxSilence {
			candidates = append(candidates, h)
		}
	}
	slices.SortFunc(candidates, func(a, b *heldSummary) int { return compareSummaries(a.summary, b.summary) })
	t.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	slices.SortStableFunc(candidates, func(a, b *heldSummary) int { return compareNews(a.made, a.told, b.made, b.told) })
	var out []Summary
	size := messageOverhead
	for _, h := range candidates {
		s := h.summary
		s.Age = now.Sub(h.made)
		if size += s.size(); size > MaxMessageBytes {
			break
		}
		h.told = now
		out = append(out, s)
	}
	return out
}

// compareNews orders items that were renewed and last told at the given times: first those renewed since they were told.
func compareNews(renewedA, toldA, renewedB, toldB request.Instant) int {
	isNewA, isNewB := renewedA > toldA, renewedB > toldB
	switch {
	case isNewA == isNewB:
		return 0
	case isNewA:
		return -1
	default:
		return 1
	}
}
