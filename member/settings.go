package member

import "time"

// Settings are the constants of the protocol.
type Settings struct {
	// TickInterval is the time between two Tick events; it is also the time between two rounds of gossip.
	TickInterval time.Duration

	// ChangedInterval is the shortest time between two Changed actions. The shell rebuilds its route table on each, which
	// takes 2.4 ms with 2,800 members (route.BenchmarkUpdate); the loss of a rack brings 14 messages a second.
	ChangedInterval time.Duration

	// ProbeInterval is the time between two probes within the zone.
	ProbeInterval time.Duration
	// ProbeTimeout is the time within which a healthy node expects the answer to a probe.
	ProbeTimeout time.Duration
	// IndirectProbes is the number of members that are asked to probe a member that did not answer.
	IndirectProbes int
	// FarProbeShare is the chance that a probe interval also probes a member of another zone.
	FarProbeShare float64

	// NearPeers bounds the members of the zone that the node keeps in contact with.
	NearPeers int
	// RedrawnPeers is the number of near peers that are replaced at random after each was probed once.
	RedrawnPeers int

	// SuspicionMin and SuspicionMax bound the time from suspicion to death; Confirmations suspicions of other members
	// shorten it from the maximum to the minimum.
	SuspicionMin, SuspicionMax time.Duration
	Confirmations              int
	// LastCheck is the time that peers have to contradict before a suspect is declared dead.
	LastCheck time.Duration

	// GossipFanout is the number of near peers that receive pending updates in each round.
	GossipFanout int
	// FarGossipShare is the chance that a round also reaches a member of another zone.
	FarGossipShare float64
	// RetransmitFactor times the decimal logarithm of the number of members gives the transmissions of one update.
	RetransmitFactor float64
	// MaxUpdates and MaxCrashes bound the piggybacked updates of one message.
	MaxUpdates, MaxCrashes int

	// BytesPerSecond and BurstBytes bound what the node sends; probes, their answers and notices are sent in any case.
	// The node receives as much as it sends on average, so that both directions stay within 11 KB/s.
	BytesPerSecond, BurstBytes int
	// MessageOverheadBytes is the size of the gRPC, HTTP/2, TCP and IP headers of one message: 117 measured by
	// BenchmarkExchange, 52 for TCP and IP and an allowance for acknowledgements.
	MessageOverheadBytes int

	// RepairInterval is the time between two comparisons of digests that this node starts.
	RepairInterval time.Duration
	// RepairRounds bounds the requests of one comparison.
	RepairRounds int
	// MaxRepairBytes bounds the digests and members of one message of a comparison.
	MaxRepairBytes int
	// RangeFanout is the number of parts into which a differing range is split.
	RangeFanout int
	// LeafMembers is the size of a range at which the hash of each member is sent instead of the hashes of parts.
	LeafMembers int
	// FarRepairShare is the share of comparisons with members of other zones.
	FarRepairShare float64

	// ReconnectInterval is the shortest time between two attempts of this node to reach a dead member.
	ReconnectInterval time.Duration
	// ReconnectsPerSecond is the number of attempts of all nodes to reach one dead member.
	ReconnectsPerSecond float64
	// ProvisionalTime is the time for which a row of the platform is kept without confirmation.
	ProvisionalTime time.Duration
	// Tombstone is the time for which a dead member is remembered.
	Tombstone time.Duration

	// FreezeGap is the time without any event after which the node takes itself to have been frozen.
	FreezeGap time.Duration
	// SelfCheckProbes is the number of answered probes after which a node that was frozen trusts itself again.
	SelfCheckProbes int
	// SelfCheckLimit ends the self check of a node that reaches nobody.
	SelfCheckLimit time.Duration
	// MaxHealth bounds the local health score; 0 is healthy.
	MaxHealth int

	// NoticeRetry is the time between two sends of an unanswered notice.
	NoticeRetry time.Duration
	// NoticeLimit is the time after which an unanswered notice is given up.
	NoticeLimit time.Duration
}

// DefaultSettings returns the settings for up to 2,800 members in 16 zones.
func DefaultSettings() Settings {
	return Settings{
		TickInterval:    200 * time.Millisecond,
		ChangedInterval: 500 * time.Millisecond,

		ProbeInterval: time.Second,
		ProbeTimeout:  400 * time.Millisecond,

		IndirectProbes: 3,
		FarProbeShare:  0.1,
		NearPeers:      16,
		RedrawnPeers:   4,

		SuspicionMin:  5 * time.Second,
		SuspicionMax:  12 * time.Second,
		Confirmations: 3,
		LastCheck:     time.Second,

		GossipFanout:     2,
		FarGossipShare:   0.25,
		RetransmitFactor: 3.5,
		MaxUpdates:       24,
		MaxCrashes:       8,

		BytesPerSecond:       5 << 10,
		BurstBytes:           32 << 10,
		MessageOverheadBytes: 180,

		RepairInterval: 10 * time.Second,
		RepairRounds:   8,
		MaxRepairBytes: 8 << 10,
		RangeFanout:    16,
		LeafMembers:    16,
		FarRepairShare: 0.25,

		ReconnectInterval:   5 * time.Second,
		ReconnectsPerSecond: 0.5,
		ProvisionalTime:     2 * time.Minute,
		Tombstone:           time.Hour,

		FreezeGap:       2 * time.Second,
		SelfCheckProbes: 2,
		SelfCheckLimit:  30 * time.Second,
		MaxHealth:       8,

		NoticeRetry: 500 * time.Millisecond,
		NoticeLimit: 3 * time.Second,
	}
}
