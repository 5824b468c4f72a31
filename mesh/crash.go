package mesh

import (
	"context"
	"errors"
	"io"
	"maps"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/sapphiretack/sapphiretack/fleet"
	"github.com/sapphiretack/sapphiretack/quarantine"
	"github.com/sapphiretack/sapphiretack/request"
)

// aliveCheckTimeout bounds the connection by which the node checks that the backend server beside it is alive.
const aliveCheckTimeout = 200 * time.Millisecond

// aliveCheck is a check whether the backend server still accepts connections.
type aliveCheck struct {
	began request.Instant
	done  chan struct{} // closed when the check has ended
	// isCrash is set if the check found that the backend server has crashed; it is valid once done is closed.
	isCrash bool
}

// beginAttempt records that an attempt is sent to the backend server, unless its content is unknown.
func (b *backend) beginAttempt(adm admittedAttempt, content request.Fingerprint) {
	if content == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.detector.Begin(b.node.now(), uint64(adm.number), content)
}

// endOf returns how an attempt ended whose round trip failed; isLate is set after its deadline.
func endOf(ctx context.Context, err error, isLate bool) quarantine.End {
	switch {
	case request.IsUnsent(err):
		return quarantine.Abandoned
	case isLate || errors.Is(ctx.Err(), context.DeadlineExceeded):
		return quarantine.TimedOut
	case ctx.Err() != nil:
		return quarantine.GivenUp
	}
	return quarantine.Disconnected
}

// endOfBody returns how an attempt ended whose response ended with an error, which is io.EOF if the response is whole.
func endOfBody(ctx context.Context, err error) quarantine.End {
	switch {
	case errors.Is(err, io.EOF):
		return quarantine.Responded
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return quarantine.TimedOut
	case ctx.Err() != nil || errors.Is(err, errBodyClosed):
		return quarantine.GivenUp
	}
	return quarantine.Truncated
}

// endResponse records the end of an attempt whose response has ended.
func (b *backend) endResponse(adm admittedAttempt, content request.Fingerprint, end quarantine.End) {
	b.endAttempt(adm, end)
	if end == quarantine.Responded {
		b.node.completeRequest(content)
	}
}

// endAttempt records the end of an attempt and reports whether the backend server crashed while the attempt was in flight.
func (b *backend) endAttempt(adm admittedAttempt, end quarantine.End) (isCrash bool) {
	ended := b.node.now()
	b.mu.Lock()
	needsCheck := b.detector.End(ended, uint64(adm.number), end)
	isCrash = end == quarantine.Disconnected && b.crashed != "" && b.crashed == adm.incarnation
	b.mu.Unlock()
	if !needsCheck {
		return isCrash
	}
	for {
		b.mu.Lock()
		c := b.check
		if c == nil {
			c = &aliveCheck{began: b.node.now(), done: make(chan struct{})}
			b.check = c
			b.mu.Unlock()
			b.checkAlive(adm, c)
			return c.isCrash
		}
		b.mu.Unlock()
		<-c.done
		// A check that began before the attempt ended can have found the backend server alive just before it crashed.
		if c.isCrash || c.began >= ended {
			return c.isCrash
		}
	}
}

// checkAlive connects to the backend server and records a crash if nothing accepts connections at its address.
func (b *backend) checkAlive(adm admittedAttempt, c *aliveCheck) {
	b.node.metrics.aliveChecks.Inc(1)
	conn, err := net.DialTimeout("tcp4", adm.address.String(), aliveCheckTimeout)
	if err == nil {
		_ = conn.Close()
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		b.markDown(adm, err)
	}
	b.mu.Lock()
	if err == nil {
		b.detector.Alive(c.began)
	}
	c.isCrash = b.crashed != "" && b.crashed == adm.incarnation
	b.check = nil
	b.mu.Unlock()
	close(c.done)
}

// recordCrash records that the current incarnation of the backend server has ended. It is not a crash if the incarnation was leaving,
// or if no attempt was in flight. The caller holds b.mu.
func (b *backend) recordCrash() {
	n := b.node
	incarnation := b.lastReport.Instance
	if b.isLeaving || incarnation == "" {
		b.detector.Reset()
		return
	}
	now := n.now()
	inFlight := b.detector.Crashed(now)
	if len(inFlight) == 0 {
		return
	}
	b.crashed = incarnation
	n.metrics.crashes.Inc(1)
	n.log.Warn().Str("event", "backend_crashed").Str("instance_id", string(incarnation)).Int("in_flight", len(inFlight)).
		Strs("contents", contentTexts(inFlight)).Msg("backend server ended without notice while it ran requests")
	crash := quarantine.Crash{Instance: incarnation}
	if !b.lastReport.StartTime.IsZero() {
		crash.Incarnation = request.Incarnation(b.lastReport.StartTime.UnixMilli())
	}
	n.crashMu.Lock()
	quarantined := n.crashes.Observe(now, crash, inFlight)
	n.logQuarantined(now, quarantined)
	n.crashMu.Unlock()
	wake(n.crashObserved)
	n.storeCrashes(quarantined...)
}

// observePeerCrashes records the crashes of backend servers whose nodes ended with them.
func (n *Node) observePeerCrashes(view fleet.View) {
	now := n.now()
	n.crashMu.Lock()
	crashes := n.peerLosses.Check(now, func(peer netip.Addr) request.InstanceID {
		for i := range view.Instances {
			if in := &view.Instances[i]; in.Address == peer && in.IsFresh {
				return in.Instance
			}
		}
		return ""
	})
	var quarantined []request.Fingerprint
	for _, c := range crashes {
		incarnation, _ := c.Instance.SplitStart()
		n.metrics.crashes.Inc(1)
		n.log.Warn().Str("event", "peer_crashed").Str("instance_id", string(incarnation)).Strs("contents", contentTexts(c.InFlight)).
			Msg("backend server and its node ended while they ran requests of this node")
		quarantined = append(quarantined, n.crashes.ObservePart(now, quarantine.Crash{Instance: incarnation}, c.InFlight)...)
	}
	n.logQuarantined(now, quarantined)
	n.crashMu.Unlock()
	if len(crashes) > 0 {
		wake(n.crashObserved)
	}
	n.storeCrashes(quarantined...)
}

// contentTexts returns the first of the fingerprints for a log line.
func contentTexts(contents []request.Fingerprint) []string {
	texts := make([]string, 0, maxLoggedContents)
	for _, f := range contents[:min(len(contents), maxLoggedContents)] {
		texts = append(texts, f.String())
	}
	return texts
}

// wake makes the next receive from the channel succeed.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default: // it succeeds already
	}
}

// maxLoggedContents is the number of fingerprints in the log line of a crash.
const maxLoggedContents = 8

// logQuarantined logs the requests that have been put in quarantine. The caller holds n.crashMu.
func (n *Node) logQuarantined(now request.Instant, contents []request.Fingerprint) {
	for _, f := range contents {
		var crashed []string
		for _, r := range n.crashes.About(now, f) {
			crashed = append(crashed, string(r.Instance))
		}
		n.log.Warn().Str("event", "quarantined").Stringer("content", f).Strs("crashed", crashed).Dur("for", n.crashes.Remaining(now, f)).
			Msg("request is refused for a time, because it crashes backend servers")
	}
}

// mergeCrashes adds crashes that another node knows of.
func (n *Node) mergeCrashes(reports []quarantine.Report) {
	if len(reports) == 0 {
		return
	}
	now := n.now()
	n.crashMu.Lock()
	defer n.crashMu.Unlock()
	n.logQuarantined(now, n.crashes.Merge(now, reports))
}

// quarantineState returns the state of a request, and the rest of its quarantine if it is in one.
func (n *Node) quarantineState(content request.Fingerprint) (quarantine.State, time.Duration) {
	n.crashMu.Lock()
	defer n.crashMu.Unlock()
	now := n.now()
	state := n.crashes.State(now, content)
	if state != quarantine.Quarantined {
		return state, 0
	}
	return state, n.crashes.Remaining(now, content)
}

// isSuspect reports whether a request is suspected to crash backend servers.
func (n *Node) isSuspect(content request.Fingerprint) bool {
	state, _ := n.quarantineState(content)
	return state != quarantine.Clear
}

// crashesAbout returns the crashes that may be due to a request.
func (n *Node) crashesAbout(content request.Fingerprint) []quarantine.Report {
	n.crashMu.Lock()
	defer n.crashMu.Unlock()
	return n.crashes.About(n.now(), content)
}

// completeRequest records that the backend server sent a whole response to a request.
func (n *Node) completeRequest(content request.Fingerprint) {
	n.crashMu.Lock()
	isLifted := n.crashes.Complete(n.now(), content)
	n.crashMu.Unlock()
	if isLifted {
		n.storeCrashes(content)
		n.log.Info().Str("event", "quarantine_lifted").Stringer("content", content).Msg("request in quarantine has completed and is accepted again")
	}
}

const (
	// crashPartners and crashPartnerZones are the numbers of nodes of the zone, and of other zones with one node each, that are told of a
	// crash at once. The same request may come again at any of them, so they should know before the next tick.
	crashPartners     = 16
	crashPartnerZones = 16
)

// crashLoop tells other nodes of each crash of the local backend server as soon as it is observed.
func (n *Node) crashLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.crashObserved:
			n.tellCrashes(crashPartners, crashPartnerZones)
		}
	}
}

// maxUnstored bounds the requests whose crashes wait to be written to the store.
const maxUnstored = 64

// storeCrashes has the crashes of requests written to the store, for a restart of all nodes.
func (n *Node) storeCrashes(contents ...request.Fingerprint) {
	n.crashMu.Lock()
	for _, f := range contents {
		if len(n.unstored) < maxUnstored {
			n.unstored[f] = struct{}{}
		}
	}
	n.crashMu.Unlock()
	if len(contents) > 0 {
		wake(n.crashUnstored)
	}
}

// crashStoreLoop reads the requests in quarantine from the store, unless all nodes start for the first time, and writes those that
// are put in quarantine, or whose quarantine is lifted, on this node.
func (n *Node) crashStoreLoop(ctx context.Context) error {
	if !n.settings.IsFirstStart {
		n.readCrashes(ctx)
	}
	backoff := minBackoff
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.crashUnstored:
		}
		if err := n.writeCrashes(ctx); err != nil {
			n.log.Info().Str("event", "quarantine_not_kept").Err(err).Msg("cannot write the quarantine of requests to the store; retrying")
			n.backOff(ctx, &backoff)
			wake(n.crashUnstored)
			continue
		}
		backoff = minBackoff
	}
}

// readCrashes reads the crashes in the store, retrying until that succeeds.
func (n *Node) readCrashes(ctx context.Context) {
	for backoff := minBackoff; ctx.Err() == nil; {
		reports, err := n.store.Crashes(ctx)
		if err == nil {
			n.mergeCrashes(reports)
			for _, r := range reports {
				for _, q := range r.Requests {
					if len(n.crashesAbout(q.Fingerprint)) == 0 {
						n.storeCrashes(q.Fingerprint) // removes what has expired
					}
				}
			}
			return
		}
		n.log.Info().Str("event", "quarantine_unread").Err(err).Msg("cannot read the quarantine of requests from the store; retrying")
		n.backOff(ctx, &backoff)
	}
}

// writeCrashes writes the crashes of the requests in n.unstored, and learns what nodes wrote that this one cannot hear.
func (n *Node) writeCrashes(ctx context.Context) error {
	n.crashMu.Lock()
	contents := slices.Sorted(maps.Keys(n.unstored))
	n.crashMu.Unlock()
	for _, f := range contents {
		if err := n.writeCrashesAbout(ctx, f); err != nil {
			return err
		}
		n.crashMu.Lock()
		delete(n.unstored, f)
		n.crashMu.Unlock()
	}
	return nil
}

func (n *Node) writeCrashesAbout(ctx context.Context, f request.Fingerprint) error {
	crashes := n.crashesAbout(f)
	if len(crashes) == 0 {
		return n.store.RemoveCrashes(ctx, f)
	}
	stored, err := n.store.AddCrashes(ctx, f, crashes)
	n.mergeCrashes(stored)
	return err
}

// tellCrashes sends the next crash reports to nodes of the zone and of other zones, and updates the gauge of quarantined requests.
func (n *Node) tellCrashes(local, otherZones int) {
	now := n.now()
	n.fleetMu.Lock()
	partners := n.fleet.Partners(now, local, otherZones)
	n.fleetMu.Unlock()
	n.crashMu.Lock()
	n.metrics.quarantined.Update(int64(len(n.crashes.Quarantined(now))))
	var reports []quarantine.Report
	if len(partners) > 0 {
		reports = n.crashes.Next(now)
	}
	n.crashMu.Unlock()
	if len(reports) == 0 {
		return
	}
	for _, to := range partners {
		n.sendMessage(fleet.Message{To: to, Crashes: reports, ConfigurationVersion: n.configuration.Version()})
	}
}

// onlyMark marks a crash that is most likely due to the request.
const onlyMark = "!"

// encodeCrashes returns the value of the crashes header: the incarnation, the mark and the instance of each crash.
func encodeCrashes(reports []quarantine.Report) string {
	var fields []string
	for _, r := range reports {
		mark := ""
		if len(r.Requests) == 1 && r.Requests[0].IsOnly {
			mark = onlyMark
		}
		fields = append(fields, strconv.FormatUint(uint64(r.Incarnation), 16)+mark+"/"+string(r.Instance))
	}
	return strings.Join(fields, " ")
}

// decodeCrashes returns the crashes in the value of a crashes header; fields that are malformed are skipped.
func decodeCrashes(text string, content request.Fingerprint) []quarantine.Report {
	var out []quarantine.Report
	for field := range strings.FieldsSeq(text) {
		number, instance, ok := strings.Cut(field, "/")
		number, isOnly := strings.CutSuffix(number, onlyMark)
		incarnation, err := strconv.ParseUint(number, 16, 64)
		if !ok || err != nil || len(out) == quarantine.MaxCrashes {
			continue
		}
		out = append(out, quarantine.Report{
			Crash:    quarantine.Crash{Instance: request.InstanceID(instance), Incarnation: request.Incarnation(incarnation)},
			Requests: []quarantine.InFlight{{Fingerprint: content, IsOnly: isOnly}},
		})
	}
	return out
}
