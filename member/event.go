package member

import (
	"time"

	"github.com/sapphiretack/sapphiretack/quarantine"
	"github.com/sapphiretack/sapphiretack/request"
)

// Event is something that happened to the node; the types below are all events.
type Event interface{ isEvent() }

// Kind tells which message was received.
type Kind uint8

// The kinds of messages.
const (
	GossipRequest Kind = iota
	GossipResponse
	Notice
)

// Exchange is the shell's handle of a gossip request that waits for its response; zero means none.
type Exchange uint64

// Number identifies a probe or a notice of this node.
type Number uint64

// The events.
type (
	// Tick tells that Settings.TickInterval has passed.
	Tick struct{}

	// Bootstrap brings the rows that instances wrote to the platform's table, or members known from settings. A member
	// without an instance is an address to contact. A row is used at once, passed on only when another node confirms it,
	// and dropped after Settings.ProvisionalTime otherwise, since rows of instances that are gone stay in the table.
	Bootstrap struct{ Rows []Member }

	// Received brings a message of another node. A GossipRequest has an Exchange, and one Reply follows for it.
	Received struct {
		Kind     Kind
		Message  Message
		Exchange Exchange
	}

	// ProbeAnswered brings the response to a Probe or an IndirectProbe.
	ProbeAnswered struct {
		Number   Number
		Exchange Exchange
		Message  Message
	}

	// ProbeFailed tells that a Probe or an IndirectProbe had no response in time.
	ProbeFailed struct {
		Number   Number
		Exchange Exchange
	}

	// NoticeAnswered tells that a SendNotice was received.
	NoticeAnswered struct{ Number Number }

	// Leave starts the departure of this instance. Sources are the instances that sent work lately.
	Leave struct{ Sources []request.InstanceID }

	// CrashObserved brings the record of a crash that this node saw; the instances of the service get a notice.
	CrashObserved struct{ Record quarantine.Record }

	// CrashesMerged brings records that changed in the quarantine table on a Crashes action; they are passed on.
	CrashesMerged struct{ Records []quarantine.Record }

	// ConfigurationApplied tells that this node has put a version in force.
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

// Action is something that the shell carries out; the types below are all actions.
type Action interface{ isAction() }

// The actions.
type (
	// Probe asks for a gossip request to a member; ProbeAnswered or ProbeFailed with the same Number and Exchange follows.
	Probe struct {
		Number   Number
		Exchange Exchange
		Instance request.InstanceID
		Address  string
		Timeout  time.Duration
		Message  Message
	}

	// IndirectProbe asks for a gossip request to a member that probes Target on behalf of this node; ProbeAnswered or
	// ProbeFailed with the same Number follows.
	IndirectProbe struct {
		Number  Number
		Target  request.InstanceID
		Through request.InstanceID
		Address string
		Timeout time.Duration
		Message Message
	}

	// SendGossip asks for a gossip request; a response is handed over as Received, a failure is ignored.
	SendGossip struct {
		To      request.InstanceID
		Address string
		Message Message
	}

	// SendNotice asks for a notice; NoticeAnswered follows if it was received, a failure is ignored.
	SendNotice struct {
		Number  Number
		To      request.InstanceID
		Address string
		Message Message
	}

	// Reply is the response to the gossip request with this Exchange.
	Reply struct {
		Exchange Exchange
		Message  Message
	}

	// Crashes brings gossiped records for the quarantine table; the shell merges them and hands over CrashesMerged.
	Crashes struct{ Records []quarantine.Record }

	// ConfigurationSeen tells that an instance has a newer configuration, which this node can fetch from it.
	ConfigurationSeen struct {
		Version uint64
		From    request.InstanceID
		Address string
	}

	// Changed tells that the list or a state changed since the last Changed; it comes at most once in each
	// Settings.ChangedInterval.
	Changed struct{}

	// Replaced tells that a later incarnation of this instance runs, so that this process must stop.
	Replaced struct{ Incarnation request.Incarnation }
)

func (Probe) isAction()             {}
func (IndirectProbe) isAction()     {}
func (SendGossip) isAction()        {}
func (SendNotice) isAction()        {}
func (Reply) isAction()             {}
func (Crashes) isAction()           {}
func (ConfigurationSeen) isAction() {}
func (Changed) isAction()           {}
func (Replaced) isAction()          {}
