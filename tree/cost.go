package tree

import (
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/routing"
)

// Cost is the total service time of a request and its nested calls, by service.
type Cost map[request.ServiceID]time.Duration

// Add adds other to c, service by service.
func (c Cost) Add(other Cost) {
	for s, d := range other {
		c[s] += d
	}
}

// costUnit is the precision of an encoded cost. It is below a millisecond because calls of a few milliseconds add up to the
// cost of a call tree.
const costUnit = 100 * time.Microsecond

// Encode returns the cost as comma-separated "service=value" pairs, sorted by service, with values in tenths of a millisecond.
func (c Cost) Encode() string {
	services := make([]string, 0, len(c))
	for s := range c {
		services = append(services, string(s))
	}
	slices.Sort(services)
	var b strings.Builder
	for i, s := range services {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(s)
		b.WriteByte('=')
		b.WriteString(strconv.FormatInt(int64((c[request.ServiceID(s)]+costUnit/2)/costUnit), 10))
	}
	return b.String()
}

// maxCost is the longest service time that a request can need at one service.
const maxCost = time.Hour

// DecodeCost parses an encoded cost; it skips malformed and impossible pairs, since a cost is only an estimate.
func DecodeCost(text string) Cost {
	c := Cost{}
	for pair := range strings.SplitSeq(text, ",") {
		service, value, _ := strings.Cut(pair, "=")
		if units, err := strconv.ParseInt(value, 10, 32); err == nil && units >= 0 && time.Duration(units)*costUnit <= maxCost {
			c[request.ServiceID(service)] += time.Duration(units) * costUnit
		}
	}
	return c
}

// sampleWindow is the number of samples that the moving average covers; with 64, it follows a change within a few seconds of
// traffic.
const sampleWindow = 64

// Costs holds the mean cost of each route; it is not safe for concurrent use.
type Costs struct {
	routes map[routing.RouteID]*estimate
}

type estimate struct {
	mean  map[request.ServiceID]float64 // nanoseconds
	count int
}

// NewCosts returns a Costs without samples.
func NewCosts() *Costs { return &Costs{routes: map[routing.RouteID]*estimate{}} }

// Observe adds the cost of one request of the route to the mean.
func (t *Costs) Observe(r routing.RouteID, c Cost) {
	e := t.routes[r]
	if e == nil {
		e = &estimate{mean: map[request.ServiceID]float64{}}
		t.routes[r] = e
	}
	e.count++
	weight := 1 / float64(min(e.count, sampleWindow))
	for s := range c {
		e.mean[s] += 0
	}
	for s, m := range e.mean {
		e.mean[s] = m + weight*(float64(c[s])-m)
	}
}

// seedSamples is the weight of a cost learned by other nodes, in samples; it is low so that local samples replace it soon.
// Changed ignores means of fewer samples.
const seedSamples = 8

// Seed sets the costs of routes that have no samples yet.
func (t *Costs) Seed(known map[routing.RouteID]Cost) {
	for r, c := range known {
		if t.routes[r] != nil || len(c) == 0 {
			continue
		}
		e := &estimate{mean: make(map[request.ServiceID]float64, len(c)), count: seedSamples}
		for s, serviceTime := range c {
			e.mean[s] = float64(serviceTime)
		}
		t.routes[r] = e
	}
}

// Changed returns the mean costs that differ from the known ones by more than the given fraction, for routes with at
// least seedSamples samples.
func (t *Costs) Changed(known map[routing.RouteID]Cost, fraction float64) map[routing.RouteID]Cost {
	out := map[routing.RouteID]Cost{}
	for r, e := range t.routes {
		if c := t.Of(r); e.count >= seedSamples && c.differs(known[r], fraction) {
			out[r] = c
		}
	}
	return out
}

// differs reports whether the cost at any service differs from other by more than the given fraction of the value in other.
func (c Cost) differs(other Cost, fraction float64) bool {
	for s, serviceTime := range c {
		if math.Abs(float64(serviceTime-other[s])) > fraction*float64(max(other[s], costUnit)) {
			return true
		}
	}
	for s, serviceTime := range other {
		if _, ok := c[s]; !ok && serviceTime > costUnit {
			return true
		}
	}
	return false
}

// Of returns the mean cost of the route, or nil before the first sample.
func (t *Costs) Of(r routing.RouteID) Cost {
	e := t.routes[r]
	if e == nil {
		return nil
	}
	c := make(Cost, len(e.mean))
	for s, m := range e.mean {
		if m >= 1 {
			c[s] = time.Duration(m)
		}
	}
	return c
}
