package faultmatrix

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/sapphiretack/sapphiretack/configuration"
	"github.com/sapphiretack/sapphiretack/member"
	"github.com/sapphiretack/sapphiretack/request"
)

// The documents of the only customer. The configuration change sets another rate.
const (
	customerName     = "club"
	templateName     = "fanciers"
	templateDocument = `{"operations": [
		{"service": "racedesk", "operation": "record-arrival", "class": "essential", "idempotent": false, "timeout_ms": 1000, "extra_attempts": 3},
		{"service": "racedesk", "operation": "record-arrival-by-key", "class": "essential", "idempotent": false, "timeout_ms": 1000, "extra_attempts": 3},
		{"service": "racedesk", "operation": "look-up", "class": "standard", "idempotent": true, "timeout_ms": 1000, "extra_attempts": 3},
		{"service": "racedesk", "operation": "fetch-archive", "class": "bulk", "idempotent": true, "timeout_ms": 1000, "extra_attempts": 3}],
		"parameters": [{"name": "rate_per_second", "default": 50, "min": 1, "max": 500}]}`
	customerDocument = `{"template": "fanciers", "parameters": {"rate_per_second": %d}}`
)

// maxApplyDelay is the time within which an accepted change must be in force at each reachable node
// (P8).
const maxApplyDelay = 9 * time.Second

// publish writes the first configuration before the fleet starts.
func (sim *Simulation) publish() {
	store := configuration.New(sim.platform.store)
	for _, c := range []configuration.Change{
		{ID: "first-template", Kind: configuration.Template, Name: templateName, Document: []byte(templateDocument)},
		{ID: "first-customer", Kind: configuration.Customer, Name: customerName, Document: fmt.Appendf(nil, customerDocument, 100)},
	} {
		if _, err := store.Commit(context.Background(), c); err != nil {
			panic(err) // the documents are constant
		}
	}
}

// pollEvent passes an event to the poller of the node and carries out the resulting actions.
func (n *node) pollEvent(e configuration.PollEvent) {
	if n.sim.options.Weakened == ConfigurationInForce && n.poller.Ready() {
		return
	}
	for _, a := range n.poller.Handle(n.sim.now, e, nil) {
		n.pollAction(a)
	}
}

func (n *node) pollAction(a configuration.PollAction) {
	sim := n.sim
	switch a := a.(type) {
	case configuration.PollPlatform:
		var update configuration.Update
		var err error
		n.callPlatform(func(ctx context.Context) {
			update, err = configuration.New(sim.platform.store).Since(ctx, n.replica.Version())
		}, func() {
			if err == nil {
				err = n.applyUpdate(update)
			}
			n.lastPollFailed = err != nil
			n.pollEvent(configuration.Polled{Version: n.replica.Version(), Err: err})
		})
	case configuration.FetchPeer:
		n.fetchFromPeer(a.Instance)
	case configuration.Announce:
		sim.reachChangeStep(Spread, n)
		n.memberEvent(member.ConfigurationApplied{Version: uint64(a.Version)})
	case configuration.Ready:
		n.ready = true
		if a.Version < n.minVersion && !sim.isIsolated(n) {
			sim.checker.addViolation(ConfigurationInForce, "%s serves version %d after a restart, its former process served version %d", n.id, a.Version, n.minVersion)
		}
	case configuration.SetPollTimer:
		n.pollTimerSeq++
		timer := n.pollTimerSeq
		n.after(a.At.Sub(sim.now), func() {
			if timer == n.pollTimerSeq {
				n.pollEvent(configuration.PollTick{})
			}
		})
	}
}

// isIsolated reports whether the last poll of a starting node did not reach the platform and no
// running node of its zone has the version of its former process. The design then permits that it
// serves the version of its zone until it hears of a later one (4.8 and 4.14).
func (sim *Simulation) isIsolated(n *node) bool {
	if !n.lastPollFailed {
		return false
	}
	for _, peer := range sim.nodes {
		if peer != n && peer.zone == n.zone && !peer.dead && !peer.frozen && peer.replica.Version() >= n.minVersion {
			return false
		}
	}
	sim.isolatedStarts++
	return true
}

// fetchTimeout is the time after which a fetch from a peer has failed.
const fetchTimeout = 500 * time.Millisecond

func (n *node) fetchFromPeer(id request.InstanceID) {
	sim, peer := n.sim, n.sim.current(id)
	finished := false
	finish := func(err error) {
		if !finished {
			finished = true
			n.pollEvent(configuration.Fetched{Instance: id, Version: n.replica.Version(), Err: err})
		}
	}
	n.after(fetchTimeout, func() { finish(errors.New("no response from the peer")) })
	since := n.replica.Version()
	sim.deliver(n, peer, func() {
		update := peer.replica.Since(since)
		sim.deliver(peer, n, func() { finish(n.applyUpdate(update)) })
	})
}

func (n *node) applyUpdate(u configuration.Update) error {
	before := n.replica.Version()
	if u.Version > before {
		n.sim.reachChangeStep(Apply, n)
	}
	err := n.replica.Apply(u.Version, u.Objects, u.Snapshot)
	if n.replica.Version() < before {
		n.sim.checker.addViolation(ConfigurationInForce, "the configuration of %s goes back from version %d to version %d", n.id, before, n.replica.Version())
	}
	return err
}

// operator sends one change of the customer until it knows the outcome.
type operator struct {
	sim      *Simulation
	change   configuration.Change
	node     *node
	sends    int
	done     bool
	accepted configuration.Version
	conflict bool
	err      error
}

const (
	maxOperatorSends    = 12
	operatorResendDelay = 400 * time.Millisecond
)

// startOperator sends a change of the customer from its first revision to another rate.
func (sim *Simulation) startOperator(id configuration.ChangeID, rate, node int) {
	o := &operator{sim: sim, node: sim.nodes[node], change: configuration.Change{
		ID:       id,
		Kind:     configuration.Customer,
		Name:     customerName,
		Revision: 1,
		Document: fmt.Appendf(nil, customerDocument, rate),
	}}
	sim.operators = append(sim.operators, o)
	sim.after(callerDelay, o.send)
}

// send sends the change to a node, or to another one if that has ended.
func (o *operator) send() {
	sim := o.sim
	if o.done || o.sends >= maxOperatorSends {
		return
	}
	o.sends++
	if o.node.dead {
		o.node = sim.nodes[sim.random.IntN(len(sim.nodes))]
	}
	n := o.node
	sim.after(2*operatorResendDelay, o.resend(o.sends))
	n.receive(func() {
		sim.reachChangeStep(Validate, n)
		n.receive(func() { o.commit(n) })
	})
}

// resend returns a function that resends the change to another node, unless its outcome is known or it
// was resent since the send with this number.
func (o *operator) resend(send int) func() {
	return func() {
		if o.sends == send && !o.done {
			o.node = o.sim.nodes[(send*4)%len(o.sim.nodes)]
			o.send()
		}
	}
}

func (o *operator) commit(n *node) {
	sim := o.sim
	var object configuration.Object
	var err error
	n.callPlatform(func(ctx context.Context) {
		sim.reachChangeStep(Commit, n)
		object, err = configuration.New(sim.platform.store).Commit(ctx, o.change)
	}, func() {
		n.pollEvent(configuration.Committed{})
		sim.reachChangeStep(ResponseToOperator, n)
		n.receive(func() { sim.after(callerDelay, func() { o.handleResponse(object, err) }) })
	})
}

// handleResponse ends the change, or resends it under the same id if the platform was unreachable or
// its response was lost.
func (o *operator) handleResponse(object configuration.Object, err error) {
	sim := o.sim
	if o.done {
		return
	}
	var conflict *configuration.ConflictError
	switch {
	case err == nil:
		o.done, o.accepted = true, object.Version
		sim.after(maxApplyDelay, func() { sim.checker.checkApplied(object.Version) })
	case errors.As(err, &conflict):
		o.done, o.conflict = true, true
	default:
		o.err = err
		sim.after(operatorResendDelay, o.resend(o.sends))
	}
}

// checkApplied checks that each running node has at least version v.
func (c *checker) checkApplied(v configuration.Version) {
	for _, n := range c.sim.nodes {
		if !n.dead && !n.frozen && n.replica.Version() < v {
			c.addViolation(ConfigurationInForce, "%s has version %d, but version %d was accepted %v ago", n.id, n.replica.Version(), v, maxApplyDelay)
		}
	}
}

// checkOperators checks that at most one of the changes to one revision was reported as accepted.
func (c *checker) checkOperators() {
	var accepted []configuration.ChangeID
	for _, o := range c.sim.operators {
		if o.accepted > 0 {
			accepted = append(accepted, o.change.ID)
		}
	}
	if len(accepted) > 1 {
		c.addViolation(ConfigurationInForce, "the changes %v to one revision were all accepted", accepted)
	}
}
