package experiment

import (
	"slices"
	"time"

	"github.com/sapphiretack/sapphiretack/request"
)

// binWidth is the length of the time bins in which recovery is measured, one control interval.
const binWidth = 250 * time.Millisecond

// collector collects the measurements of a run.
type collector struct {
	sim  *simulation
	bins []bin
	// The other fields count only requests that arrived during the trigger.
	work, usefulWork   time.Duration
	attempts           int
	firstAttempts      int
	sendAttempts       int
	refusals           [request.ClassCount]int
	refusalLatencies   []time.Duration
	essentialLatencies []time.Duration
	otherCustomers     ratio
	deepChain          ratio
}

// bin holds the measurements of one interval of the run, binWidth long.
type bin struct {
	// arrived counts the requests that arrived in the bin, answered those of them that were answered.
	arrived, answered [request.ClassCount]int
	// completed counts the responses in the bin, whenever their requests arrived.
	completed [request.ClassCount]int
	latencies []time.Duration
	// levels are the lowest admission level at each main service, queued the number of
	// attempts queued there.
	levels, queued [mainServiceCount]int
}

type ratio struct{ count, of int }

func (r ratio) share() float64 {
	if r.of == 0 {
		return 0
	}
	return float64(r.count) / float64(r.of)
}

func newCollector(s *simulation) *collector {
	sc := s.scenario
	return &collector{sim: s, bins: make([]bin, int((sc.Before+sc.Trigger+sc.After)/binWidth)+1)}
}

func (c *collector) bin(at request.Instant) *bin { return &c.bins[int(at/request.Instant(binWidth))] }

// isInTrigger reports whether the request arrived during the trigger.
func (c *collector) isInTrigger(r *clientRequest) bool {
	sc := c.sim.scenario
	return r.arrivedAt >= request.Instant(sc.Before) && r.arrivedAt < request.Instant(sc.Before+sc.Trigger)
}

func (c *collector) recordArrival(r *clientRequest) {
	c.bin(r.arrivedAt).arrived[r.class]++
	if !c.isInTrigger(r) {
		return
	}
	if r.customer != 0 {
		c.otherCustomers.of++
	}
	if len(r.chain.Services) > 20 {
		c.deepChain.of++
	}
}

// recordAnswer counts an answered request; latency is the time of its last send.
func (c *collector) recordAnswer(r *clientRequest, latency time.Duration) {
	c.bin(r.arrivedAt).answered[r.class]++
	b := c.bin(c.sim.clock.now)
	b.completed[r.class]++
	b.latencies = append(b.latencies, latency)
	if !c.isInTrigger(r) {
		return
	}
	c.usefulWork += r.work
	if r.customer != 0 {
		c.otherCustomers.count++
	}
	if len(r.chain.Services) > 20 {
		c.deepChain.count++
	}
	if r.class == request.Essential {
		c.essentialLatencies = append(c.essentialLatencies, latency)
	}
}

func (c *collector) recordWork(r *clientRequest, d time.Duration) {
	if c.isInTrigger(r) {
		c.work += d
	}
}

// recordAttempt counts an attempt. firstOfRequest and firstOfSend report whether its position in the
// chain had no attempt before in the request and in the send of the caller.
func (c *collector) recordAttempt(r *clientRequest, firstOfRequest, firstOfSend bool) {
	if !c.isInTrigger(r) {
		return
	}
	c.attempts++
	if firstOfRequest {
		c.firstAttempts++
	}
	if firstOfSend {
		c.sendAttempts++
	}
}

func (c *collector) recordRefusal(r *clientRequest, after time.Duration) {
	if c.isInTrigger(r) {
		c.refusals[r.class]++
		c.refusalLatencies = append(c.refusalLatencies, after)
	}
}

// sample records the state of the main services. The last sample of a bin is kept.
func (c *collector) sample() {
	b := c.bin(c.sim.clock.now)
	zones := len(c.sim.deployment.Zones)
	for i := range mainServiceCount {
		b.levels[i], b.queued[i] = int(request.PriorityCount), 0
		for _, in := range c.sim.entryNodes[i*zones : (i+1)*zones] {
			l := in.gate.load()
			b.levels[i] = min(b.levels[i], int(l.Level))
			b.queued[i] += int(l.Queued)
		}
	}
}

// Report holds the measurements of one run. Shares are fractions of 1, times are in milliseconds.
type Report struct {
	Deployment string `json:"deployment"`
	Scenario   string `json:"scenario"`
	Variant    string `json:"variant"`
	Seed       uint64 `json:"seed"`

	// OfferedPerSecond and CapacityPerSecond are rates of whole requests during the trigger.
	OfferedPerSecond  float64 `json:"offered_per_second"`
	CapacityPerSecond float64 `json:"capacity_per_second"`

	// Goodput is the completed requests by class during the trigger as a fraction of what the
	// bottleneck can serve, or of the offered load if that is less.
	Goodput      [request.ClassCount]float64 `json:"goodput"`
	TotalGoodput float64                     `json:"goodput_total"`
	// EssentialAnswered is the completed fraction of the essential requests that arrived during the
	// trigger. EssentialOfCapacity is the number of these completed requests divided by the number that
	// arrived, or by the number that the capacity allows during the trigger if that is less.
	EssentialAnswered   float64 `json:"essential_answered"`
	EssentialOfCapacity float64 `json:"essential_of_capacity"`
	// GoodputAfter is the fraction of the requests offered after the trigger that completed, without
	// those offered in the last 2 s of the run.
	GoodputAfter float64 `json:"goodput_after"`

	// RecoveryMillis, ShareRecoveryMillis and LatencyRecoveryMillis are the times after the trigger
	// until goodput is 95% of normal, until the completed fraction of newly arrived requests is 95% of
	// normal, and until the p99 latency of answered sends is in its normal range; -1 if that did not
	// happen in the run.
	RecoveryMillis        int64 `json:"recovery_ms"`
	ShareRecoveryMillis   int64 `json:"share_recovery_ms"`
	LatencyRecoveryMillis int64 `json:"latency_recovery_ms"`

	// WastedWork is the work for requests that failed afterwards as a fraction of all work.
	WastedWork float64 `json:"wasted"`
	// AttemptsPerRequest is the ratio of all attempts to first attempts at a position of the chain,
	// including the resends of callers. AttemptsPerSend excludes them.
	AttemptsPerRequest float64                 `json:"attempts_per_request"`
	AttemptsPerSend    float64                 `json:"attempts_per_send"`
	Refusals           [request.ClassCount]int `json:"refusals"`
	RefusalMillisP50   float64                 `json:"refusal_ms_p50"`
	RefusalMillisP99   float64                 `json:"refusal_ms_p99"`
	EssentialMillisP99 float64                 `json:"essential_ms_p99"`
	NormalMillisP99    float64                 `json:"normal_ms_p99"`
	// OtherCustomers is the completed fraction of the requests that arrived during the trigger from
	// customers that are not hot.
	OtherCustomers float64 `json:"other_customers"`
	// DeepChain is the completed fraction of the requests on the chain with depth 22 that arrived during
	// the trigger.
	DeepChain float64 `json:"deep"`
	// Steps is the number of tasks that the virtual clock ran.
	Steps uint64 `json:"steps"`

	Timeline []TimelinePoint `json:"timeline,omitempty"`
}

// TimelinePoint holds the measurements of one interval of the run, which starts Millis after the start of the run.
type TimelinePoint struct {
	Millis    int64                   `json:"ms"`
	Arrived   [request.ClassCount]int `json:"arrived"`
	Answered  [request.ClassCount]int `json:"answered"`
	Completed [request.ClassCount]int `json:"completed"`
	// Levels and Queued are the values of the main services; the bottleneck is the last one.
	Levels    [mainServiceCount]int `json:"levels"`
	Queued    [mainServiceCount]int `json:"queued"`
	MillisP99 float64               `json:"ms_p99"`
}

func (c *collector) finish(seed uint64) *Report {
	s := c.sim
	sc := s.scenario
	r := &Report{Deployment: s.deployment.Name, Scenario: sc.Name, Variant: s.variant.Name, Seed: seed, Steps: s.clock.steps}
	r.OfferedPerSecond = s.normalRate * sc.offeredFactor()
	r.CapacityPerSecond = s.deployment.Capacity() * sc.capacityShare()
	c.reportGoodput(r)
	c.reportRecovery(r)
	if c.work > 0 {
		r.WastedWork = float64(c.work-c.usefulWork) / float64(c.work)
	}
	r.AttemptsPerRequest = ratio{c.attempts, c.firstAttempts}.share()
	r.AttemptsPerSend = ratio{c.attempts, c.sendAttempts}.share()
	r.Refusals = c.refusals
	r.RefusalMillisP50, r.RefusalMillisP99 = percentile(c.refusalLatencies, 0.5), percentile(c.refusalLatencies, 0.99)
	r.EssentialMillisP99 = percentile(c.essentialLatencies, 0.99)
	r.OtherCustomers, r.DeepChain = c.otherCustomers.share(), c.deepChain.share()
	for i := range c.bins {
		r.Timeline = append(r.Timeline, c.point(i))
	}
	return r
}

func (c *collector) point(i int) TimelinePoint {
	b := &c.bins[i]
	return TimelinePoint{
		Millis:  int64(i) * binWidth.Milliseconds(),
		Arrived: b.arrived, Answered: b.answered, Completed: b.completed,
		Levels: b.levels, Queued: b.queued, MillisP99: percentile(b.latencies, 0.99),
	}
}

// phases returns the bins before, during and after the trigger. The first second is omitted, since the
// run starts without load.
func (c *collector) phases() (before, during, after []bin) {
	sc := c.sim.scenario
	begin, end := int(sc.Before/binWidth), int((sc.Before+sc.Trigger)/binWidth)
	first := int(time.Second / binWidth)
	return c.bins[first:begin], c.bins[begin:end], c.bins[end : len(c.bins)-1]
}

func (c *collector) reportGoodput(r *Report) {
	_, during, after := c.phases()
	possible := min(r.CapacityPerSecond, r.OfferedPerSecond) * c.sim.scenario.Trigger.Seconds()
	var essential ratio
	for _, b := range during {
		for class, n := range b.completed {
			r.Goodput[class] += float64(n) / possible
			r.TotalGoodput += float64(n) / possible
		}
		essential.count += b.answered[request.Essential]
		essential.of += b.arrived[request.Essential]
	}
	r.EssentialAnswered = essential.share()
	carried := min(float64(essential.of), r.CapacityPerSecond*c.sim.scenario.Trigger.Seconds())
	r.EssentialOfCapacity = float64(essential.count) / carried
	r.GoodputAfter = answeredShare(withoutUnfinished(after))
}

// withoutUnfinished omits the last 2 s, whose requests may still be running at the end of the run.
func withoutUnfinished(bins []bin) []bin {
	return bins[:len(bins)-int(2*time.Second/binWidth)]
}

func answeredShare(bins []bin) float64 {
	var all ratio
	for _, b := range bins {
		for class := range b.arrived {
			all.count += b.answered[class]
			all.of += b.arrived[class]
		}
	}
	return all.share()
}

const (
	// recoveryThreshold is the fraction of the normal goodput or completed fraction that counts as
	// recovered.
	recoveryThreshold = 0.95
	// latencyMargin is the highest p99 latency that counts as normal, as a multiple of the highest p99
	// of a bin before the trigger.
	latencyMargin = 1.1
	// steadyBins is the number of consecutive bins that must be normal, so that a single good bin does
	// not count.
	steadyBins = 4
)

func (c *collector) reportRecovery(r *Report) {
	before, _, after := c.phases()
	normal := answeredShare(before)
	var highest float64
	var all []time.Duration
	for _, b := range before {
		highest = max(highest, percentile(b.latencies, 0.99))
		all = append(all, b.latencies...)
	}
	r.NormalMillisP99 = percentile(all, 0.99)
	after = withoutUnfinished(after)
	r.RecoveryMillis = c.goodputRecovery(before, after)
	r.ShareRecoveryMillis = firstSteady(after, func(b bin) bool { return answeredShare([]bin{b}) >= recoveryThreshold*normal })
	r.LatencyRecoveryMillis = firstSteady(after, func(b bin) bool {
		p99 := percentile(b.latencies, 0.99)
		return p99 > 0 && p99 <= latencyMargin*highest
	})
}

// goodputRecovery returns the time in milliseconds from which steadyBins bins together have 95% of the
// normal goodput, or -1.
func (c *collector) goodputRecovery(before, after []bin) int64 {
	normal := 0
	for i := range before {
		normal += before[i].total()
	}
	needed := recoveryThreshold * float64(normal) / float64(len(before)) * steadyBins
	for i := range len(after) - steadyBins {
		sum := 0
		for j := range steadyBins {
			sum += after[i+j].total()
		}
		if float64(sum) >= needed {
			return int64(i) * binWidth.Milliseconds()
		}
	}
	return -1
}

func (b *bin) total() int {
	n := 0
	for _, c := range b.completed {
		n += c
	}
	return n
}

// firstSteady returns the time in milliseconds of the first of steadyBins consecutive bins that pass,
// or -1.
func firstSteady(bins []bin, pass func(bin) bool) int64 {
	run := 0
	for i, b := range bins {
		if !pass(b) {
			run = 0
			continue
		}
		if run++; run == steadyBins {
			return int64(i+1-steadyBins) * binWidth.Milliseconds()
		}
	}
	return -1
}

func percentile(d []time.Duration, q float64) float64 {
	if len(d) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(d))
	return float64(sorted[int(q*float64(len(sorted)-1))]) / float64(time.Millisecond)
}
