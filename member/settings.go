package member

import "time"

// Settings holds the protocol parameters.
type Settings struct {
	// TickInterval is the interval between Tick events. Each Tick sends gossip if member updates or crash records are queued
	// or a new configuration version is being announced.
	TickInterval time.Duration

	// MinChangedInterval is the minimum interval between Changed actions. The driver rebuilds its route table on each, which
	// takes 2.4 ms with 2,800 members (route.BenchmarkUpdate); a rack failure causes 14 gossip messages per second.
	MinChangedInterval time.Duration

	// ProbeInterval is the interval between probes within the zone.
	ProbeInterval time.Duration
	// ProbeTimeout is the timeout of a direct probe at local health score 0.
	ProbeTimeout time.Duration
	// IndirectProbes is the maximum number of intermediaries asked to probe a member that did not respond.
	IndirectProbes int
	// CrossZoneProbeProbability is the probability that a member of another zone is probed as well in a probe interval.
	CrossZoneProbeProbability float64

	// ZonePeers is the maximum number of members of its zone that a node probes and sends gossip to.
	ZonePeers int
	// ResampledPeers is the number of zone peers replaced at random after all zone peers were probed once.
	ResampledPeers int

	// SuspicionMin and SuspicionMax bound the suspicion timeout. Each further member that reports the same suspicion
	// shortens the timeout; after Confirmations such reports it is SuspicionMin.
	SuspicionMin, SuspicionMax time.Duration
	Confirmations              int
	// FinalCheckTimeout is the time that peers have to report a refutation before a suspect is declared dead.
	FinalCheckTimeout time.Duration

	// GossipFanout is the number of zone peers that receive the queued updates in each tick.
	GossipFanout int
	// MinCrossZoneGossipProbability is the minimum probability that a tick also sends gossip to a member of another zone.
	MinCrossZoneGossipProbability float64
	// RetransmitFactor, multiplied by log10 of the cluster size, is the number of transmissions of one update.
	RetransmitFactor float64
	// MaxUpdates and MaxCrashes bound the member updates and crash records piggybacked on one message.
	MaxUpdates, MaxCrashes int

	// BytesPerSecond and BurstBytes are the rate and size of the token bucket for outgoing messages; probes, their
	// responses and notices are sent regardless. On average a node receives as much as it sends, so that the traffic of
	// both directions together stays within 11 KB/s.
	BytesPerSecond, BurstBytes int
	// MessageOverheadBytes is the size of the gRPC, HTTP/2, TCP and IP headers of one message: 117 for gRPC and HTTP/2
	// (BenchmarkExchange), 52 for TCP and IP, and an allowance for acknowledgements.
	MessageOverheadBytes int

	// RepairInterval is the interval between the anti-entropy repairs that this node starts.
	RepairInterval time.Duration
	// MaxRepairRounds is the maximum number of requests of one repair.
	MaxRepairRounds int
	// MaxRepairBytes is the maximum size of the digests and members in one repair message.
	MaxRepairBytes int
	// RangeFanout is the number of subranges into which a differing range is split.
	RangeFanout int
	// MaxLeafMembers is the largest number of members of a range that is described by member hashes instead of subrange
	// hashes.
	MaxLeafMembers int
	// CrossZoneRepairProbability is the probability that a repair runs with a member of another zone.
	CrossZoneRepairProbability float64

	// ReconnectInterval is the minimum interval between the attempts of this node to contact a dead member.
	ReconnectInterval time.Duration
	// ReconnectsPerSecond is the rate at which all nodes together try to contact one dead member.
	ReconnectsPerSecond float64
	// ProvisionalTTL is the time after which an unconfirmed row of the platform's table is dropped.
	ProvisionalTTL time.Duration
	// TombstoneTTL is the time for which a dead member stays in the list.
	TombstoneTTL time.Duration

	// FreezeThreshold is the time without any event after which the node assumes that its process was frozen.
	FreezeThreshold time.Duration
	// SelfCheckProbes is the number of successful probes after which a node that was frozen may suspect others again.
	SelfCheckProbes int
	// SelfCheckTimeout is the time after which the self check ends without these successes.
	SelfCheckTimeout time.Duration
	// MaxHealthScore is the maximum local health score; 0 is healthy.
	MaxHealthScore int

	// NoticeRetryInterval is the retry interval of an unacknowledged notice.
	NoticeRetryInterval time.Duration
	// NoticeTimeout is the time after which an unacknowledged notice is dropped.
	NoticeTimeout time.Duration
}

// DefaultSettings returns settings for clusters of up to 2,800 members in 16 zones.
func DefaultSettings() Settings {
	return Settings{
		TickInterval:       200 * time.Millisecond,
		MinChangedInterval: 500 * time.Millisecond,

		ProbeInterval: time.Second,
		ProbeTimeout:  400 * time.Millisecond,

		IndirectProbes:            3,
		CrossZoneProbeProbability: 0.1,
		ZonePeers:                 16,
		ResampledPeers:            4,

		SuspicionMin:      5 * time.Second,
		SuspicionMax:      12 * time.Second,
		Confirmations:     3,
		FinalCheckTimeout: time.Second,

		GossipFanout:                  2,
		MinCrossZoneGossipProbability: 0.25,
		RetransmitFactor:              3.5,
		MaxUpdates:                    24,
		MaxCrashes:                    8,

		BytesPerSecond:       5 << 10,
		BurstBytes:           32 << 10,
		MessageOverheadBytes: 180,

		RepairInterval:             10 * time.Second,
		MaxRepairRounds:            8,
		MaxRepairBytes:             8 << 10,
		RangeFanout:                16,
		MaxLeafMembers:             16,
		CrossZoneRepairProbability: 0.25,

		ReconnectInterval:   5 * time.Second,
		ReconnectsPerSecond: 0.5,
		ProvisionalTTL:      2 * time.Minute,
		TombstoneTTL:        time.Hour,

		FreezeThreshold:  2 * time.Second,
		SelfCheckProbes:  2,
		SelfCheckTimeout: 30 * time.Second,
		MaxHealthScore:   8,

		NoticeRetryInterval: 500 * time.Millisecond,
		NoticeTimeout:       3 * time.Second,
	}
}
