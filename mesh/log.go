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

// describe adds the fields that all lines of one request have in common.
func (n *Node) describe(e *zerolog.Event, j *journey) *zerolog.Event {
	e = e.Str("request_id", j.id)
	if j.route == nil {
		return e
	}
	return e.Str("route", j.route.Name).Str("to", string(j.service)).Uint8("rank", uint8(j.rank)).Bool("call", j.isCall).
		Dur("elapsed", n.now().Sub(j.arrived)).Dur("left", j.deadline.Sub(n.now())).
		Int64("config_version", int64(n.configuration.Version()))
}

// logAnswer writes a line for a served request; these are the first that a full log leaves out.
func (n *Node) logAnswer(j *journey, t placement.Target, status int) {
	e := n.log.Debug()
	if status >= 500 || j.refusals+j.arrivals > 0 {
		e = n.log.Info()
	}
	if e == nil {
		return
	}
	n.describe(e.Str("event", "answered"), j).Int("status", status).Str("instance", t.Address.String()).
		Int("refusals", j.refusals).Int("arrivals", j.arrivals).Msg("the backend server answered")
}

func (n *Node) logAttempt(j *journey, t placement.Target, result, why string, began request.Instant) {
	n.describe(n.log.Info().Str("event", "attempt"), j).Str("result", result).Str("why", why).Str("instance", t.Address.String()).
		Str("instance_id", string(t.Instance)).Dur("took", n.now().Sub(began)).Msg("an attempt did not succeed")
}

func (n *Node) logEnd(j *journey, why string, status int, err error) {
	n.describe(n.log.Info().Str("event", "ended"), j).Str("why", why).Str("no_repeat", string(j.denied)).Int("status", status).AnErr("cause", err).
		Int("refusals", j.refusals).Int("arrivals", j.arrivals).Msg("the request ended without an answer")
}

func (n *Node) logRefusal(j *journey, why string, after time.Duration) {
	e := n.describe(n.log.Info().Str("event", "refused"), j).Str("why", why).Dur("retry_after", after).Bool("return", j.isReturn)
	if j.route != nil {
		n.planMu.Lock()
		share, age := n.planner.Share(j.route.ID), n.planner.Age(n.now())
		n.planMu.Unlock()
		e = e.Float64("fraction", round(share.Fraction)).Str("full_service", string(share.Full)).Dur("plan_age", age)
	}
	e.Int("refusals", j.refusals).Msg("the request has not run and was refused")
}

// logGate writes a line for an attempt that the gate or the backend server did not answer.
func (n *Node) logGate(a attempt, o outcome, took time.Duration) {
	e := n.log.Info().Str("event", "gate").Str("request_id", a.id).Uint8("rank", uint8(a.rank)).Bool("call", a.isCall).Dur("took", took)
	switch o := o.(type) {
	case notRun:
		e.Str("result", "not_run").Str("why", o.reason.String()).Dur("wait", o.wait).Bool("arrived", o.hasArrived).Msg("the attempt did not run")
	case broken:
		e.Str("result", "broken").AnErr("cause", o.err).Msg("the attempt may have run")
	default:
		e.Discard().Send()
	}
}

// logPlan writes what admission and placement are based on, and what the own gate did since the last line.
func (n *Node) logPlan(view fleetView, late time.Duration) {
	n.planMu.Lock()
	fractions, loads, uses, instances, slots := zerolog.Dict(), zerolog.Dict(), zerolog.Dict(), zerolog.Dict(), zerolog.Dict()
	n.planner.Describe(func(route routing.RouteID, fraction float64) {
		fractions.Float64(strconv.FormatUint(uint64(route), 16), round(fraction))
	}, func(z placement.ZoneState) {
		name := string(z.Service) + "/" + string(z.Zone)
		loads.Float64(name, round(z.Load))
		uses.Float64(name, round(z.Use))
		instances.Int(name, z.Instances)
		slots.Float64(name, round(z.Slots))
	})
	n.planMu.Unlock()
	n.log.Info().Str("event", "plan").Dict("fractions", fractions).Dict("loads", loads).Dict("uses", uses).
		Dict("instances", instances).Dict("slots", slots).
		Int("known", view.known).Int("fresh", view.fresh).Dur("oldest", view.oldest).Dur("late", late).
		Dict("gate", n.backend.describe(n.now())).
		Int64("config_version", int64(n.configuration.Version())).Msg("state of admission and placement")
}

// fleetView is how much of the fleet a node knows.
type fleetView struct {
	known, fresh int
	// oldest is the age of the oldest entry that decisions use.
	oldest time.Duration
}

func viewOf(instances []fleet.Instance) fleetView {
	v := fleetView{known: len(instances)}
	for _, i := range instances {
		if i.IsFresh {
			v.fresh++
			v.oldest = max(v.oldest, i.Age)
		}
	}
	return v
}

// gateWork sums up what a gate did since it was last described.
type gateWork struct {
	started, ended int
	waited, held   time.Duration
}

// describe returns the state of the gate and its work since the last call.
func (b *backend) describe(now request.Instant) *zerolog.Event {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.work
	b.work = gateWork{}
	return zerolog.Dict().Int("limit", b.gate.Limit(now)).Int("running", b.gate.Running()).Int("queued", b.gate.Queued()).
		Int("started", w.started).Int("ended", w.ended).
		Dur("wait", w.waited/time.Duration(max(1, w.started))).Dur("held", w.held/time.Duration(max(1, w.ended)))
}

// round shortens a number for a log line.
func round(v float64) float64 { return math.Round(1000*v) / 1000 }
