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

// The documents of the one customer; the change sets another rate.
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

// inForceLimit is the time after which an accepted change must be in force at each node that can be reached (P8).
const inForceLimit = 9 * time.Second

// publish writes the first configuration before the fleet starts.
func (w *World) publish() {
	store := configuration.New(w.provider.fake)
	for _, c := range []configuration.Change{
		{ID: "first-template", Kind: configuration.Template, Name: templateName, Document: []byte(templateDocument)},
		{ID: "first-customer", Kind: configuration.Customer, Name: customerName, Document: fmt.Appendf(nil, customerDocument, 100)},
	} {
		if _, err := store.Commit(context.Background(), c); err != nil {
			panic(err) // the documents are constant
		}
	}
}

// pollEvent hands an event to the node's poller and carries out what follows.
func (n *node) pollEvent(e configuration.PollEvent) {
	if n.world.options.Weakened == ConfigurationHolds && n.poller.Ready() {
		return
	}
	for _, a := range n.poller.Handle(n.world.now, e, nil) {
		n.pollAction(a)
	}
}

func (n *node) pollAction(a configuration.PollAction) {
	w := n.world
	switch a := a.(type) {
	case configuration.PollPlatform:
		var update configuration.Update
		var err error
		n.askPlatform(func(ctx context.Context) {
			update, err = configuration.New(w.provider.fake).Since(ctx, n.replica.Version())
		}, func() {
			if err == nil {
				err = n.apply(update)
			}
			n.pollFailed = err != nil
			n.pollEvent(configuration.Polled{Version: n.replica.Version(), Err: err})
		})
	case configuration.FetchPeer:
		n.fetch(a.Instance)
	case configuration.Announce:
		w.changeReached(Spread, n)
		n.memberEvent(member.ConfigurationApplied{Version: uint64(a.Version)})
	case configuration.Ready:
		n.ready = true
		if a.Version < n.mustHold && !w.isIsolated(n) {
			w.record.violate(ConfigurationHolds, "%s serves version %d after a restart, its former process served %d", n.id, a.Version, n.mustHold)
		}
	case configuration.SetPollTimer:
		n.pollTimer++
		timer := n.pollTimer
		n.after(a.At.Sub(w.now), func() {
			if timer == n.pollTimer {
				n.pollEvent(configuration.PollTick{})
			}
		})
	}
}

// isIsolated reports whether a starting node did not reach the platform with its last poll, and no running node of its zone holds what its former
// process held. Then the design permits that it serves the version of its zone until it is told of a later one (4.8 and 4.14).
func (w *World) isIsolated(n *node) bool {
	if !n.pollFailed {
		return false
	}
	for _, peer := range w.nodes {
		if peer != n && peer.zone == n.zone && !peer.dead && !peer.frozen && peer.replica.Version() >= n.mustHold {
			return false
		}
	}
	w.isolatedStarts++
	return true
}

// fetchTimeout is the time after which a fetch from a peer has failed.
const fetchTimeout = 500 * time.Millisecond

func (n *node) fetch(id request.InstanceID) {
	w, peer := n.world, n.world.current(id)
	finished := false
	finish := func(err error) {
		if !finished {
			finished = true
			n.pollEvent(configuration.Fetched{Instance: id, Version: n.replica.Version(), Err: err})
		}
	}
	n.after(fetchTimeout, func() { finish(errors.New("no response from the peer")) })
	since := n.replica.Version()
	w.deliver(n, peer, func() {
		update := peer.replica.Since(since)
		w.deliver(peer, n, func() { finish(n.apply(update)) })
	})
}

func (n *node) apply(u configuration.Update) error {
	before := n.replica.Version()
	if u.Version > before {
		n.world.changeReached(Apply, n)
	}
	err := n.replica.Apply(u.Version, u.Objects, u.Snapshot)
	if n.replica.Version() < before {
		n.world.record.violate(ConfigurationHolds, "%s goes back from version %d to %d", n.id, before, n.replica.Version())
	}
	return err
}

// operator sends one change of the customer until it knows what became of it.
type operator struct {
	world    *World
	change   configuration.Change
	node     *node
	tries    int
	done     bool
	accepted configuration.Version
	conflict bool
	err      error
}

const (
	operatorTries = 12
	operatorWait  = 400 * time.Millisecond
)

// startOperator begins a change of the customer from its first revision to another rate.
func (w *World) startOperator(id configuration.ChangeID, rate, node int) {
	o := &operator{world: w, node: w.nodes[node], change: configuration.Change{
		ID:       id,
		Kind:     configuration.Customer,
		Name:     customerName,
		Revision: 1,
		Document: fmt.Appendf(nil, customerDocument, rate),
	}}
	w.operators = append(w.operators, o)
	w.after(callerDelay, o.send)
}

// send passes the change to a node, or to the next one if that has ended.
func (o *operator) send() {
	w := o.world
	if o.done || o.tries >= operatorTries {
		return
	}
	o.tries++
	if o.node.dead {
		o.node = w.nodes[w.random.IntN(len(w.nodes))]
	}
	n := o.node
	w.after(2*operatorWait, o.sendAgain(o.tries))
	n.receive(func() {
		w.changeReached(Validate, n)
		n.receive(func() { o.commit(n) })
	})
}

// sendAgain returns a function that sends the change again if the send with this number got no answer.
func (o *operator) sendAgain(try int) func() {
	return func() {
		if o.tries == try && !o.done {
			o.node = o.world.nodes[(try*4)%len(o.world.nodes)]
			o.send()
		}
	}
}

func (o *operator) commit(n *node) {
	w := o.world
	var object configuration.Object
	var err error
	n.askPlatform(func(ctx context.Context) {
		w.changeReached(Commit, n)
		object, err = configuration.New(w.provider.fake).Commit(ctx, o.change)
	}, func() {
		n.pollEvent(configuration.Committed{})
		w.changeReached(AnswerToOperator, n)
		n.receive(func() { w.after(callerDelay, func() { o.answered(object, err) }) })
	})
}

// answered ends the change, or sends it again under the same identifier if the platform could not be reached or lost its response.
func (o *operator) answered(object configuration.Object, err error) {
	w := o.world
	if o.done {
		return
	}
	var conflict *configuration.Conflict
	switch {
	case err == nil:
		o.done, o.accepted = true, object.Version
		w.after(inForceLimit, func() { w.record.checkInForce(object.Version) })
	case errors.As(err, &conflict):
		o.done, o.conflict = true, true
	default:
		o.err = err
		w.after(operatorWait, o.sendAgain(o.tries))
	}
}

// checkInForce checks that each running node holds at least a version.
func (r *record) checkInForce(v configuration.Version) {
	for _, n := range r.world.nodes {
		if !n.dead && !n.frozen && n.replica.Version() < v {
			r.violate(ConfigurationHolds, "%s holds version %d, version %d was accepted %v ago", n.id, n.replica.Version(), v, inForceLimit)
		}
	}
}

// checkOperators checks that of all operators that changed one revision at most one was told that its change was accepted.
func (r *record) checkOperators() {
	var accepted []configuration.ChangeID
	for _, o := range r.world.operators {
		if o.accepted > 0 {
			accepted = append(accepted, o.change.ID)
		}
	}
	if len(accepted) > 1 {
		r.violate(ConfigurationHolds, "the changes %v of one revision were all accepted", accepted)
	}
}
