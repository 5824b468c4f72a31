package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/sapphiretack/sapphiretack/request"
)

// InFlight is a request that was in flight at a crash.
type InFlight struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint request.Fingerprint
	// IsOnly is set if the crash is most likely due to this request: no other one was in flight, or no other one that had been in
	// flight at an earlier crash.
	IsOnly bool
	// IsCleared is set if the request has completed, so that the crash was not due to it.
	IsCleared bool
}

// Report is a crash and some or all of the requests that were in flight, as nodes tell each other.
type Report struct {
	_ struct{} `cbor:",toarray"`
	Crash
	// Age is the time since the crash.
	Age      time.Duration
	Requests []InFlight
}

// CrashLogSettings limit the size of a CrashLog and the duration of quarantines.
type CrashLogSettings struct {
	// MaxCrashes is the maximum number of crashes, and MaxSuspects that of the requests in flight at one crash.
	MaxCrashes, MaxSuspects int
	// Expiry is the time after the last crash of a request after which all of them are forgotten, or twice its quarantine if that is
	// more.
	Expiry time.Duration
	// QuarantineTime is the duration of the quarantine after the second crash; each further crash makes it quarantineGrowth times as
	// long, up to MaxQuarantineTime.
	QuarantineTime, MaxQuarantineTime time.Duration
	// TellTimes is how often a change is told to other nodes, and RetellInterval the time between messages that tell other nodes
	// again what they may have missed.
	TellTimes      int
	RetellInterval time.Duration
	// MaxReportBytes is the maximum encoded size of the reports of one message.
	MaxReportBytes int
}

// DefaultCrashLogSettings returns the default settings. Each message reaches one or two nodes, so a change reaches 2,800 nodes after
// about 12 messages of each node that knows it.
func DefaultCrashLogSettings() CrashLogSettings {
	return CrashLogSettings{
		MaxCrashes: 64, MaxSuspects: 256, Expiry: time.Hour, QuarantineTime: time.Minute, MaxQuarantineTime: 24 * time.Hour,
		TellTimes: 6, RetellInterval: time.Second, MaxReportBytes: 1300,
	}
}

// CrashLog decides which requests crash backend servers, from the requests that were in flight at each crash of any of them. It is not
// safe for concurrent use.
//
// A request in flight at one crash is treated like any other. After two crashes, or if one is most likely due to it, it is Suspect: an
// instance runs one suspect at a time, so that the next crash tells which one it is. It is Quarantined after two crashes of which one
// is most likely due to it. Requests that complete are cleared of all earlier crashes, which keeps a request that is made often out
// of quarantine when many backend servers end at once. After the quarantine the request is Suspect again.
type CrashLog struct {
	settings      CrashLogSettings
	crashes       []*loggedCrash // in the order in which they became known
	byFingerprint map[request.Fingerprint][]*loggedSuspect
	// news holds what has not been told often enough: first the requests that are not Clear, then the others, each by how often it has
	// been told.
	news        [2][]newsQueue
	lastTold    request.Instant
	retellIndex int // position in the list of all suspects
}

type loggedCrash struct {
	crash    Crash
	at       request.Instant
	suspects []*loggedSuspect
}

type loggedSuspect struct {
	InFlight
	crash    *loggedCrash
	told     int // how often the current state has been told
	enqueued int // how often it has been added to a newsQueue; only the latest item there counts, and none after its removal
}

// newsQueue is a queue of suspects that have been told equally often.
type newsQueue []newsItem

type newsItem struct {
	suspect  *loggedSuspect
	enqueued int
}

// isStale reports whether the suspect has been removed or added to a queue again since.
func (i newsItem) isStale() bool { return i.enqueued != i.suspect.enqueued }

// NewCrashLog returns an empty CrashLog.
func NewCrashLog(s CrashLogSettings) *CrashLog {
	l := &CrashLog{settings: s, byFingerprint: map[request.Fingerprint][]*loggedSuspect{}}
	for i := range l.news {
		l.news[i] = make([]newsQueue, s.TellTimes)
	}
	return l
}

// Observe records a crash at which the given requests were in flight, and returns those that it puts in quarantine.
func (l *CrashLog) Observe(now request.Instant, c Crash, inFlight []request.Fingerprint) []request.Fingerprint {
	return l.observe(now, c, inFlight, 0)
}

// ObservePart records a crash of which only some of the requests in flight are known, and returns those that it puts in quarantine. It is most
// likely due to a request only if that was in flight at an earlier crash as well. A crash of the same backend server that is known already is
// not recorded again.
func (l *CrashLog) ObservePart(now request.Instant, c Crash, inFlight []request.Fingerprint) []request.Fingerprint {
	for _, known := range l.crashes {
		if known.crash.Instance == c.Instance && now.Sub(known.at) < peerLossWindow {
			return nil
		}
	}
	return l.observe(now, c, inFlight, 1)
}

// observe records a crash that is most likely due to a request only if that was in flight at the given number of earlier crashes.
func (l *CrashLog) observe(now request.Instant, c Crash, inFlight []request.Fingerprint, minCrashes int) []request.Fingerprint {
	most, atMost := 0, 0
	counts := make([]int, len(inFlight))
	for i, f := range inFlight {
		counts[i] = len(l.uncleared(now, f))
		switch {
		case counts[i] > most:
			most, atMost = counts[i], 1
		case counts[i] == most:
			atMost++
		}
	}
	r := Report{Crash: c}
	for i, f := range inFlight {
		r.Requests = append(r.Requests, InFlight{Fingerprint: f, IsOnly: counts[i] == most && atMost == 1 && most >= minCrashes})
	}
	// Keeps the most likely suspects if there are too many.
	slices.SortStableFunc(r.Requests, func(a, b InFlight) int {
		return cmp.Compare(len(l.uncleared(now, b.Fingerprint)), len(l.uncleared(now, a.Fingerprint)))
	})
	r.Requests = r.Requests[:min(len(r.Requests), l.settings.MaxSuspects)]
	return l.Merge(now, []Report{r})
}

// Merge adds what other nodes report and returns the requests that this puts in quarantine. Reports without a backend server, or
// with a negative age or one at which no crash is remembered, are ignored.
func (l *CrashLog) Merge(now request.Instant, reports []Report) []request.Fingerprint {
	var quarantined []request.Fingerprint
	for _, r := range reports {
		if r.Instance == "" || r.Age < 0 || r.Age >= l.maxAge() {
			continue
		}
		entry := l.entry(now, r)
		for _, s := range r.Requests[:min(len(r.Requests), l.settings.MaxSuspects)] {
			before := l.State(now, s.Fingerprint)
			if !l.mergeSuspect(entry, s) {
				continue
			}
			after := l.State(now, s.Fingerprint)
			if before != Quarantined && after == Quarantined {
				quarantined = append(quarantined, s.Fingerprint)
			}
			l.enqueue(s.Fingerprint, after)
		}
	}
	return quarantined
}

// entry returns the entry of a reported crash, adding one if necessary.
func (l *CrashLog) entry(now request.Instant, r Report) *loggedCrash {
	for _, c := range l.crashes {
		if c.crash == r.Crash {
			return c
		}
	}
	if len(l.crashes) >= l.settings.MaxCrashes {
		l.evict(now)
	}
	c := &loggedCrash{crash: r.Crash, at: now.Add(-r.Age)}
	l.crashes = append(l.crashes, c)
	return c
}

// mergeSuspect adds what is known of a request that was in flight at a crash and reports whether that changes something.
func (l *CrashLog) mergeSuspect(c *loggedCrash, s InFlight) bool {
	for _, known := range l.byFingerprint[s.Fingerprint] {
		if known.crash != c {
			continue
		}
		isChange := s.IsOnly && !known.IsOnly || s.IsCleared && !known.IsCleared
		known.IsOnly, known.IsCleared = known.IsOnly || s.IsOnly, known.IsCleared || s.IsCleared
		if isChange {
			known.told = 0
		}
		return isChange
	}
	if len(c.suspects) >= l.settings.MaxSuspects {
		return false
	}
	added := &loggedSuspect{InFlight: s, crash: c}
	c.suspects = append(c.suspects, added)
	l.byFingerprint[s.Fingerprint] = append(l.byFingerprint[s.Fingerprint], added)
	return true
}

// enqueue adds the suspects of a request to the queues of what is to be told, according to its state.
func (l *CrashLog) enqueue(f request.Fingerprint, state State) {
	for _, s := range l.byFingerprint[f] {
		if s.told < l.settings.TellTimes {
			l.push(s, state)
		}
	}
}

func (l *CrashLog) push(s *loggedSuspect, state State) {
	s.enqueued++
	queues := l.news[0]
	if state == Clear {
		queues = l.news[1]
	}
	if len(queues[s.told]) >= 2*l.settings.MaxCrashes*l.settings.MaxSuspects {
		queues[s.told] = slices.DeleteFunc(queues[s.told], newsItem.isStale)
	}
	queues[s.told] = append(queues[s.told], newsItem{s, s.enqueued})
}

// evict removes the oldest crash of which no suspect is in quarantine, or else the oldest one.
func (l *CrashLog) evict(now request.Instant) {
	victim := slices.IndexFunc(l.crashes, func(c *loggedCrash) bool {
		return !slices.ContainsFunc(c.suspects, func(s *loggedSuspect) bool { return l.State(now, s.Fingerprint) == Quarantined })
	})
	l.remove(max(0, victim))
}

func (l *CrashLog) remove(index int) {
	c := l.crashes[index]
	l.crashes = slices.Delete(l.crashes, index, index+1)
	for _, s := range c.suspects {
		s.enqueued++
		left := slices.DeleteFunc(l.byFingerprint[s.Fingerprint], func(o *loggedSuspect) bool { return o == s })
		if len(left) == 0 {
			delete(l.byFingerprint, s.Fingerprint)
			continue
		}
		l.byFingerprint[s.Fingerprint] = left
	}
}

// maxAge returns the age at which every crash is forgotten.
func (l *CrashLog) maxAge() time.Duration {
	return max(l.settings.Expiry, retentionPeriods*l.settings.MaxQuarantineTime)
}

// Expire removes what is forgotten: the crashes whose requests have not crashed a backend server since for long enough.
func (l *CrashLog) Expire(now request.Instant) {
	for i := len(l.crashes) - 1; i >= 0; i-- {
		age := now.Sub(l.crashes[i].at)
		if age < l.settings.Expiry {
			continue
		}
		isRemembered := func(s *loggedSuspect) bool { return !s.IsCleared && len(l.uncleared(now, s.Fingerprint)) > 0 }
		if age >= l.maxAge() || !slices.ContainsFunc(l.crashes[i].suspects, isRemembered) {
			l.remove(i)
		}
	}
}

// Complete records that a request has completed, and reports whether that ends its quarantine.
func (l *CrashLog) Complete(now request.Instant, f request.Fingerprint) (isLifted bool) {
	suspects := l.byFingerprint[f]
	if len(suspects) == 0 {
		return false
	}
	isLifted = l.State(now, f) == Quarantined
	for _, s := range suspects {
		if !s.IsCleared {
			s.IsCleared, s.told = true, 0
		}
	}
	l.enqueue(f, l.State(now, f))
	return isLifted
}

// quarantineGrowth is the factor by which each further crash prolongs the quarantine: a request that crashes every backend server runs six
// times on the first day, three of them after its third crash.
const quarantineGrowth = 6

// retentionPeriods is how many times as long as its quarantine a request is remembered after its last crash.
const retentionPeriods = 2

// uncleared returns the crashes that may be due to a request, unless the last of them is so long ago that they are forgotten.
func (l *CrashLog) uncleared(now request.Instant, f request.Fingerprint) []*loggedSuspect {
	var out []*loggedSuspect
	for _, s := range l.byFingerprint[f] {
		if !s.IsCleared && now.Sub(s.crash.at) < l.maxAge() {
			out = append(out, s)
		}
	}
	if len(out) == 0 || now.Sub(lastCrash(out)) >= max(l.settings.Expiry, retentionPeriods*l.quarantineTime(len(out))) {
		return nil
	}
	return out
}

// lastCrash returns the time of the last of the crashes, of which there is at least one.
func lastCrash(crashes []*loggedSuspect) request.Instant {
	last := crashes[0].crash.at
	for _, s := range crashes {
		last = max(last, s.crash.at)
	}
	return last
}

// quarantineTime returns the duration of the quarantine after a number of crashes.
func (l *CrashLog) quarantineTime(crashes int) time.Duration {
	if crashes < quarantineCount {
		return 0
	}
	period := l.settings.QuarantineTime
	for range crashes - quarantineCount {
		period = min(quarantineGrowth*period, l.settings.MaxQuarantineTime)
	}
	return period
}

// State returns the state of a request.
func (l *CrashLog) State(now request.Instant, f request.Fingerprint) State {
	if len(l.byFingerprint[f]) == 0 {
		return Clear
	}
	crashes := l.uncleared(now, f)
	isOnly := slices.ContainsFunc(crashes, func(s *loggedSuspect) bool { return s.IsOnly })
	switch {
	case len(crashes) >= quarantineCount && isOnly && l.Remaining(now, f) > 0:
		return Quarantined
	case len(crashes) >= quarantineCount || isOnly:
		return Suspect
	}
	return Clear
}

// Remaining returns the time until the quarantine of a request is over, as far as the number of its crashes tells, or 0.
func (l *CrashLog) Remaining(now request.Instant, f request.Fingerprint) time.Duration {
	crashes := l.uncleared(now, f)
	if len(crashes) < quarantineCount {
		return 0
	}
	return max(0, l.quarantineTime(len(crashes))-now.Sub(lastCrash(crashes)))
}

// About returns the crashes that may be due to a request, the latest first and at most MaxCrashes, to be sent along with it.
func (l *CrashLog) About(now request.Instant, f request.Fingerprint) []Report {
	crashes := l.uncleared(now, f)
	slices.SortStableFunc(crashes, func(a, b *loggedSuspect) int { return cmp.Compare(b.crash.at, a.crash.at) })
	var out []Report
	for _, s := range crashes[:min(len(crashes), MaxCrashes)] {
		out = append(out, Report{Crash: s.crash.crash, Age: now.Sub(s.crash.at), Requests: []InFlight{s.InFlight}})
	}
	return out
}

// Quarantined returns the requests in quarantine, in no particular order.
func (l *CrashLog) Quarantined(now request.Instant) []request.Fingerprint {
	var out []request.Fingerprint
	for f, suspects := range l.byFingerprint {
		if len(suspects) >= quarantineCount && l.State(now, f) == Quarantined {
			out = append(out, f)
		}
	}
	return out
}

const (
	// suspectBytes is the maximum encoded size of a suspect.
	suspectBytes = 12
	// reportBytes is the maximum encoded size of a report without its suspects and the name of the instance.
	reportBytes = 28
)

// Next returns the reports of the next message: what has changed, requests that are not Clear first, and from time to time
// something that has been told before, for nodes that were not there then. It returns nil if there is nothing to tell.
func (l *CrashLog) Next(now request.Instant) []Report {
	l.Expire(now)
	if reports := l.nextNews(now); len(reports) > 0 {
		l.lastTold = now
		return reports
	}
	if now.Sub(l.lastTold) < l.settings.RetellInterval {
		return nil
	}
	l.lastTold = now
	var all []*loggedSuspect
	for _, c := range l.crashes {
		all = append(all, c.suspects...)
	}
	if len(all) == 0 {
		return nil
	}
	m := newMessage(l.settings.MaxReportBytes)
	for i := range all {
		if !m.add(now, all[(l.retellIndex+i)%len(all)]) {
			l.retellIndex = (l.retellIndex + max(1, i)) % len(all)
			return m.reports
		}
	}
	return m.reports
}

// nextNews returns reports of what has been told least often, as far as they fit into one message.
func (l *CrashLog) nextNews(now request.Instant) []Report {
	m := newMessage(l.settings.MaxReportBytes)
	var told []*loggedSuspect
	for _, queues := range l.news {
		for i := range queues {
			for len(queues[i]) > 0 {
				item := queues[i][0]
				if !item.isStale() {
					if m.add(now, item.suspect) {
						told = append(told, item.suspect)
					} else if len(told) > 0 { // otherwise it fits into no message
						l.requeue(now, told)
						return m.reports
					}
				}
				queues[i] = queues[i][1:]
			}
			queues[i] = nil
		}
	}
	l.requeue(now, told)
	return m.reports
}

// requeue counts suspects as told and adds those that are to be told again.
func (l *CrashLog) requeue(now request.Instant, told []*loggedSuspect) {
	for _, s := range told {
		if s.told++; s.told < l.settings.TellTimes {
			l.push(s, l.State(now, s.Fingerprint))
		}
	}
}

// message collects reports up to a size.
type message struct {
	reports   []Report
	indices   map[*loggedCrash]int
	bytesLeft int
}

func newMessage(maxBytes int) *message {
	return &message{indices: map[*loggedCrash]int{}, bytesLeft: maxBytes}
}

// add adds a suspect and returns false if it does not fit.
func (m *message) add(now request.Instant, s *loggedSuspect) bool {
	i, ok := m.indices[s.crash]
	size := suspectBytes
	if !ok {
		size += reportBytes + len(s.crash.crash.Instance)
	}
	if size > m.bytesLeft {
		return false
	}
	m.bytesLeft -= size
	if !ok {
		i = len(m.reports)
		m.indices[s.crash] = i
		m.reports = append(m.reports, Report{Crash: s.crash.crash, Age: now.Sub(s.crash.at)})
	}
	m.reports[i].Requests = append(m.reports[i].Requests, s.InFlight)
	return true
}
