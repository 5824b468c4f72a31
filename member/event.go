package member

import (
	"time"

	"github.com/sapphiretack/sapphiretack/quarantine"
	"github.com/sapphiretack/sapphiretack/request"
)

// Event is an input of the state machine; it is one of the event types below.
type Event interface{ isEvent() }

// MessageKind is the type of a received message.
type MessageKind uint8

// The message kinds.
const (
	GossipRequest MessageKind = iota
	GossipResponse
	Notice
)

// ExchangeID identifies an incoming gossip request that awaits its response; the driver assigns it, and zero means none.
type ExchangeID uint64

// SeqNo identifies a probe or a notice that this node sent.
type SeqNo uint64

// The event types.
type (
	// Tick is passed every Settings.TickInterval.
	Tick struct{}

	// Bootstrap carries the rows that instances wrote to the platform's table, or seeds from the settings. A row without
	// an instance is the address of a seed to contact. The node uses any other row immediately, but gossips it only after
	// another node has confirmed it, and drops it after Settings.ProvisionalTTL otherwise, because the table keeps the rows
	// of instances that no longer exist.
	Bootstrap struct{ Rows []Member }

	// Received carries a message from another node. A GossipRequest has an ExchangeID and gets exactly one Reply.
	Received struct {
		Kind     MessageKind
		Message  Message
		Exchange ExchangeID
	}

	// ProbeAnswered carries the response to a Probe or an IndirectProbe.
	ProbeAnswered struct {
		SeqNo    SeqNo
		Exchange ExchangeID
		Message  Message
	}

	// ProbeFailed reports that a Probe or an IndirectProbe failed or timed out.
	ProbeFailed struct {
		SeqNo    SeqNo
		Exchange ExchangeID
	}

	// NoticeAnswered reports that the receiver acknowledged a notice.
	NoticeAnswered struct{ SeqNo SeqNo }

	// Leave makes this instance announce that it is leaving. Sources are the instances that sent it calls recently; they
	// get a notice.
	Leave struct{ Sources []request.InstanceID }

	// CrashObserved carries the record of a crash that this node observed; the instances of the service get a notice.
	CrashObserved struct{ Record quarantine.Record }

	// CrashesMerged carries the records that changed in the quarantine table, by a MergeCrashes action or by a loss that this
	// node observed; the node gossips them.
	CrashesMerged struct{ Records []quarantine.Record }

	// ConfigurationApplied reports that this node has applied a configuration version.
	ConfigurationApplied struct{ Version uint64 }
)

func (Tick) isEvent()                 {}
func (Bootstrap) isEvent()            {}
func (Received) isEvent()             {}
func (ProbeAnswered) isEvent()        {}
func (ProbeFailed) isEvent()          {}
func (NoticeAnswered) isEvent()       {}
func (Leave) isEvent()                {}
func (CrashObserved) isEvent()        {}
func (CrashesMerged) isEvent()        {}
func (ConfigurationApplied) isEvent() {}

// Action is an output of the state machine for the driver to execute; it is one of the action types below.
type Action interface{ isAction() }

// The action types.
type (
	// Probe sends a gossip request to a member and expects ProbeAnswered or ProbeFailed with the same SeqNo and Exchange.
	Probe struct {
		SeqNo    SeqNo
		Exchange ExchangeID
		Instance request.InstanceID
		Address  string
		Timeout  time.Duration
		Message  Message
	}

	// IndirectProbe sends a gossip request to an intermediary, which probes Target on behalf of this node, and
	// expects ProbeAnswered or ProbeFailed with the same SeqNo.
	IndirectProbe struct {
		SeqNo        SeqNo
		Target       request.InstanceID
		Intermediary request.InstanceID
		Address      string
		Timeout      time.Duration
		Message      Message
	}

	// SendGossip sends a gossip request; its response is passed as Received, and a failure is ignored.
	SendGossip struct {
		To      request.InstanceID
		Address string
		Message Message
	}

	// SendNotice sends a notice; its acknowledgement is passed as NoticeAnswered, and a failure is ignored.
	SendNotice struct {
		SeqNo   SeqNo
		To      request.InstanceID
		Address string
		Message Message
	}

	// Reply sends the response to the gossip request identified by Exchange.
	Reply struct {
		Exchange ExchangeID
		Message  Message
	}

	// MergeCrashes carries gossiped records for the driver to merge into the quarantine table. The driver passes back the
	// records that changed as CrashesMerged.
	MergeCrashes struct{ Records []quarantine.Record }

	// ConfigurationAvailable reports an instance from which this node can fetch a newer configuration.
	ConfigurationAvailable struct {
		Version uint64
		From    request.InstanceID
		Address string
	}

	// Changed reports that the list or the state of a member changed since the last Changed; it is emitted at most once
	// per Settings.MinChangedInterval.
	Changed struct{}

	// Replaced reports that a later incarnation of this instance is running, so that this process must stop.
	Replaced struct{ Incarnation request.Incarnation }
)

func (Probe) isAction()                  {}
func (IndirectProbe) isAction()          {}
func (SendGossip) isAction()             {}
func (SendNotice) isAction()             {}
func (Reply) isAction()                  {}
func (MergeCrashes) isAction()           {}
func (ConfigurationAvailable) isAction() {}
func (Changed) isAction()                {}
func (Replaced) isAction()               {}
