package node

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"runtime"
	"syscall"
	"time"

	"github.com/sapphiretack/sapphiretack/configuration"
	"github.com/sapphiretack/sapphiretack/member"
	"github.com/sapphiretack/sapphiretack/metric"
	"github.com/sapphiretack/sapphiretack/operator"
	"github.com/sapphiretack/sapphiretack/quarantine"
	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/template"
)

func (n *Node) operatorHandler() http.Handler {
	return operator.New(operator.Dependencies{
		Configuration: operatorStore{node: n},
		Inspector:     n,
		LevelSetter:   n,
		Metrics:       metric.Handler(n.metrics.registry),
	})
}

// operatorStore reads and commits configuration objects for operators.
type operatorStore struct {
	node *Node
}

// Commit implements operator.ConfigurationStore.
func (s operatorStore) Commit(ctx context.Context, c operator.Change) (operator.Object, error) {
	kind, err := configurationKind(c.Kind)
	if err != nil {
		return operator.Object{}, err
	}
	var object configuration.Object
	err = s.node.withPlatformTimeout(ctx, func(ctx context.Context) error {
		var err error
		object, err = s.node.store.Commit(ctx, configuration.Change{
			ID:        configuration.ChangeID(c.ID),
			Kind:      kind,
			Name:      c.Name,
			Revision:  configuration.Revision(c.Revision),
			Document:  c.Document,
			Withdrawn: c.Withdrawn,
		})
		return err
	})
	if err != nil {
		return operator.Object{}, operatorError(err)
	}
	s.node.poller.handle(configuration.Committed{})
	s.node.log.Info().Str("kind", string(c.Kind)).Str("name", c.Name).Uint64("version", uint64(object.Version)).Msg("change committed")
	return operatorObject(object), nil
}

// Show implements operator.ConfigurationStore.
func (s operatorStore) Show(ctx context.Context, k operator.Kind, name string) (operator.Object, error) {
	kind, err := configurationKind(k)
	if err != nil {
		return operator.Object{}, err
	}
	var object configuration.Object
	err = s.node.withPlatformTimeout(ctx, func(ctx context.Context) error {
		var err error
		object, err = s.node.store.Show(ctx, kind, name)
		return err
	})
	if err != nil {
		return operator.Object{}, operatorError(err)
	}
	return operatorObject(object), nil
}

func configurationKind(k operator.Kind) (configuration.Kind, error) {
	switch k {
	case operator.KindTemplate:
		return configuration.Template, nil
	case operator.KindCustomer:
		return configuration.Customer, nil
	}
	return 0, &operator.Error{Kind: operator.Malformed, Message: fmt.Sprintf("kind %q is unknown", k), Remedy: "use templates or customers"}
}

func operatorObject(o configuration.Object) operator.Object {
	kind := operator.KindTemplate
	if o.Kind == configuration.Customer {
		kind = operator.KindCustomer
	}
	return operator.Object{
		Kind: kind, Name: o.Name, Revision: uint64(o.Revision), Version: uint64(o.Version),
		Withdrawn: o.Withdrawn, Document: o.Document,
	}
}

// operatorError converts an error of the configuration store to one that states whether the change was committed.
func operatorError(err error) error {
	var conflict *configuration.ConflictError
	var invalid *template.ValidationError
	switch {
	case errors.As(err, &conflict):
		current := operatorObject(conflict.Current)
		return &operator.Error{Kind: operator.Conflict, Message: err.Error(), Remedy: "read the present object and change that", Current: &current}
	case errors.As(err, &invalid):
		return &operator.Error{Kind: operator.Invalid, Message: err.Error(), Remedy: "correct the fields that are named"}
	case configuration.NotFound.Has(err):
		return &operator.Error{Kind: operator.NotFound, Message: err.Error(), Remedy: "check the name"}
	case configuration.Unavailable.Has(err):
		return &operator.Error{Kind: operator.Unavailable, Message: err.Error(), Remedy: "try again when the platform works; nothing was changed"}
	}
	return &operator.Error{Kind: operator.Indeterminate, Message: err.Error(), Remedy: "send the same change again with the same identifier"}
}

// Ready implements operator.Inspector.
func (n *Node) Ready() error {
	switch _, up := n.destination.health.state(); {
	case n.leaving():
		return &operator.Error{Kind: operator.NotReady, Message: "the instance is leaving", Remedy: "use another instance"}
	case !n.hasConfiguration.Load():
		return &operator.Error{Kind: operator.NotReady, Message: "the configuration is not known yet", Remedy: "wait until the platform or a peer can be reached"}
	case !up:
		return &operator.Error{Kind: operator.NotReady, Message: "the backend server accepts no connections", Remedy: "start the backend server"}
	}
	return nil
}

// Status implements operator.Inspector.
func (n *Node) Status() operator.Status {
	n.destination.mu.Lock()
	l := n.destination.controller.Load()
	n.destination.mu.Unlock()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	var s operator.Status
	for _, m := range n.membership.members() {
		status := memberStatus(m)
		if m.Instance == n.settings.Instance.Name {
			status.ConfigurationVersion = uint64(n.replica.Version())
			s.Self.MemberStatus = status
		}
		s.Members = append(s.Members, status)
	}
	s.Self.Ready = n.Ready() == nil
	s.Self.Level = l.Level
	s.Self.InFlight, s.Self.Queued, s.Self.Limit = l.InFlight, l.Queued, l.Limit
	s.Self.CPUShare = n.cpuShare()
	s.Self.MemoryBytes = memory.Sys
	s.Self.ControlBytes = n.peers.controlBytes()
	s.Self.Streams = int(n.openRequests.Load())
	return s
}

func memberStatus(m member.Member) operator.MemberStatus {
	return operator.MemberStatus{
		Instance: m.Instance, Service: m.Service, Zone: m.Zone, Region: m.Region, Address: m.Address,
		Incarnation: m.Incarnation, State: m.State.String(),
		ConfigurationVersion: m.ConfigurationVersion, Slots: int(m.Slots),
	}
}

// cpuShare returns the CPU time of the process as a fraction of one core since its start.
func (n *Node) cpuShare() float64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	used := time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	return used.Seconds() / max(time.Since(n.clock.start).Seconds(), 1)
}

// Explain implements operator.Inspector.
func (n *Node) Explain(q operator.ExplainQuery) (operator.Explanation, error) {
	e := operator.Explanation{
		Service: q.Service, Customer: q.Customer, Operation: q.Operation,
		PriorityLast: request.PriorityCount - 1, Verdict: operator.VerdictAdmitted,
	}
	if q.Customer != "" && q.Operation != "" {
		p, reason := n.policy(q.Customer, q.Service, q.Operation)
		if reason != request.NoReason {
			e.Verdict, e.Reason, e.Remedy = operator.VerdictRefused, reason.String(), reason.Remedy()
			return e, nil
		}
		e.Class = p.Class.String()
		e.PriorityFirst = request.Priority(p.Class) * request.PrioritiesPerClass
		e.PriorityLast = e.PriorityFirst + request.PrioritiesPerClass - 1
	}
	n.explainLevel(&e)
	n.explainQuarantine(q, &e)
	return e, nil
}

func (n *Node) explainLevel(e *operator.Explanation) {
	e.Level = request.PriorityCount
	if e.Service == n.settings.Instance.Service {
		n.destination.mu.Lock()
		l := n.destination.controller.Load()
		n.destination.mu.Unlock()
		e.Level = l.Level
		e.Instances = append(e.Instances, operator.InstanceLoad{
			Instance: n.settings.Instance.Name, Level: l.Level, InFlight: l.InFlight, Queued: l.Queued,
		})
	}
	limiting := e.Service
	if path := n.routes.level(n.clock.now(), e.Service, e.Operation); path.level < e.Level {
		e.Level, limiting = path.level, path.service
	}
	switch {
	case e.Level <= e.PriorityFirst:
		e.Verdict, e.Reason, e.Remedy = operator.VerdictRefused, request.Overloaded.String(), "add capacity, or lower the load of more important classes"
	case e.Level <= e.PriorityLast:
		e.Verdict, e.Reason, e.Remedy = operator.VerdictPartlyRefused, request.Overloaded.String(), "add capacity, or lower the load of more important classes"
	}
	if e.Verdict != operator.VerdictAdmitted {
		e.LimitingService = limiting
	}
}

func (n *Node) explainQuarantine(q operator.ExplainQuery, e *operator.Explanation) {
	n.quarantines.mu.Lock()
	records := n.quarantines.table.Records(n.clock.now())
	n.quarantines.mu.Unlock()
	for _, r := range records {
		if r.Service != q.Service || q.Fingerprint != 0 && r.Fingerprint != q.Fingerprint || r.State() == quarantine.Clear {
			continue
		}
		e.Quarantine = append(e.Quarantine, operator.QuarantineRecord{
			Fingerprint: r.Fingerprint.String(),
			Crashes:     r.Count,
			State:       r.State().String(),
			RemainingMs: r.StateRemaining().Milliseconds(),
		})
		if q.Fingerprint != 0 && r.State() == quarantine.Quarantined {
			e.Verdict, e.Reason, e.Remedy = operator.VerdictRefused, request.Quarantined.String(), request.Quarantined.Remedy()
		}
	}
}
