package mesh

import (
	"math"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"github.com/sapphiretack/sapphiretack/fleet"
	"github.com/sapphiretack/sapphiretack/placement"
	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/routing"
)

// addRequestFields adds the fields common to all log lines of a request.
func (n *Node) addRequestFields(e *zerolog.Event, req *outboundRequest) *zerolog.Event {
	e = e.Str("request_id", req.id)
	if req.route == nil {
		return e
	}
	return e.Str("route", req.route.Name).Str("to", string(req.service)).Uint8("rank", uint8(req.rank)).Bool("call", req.isCall).
		Dur("elapsed", n.now().Sub(req.arrived)).Dur("left", req.deadline.Sub(n.now())).Dur("given", req.timeout).
		Bool("repeat", req.isRetry).Int("max_attempts", req.route.MaxAttempts).
		Int64("config_version", int64(n.configuration.Version()))
}

// addContent adds the fingerprint of a request, unless its body has not been read.
func addContent(e *zerolog.Event, content request.Fingerprint) *zerolog.Event {
	if content == 0 {
		return e
	}
	return e.Stringer("content", content)
}

// logResponse logs a response to a request. A success at the first attempt has debug level, which a full log drops first.
func (n *Node) logResponse(req *outboundRequest, t placement.Target, status int) {
	e := n.log.Debug()
	if status >= 500 || req.refusals+req.backendAttempts > 0 {
		e = n.log.Info()
	}
	if e == nil {
		return
	}
	n.addRequestFields(e.Str("event", "answered"), req).Int("status", status).Str("instance", t.Address.String()).
		Int("refusals", req.refusals).Int("arrivals", req.backendAttempts).Msg("backend server responded")
}

// logAttempt logs an attempt that did not succeed.
func (n *Node) logAttempt(req *outboundRequest, t placement.Target, result, reason string, began request.Instant) {
	incarnation, _ := t.Instance.SplitStart()
	n.addRequestFields(n.log.Info().Str("event", "attempt"), req).Str("result", result).Str("why", reason).Str("instance", t.Address.String()).
		Str("instance_id", string(incarnation)).Stringer("content", req.content).Dur("took", n.now().Sub(began)).Msg("attempt failed")
}

// logEnd logs a request whose body could not be read, whose last attempt failed, or whose response could not be written to
// the client.
func (n *Node) logEnd(req *outboundRequest, reason string, status int, err error) {
	addContent(n.addRequestFields(n.log.Info().Str("event", "ended"), req), req.content).Str("why", reason).Str("no_repeat", string(req.denial)).Int("status", status).AnErr("cause", err).
		Int("refusals", req.refusals).Int("arrivals", req.backendAttempts).Msg("request failed")
}

// logRefusal logs a request that was refused before it ran, with the admission state of its route.
func (n *Node) logRefusal(req *outboundRequest, reason string, after time.Duration) {
	e := addContent(n.addRequestFields(n.log.Info().Str("event", "refused"), req), req.content).Str("why", reason).Dur("retry_after", after).Bool("return", req.isClientResend)
	if req.route != nil {
		n.plannerMu.Lock()
		share, age := n.planner.Share(req.route.ID), n.planner.Age(n.now())
		n.plannerMu.Unlock()
		e = e.Float64("fraction", roundThousandths(share.Fraction)).Str("full_service", string(share.FullService)).Dur("plan_age", age)
	}
	e.Int("refusals", req.refusals).Msg("request refused before it ran")
}

// logGate logs an attempt at the local gate that did not end with a response from the backend server.
func (n *Node) logGate(a attempt, o outcome, took time.Duration) {
	e := n.log.Info().Str("event", "gate").Str("request_id", a.id).Stringer("content", a.content).Uint8("rank", uint8(a.rank)).Bool("call", a.isCall).
		Bool("repeat", a.isRetry).Dur("took", took).Dur("left", a.deadline.Sub(n.now()))
	switch o := o.(type) {
	case notRun:
		e.Str("result", "not_run").Str("why", o.reason.String()).Dur("wait", o.wait).Bool("arrived", o.isBackendRefusal).Msg("attempt did not run")
	case broken:
		e.Str("result", "broken").AnErr("cause", o.err).Bool("crashed", o.isCrash).Msg("attempt failed and may have run")
	default:
		e.Discard().Send()
	}
}

// logPlan logs the inputs of admission and placement, and the activity of the local gate since the last such line.
func (n *Node) logPlan(view fleetView, late time.Duration) {
	n.plannerMu.Lock()
	fractions, loads, uses, instances, slots := zerolog.Dict(), zerolog.Dict(), zerolog.Dict(), zerolog.Dict(), zerolog.Dict()
	n.planner.Describe(func(route routing.RouteID, fraction float64) {
		fractions.Float64(strconv.FormatUint(uint64(route), 16), roundThousandths(fraction))
	}, func(z placement.ZoneState) {
		name := string(z.Service) + "/" + string(z.Zone)
		loads.Float64(name, roundThousandths(z.Load))
		uses.Float64(name, roundThousandths(z.Utilization))
		instances.Int(name, z.Instances)
		slots.Float64(name, roundThousandths(z.Slots))
	})
	n.plannerMu.Unlock()
	n.log.Info().Str("event", "plan").Dict("fractions", fractions).Dict("loads", loads).Dict("uses", uses).
		Dict("instances", instances).Dict("slots", slots).
		Int("known", view.known).Int("fresh", view.fresh).Dur("oldest", view.oldest).Dur("oldest_summary", view.oldestSummary).Dur("late", late).
		Dict("gate", n.backend.gateFields(n.now())).
		Int64("config_version", int64(n.configuration.Version())).Msg("admission and placement state")
}

// fleetView summarizes how much of the fleet a node knows.
type fleetView struct {
	// known is the number of nodes with an entry or in a summary; fresh does not count those whose entry is stale.
	known, fresh int
	// oldest is the age of the oldest fresh entry, and oldestSummary that of the oldest summary.
	oldest, oldestSummary time.Duration
}

func newFleetView(view fleet.View) fleetView {
	v := fleetView{fresh: view.LiveNodes()}
	v.known = v.fresh
	for _, i := range view.Instances {
		switch {
		case i.IsSummarized:
		case i.IsFresh:
			v.oldest = max(v.oldest, i.Age)
		default:
			v.known++
		}
	}
	for i := range view.Summaries {
		v.oldestSummary = max(v.oldestSummary, view.Summaries[i].Age)
	}
	return v
}

// gateActivity counts the activity of the gate between two log lines.
type gateActivity struct {
	started, ended int
	waited, held   time.Duration
}

// gateFields returns the log fields of the gate and resets its activity counters.
func (b *backend) gateFields(now request.Instant) *zerolog.Event {
	b.mu.Lock()
	defer b.mu.Unlock()
	activity := b.activity
	b.activity = gateActivity{}
	e := zerolog.Dict()
	if limit, isSet := b.gate.RateLimit(); isSet {
		e = e.Float64("server_limit", limit)
	}
	return e.Int("limit", b.gate.Limit(now)).Int("running", b.gate.Running()).Int("queued", b.gate.Queued()).
		Int("started", activity.started).Int("ended", activity.ended).
		Dur("wait", activity.waited/time.Duration(max(1, activity.started))).Dur("held", activity.held/time.Duration(max(1, activity.ended)))
}

// roundThousandths rounds a number to three decimals for logging.
func roundThousandths(v float64) float64 { return math.Round(1000*v) / 1000 }
