package tree

import (
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
