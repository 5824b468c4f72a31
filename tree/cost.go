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

// Cost is the time for which a request holds slots, for each service that it reaches.
type Cost map[request.ServiceID]time.Duration

// Add adds another cost.
func (c Cost) Add(other Cost) {
	for s, d := range other {
		c[s] += d
	}
}

// costUnit is the precision of an encoded cost; calls of some milliseconds add up to the cost of a tree.
const costUnit = 100 * time.Microsecond

// Encode returns the cost as "service=tenths of a millisecond" separated by commas, in the order of the services.
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

// DecodeCost reads an encoded cost; parts that cannot be read are left out, since a cost is an estimate.
func DecodeCost(text string) Cost {
	c := Cost{}
	for part := range strings.SplitSeq(text, ",") {
		service, value, _ := strings.Cut(part, "=")
		if units, err := strconv.ParseInt(value, 10, 32); err == nil && units >= 0 {
			c[request.ServiceID(service)] += time.Duration(units) * costUnit
		}
	}
	return c
}

// costWeight is the number of samples in the mean; 64 follow a change within a few seconds of traffic.
const costWeight = 64

// Costs holds the mean cost of each route; it is not safe for concurrent use.
type Costs struct {
	routes map[routing.RouteID]*learned
}

type learned struct {
	mean  map[request.ServiceID]float64 // nanoseconds
	count int
}

// NewCosts returns an empty Costs.
func NewCosts() *Costs { return &Costs{routes: map[routing.RouteID]*learned{}} }

// Observe adds a sample.
func (t *Costs) Observe(r routing.RouteID, c Cost) {
	l := t.routes[r]
	if l == nil {
		l = &learned{mean: map[request.ServiceID]float64{}}
		t.routes[r] = l
	}
	l.count++
	weight := 1 / float64(min(l.count, costWeight))
	for s := range c {
		l.mean[s] += 0
	}
	for s, m := range l.mean {
		l.mean[s] = m + weight*(float64(c[s])-m)
	}
}

// seedCount is the number of samples that a cost learned elsewhere counts for, so that own samples replace it soon.
const seedCount = 8

// Seed sets the costs of routes of which no sample is known.
func (t *Costs) Seed(known map[routing.RouteID]Cost) {
	for r, c := range known {
		if t.routes[r] != nil || len(c) == 0 {
			continue
		}
		l := &learned{mean: make(map[request.ServiceID]float64, len(c)), count: seedCount}
		for s, held := range c {
			l.mean[s] = float64(held)
		}
		t.routes[r] = l
	}
}

// Changed returns the costs that differ from those known elsewhere by more than the share.
func (t *Costs) Changed(known map[routing.RouteID]Cost, share float64) map[routing.RouteID]Cost {
	out := map[routing.RouteID]Cost{}
	for r, l := range t.routes {
		if c := t.Of(r); l.count >= seedCount && c.differs(known[r], share) {
			out[r] = c
		}
	}
	return out
}

// differs reports whether a service takes more or less of its time than in another cost, by more than the share of the latter.
func (c Cost) differs(other Cost, share float64) bool {
	for s, held := range c {
		if math.Abs(float64(held-other[s])) > share*float64(max(other[s], costUnit)) {
			return true
		}
	}
	for s, held := range other {
		if _, ok := c[s]; !ok && held > costUnit {
			return true
		}
	}
	return false
}

// Of returns the mean cost of the route, or nil before the first sample.
func (t *Costs) Of(r routing.RouteID) Cost {
	l := t.routes[r]
	if l == nil {
		return nil
	}
	c := make(Cost, len(l.mean))
	for s, m := range l.mean {
		if m >= 1 {
			c[s] = time.Duration(m)
		}
	}
	return c
}
