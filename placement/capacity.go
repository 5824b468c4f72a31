package placement

import (
	"time"

	"github.com/sapphiretack/sapphiretack/fleet"
	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/routing"
)

// zoneLoad is the capacity, demand and load of a service in one zone.
type zoneLoad struct {
	usable  []int // indices of instances; in other zones, only of those that the summary names
	avoided []int // indices of failing instances
	// instances is the number of usable instances, and limit the sum of their slots.
	instances int
	limit     float64
	// capacity is the limit, weighted by the relative speed of the backend servers.
	capacity float64
	// demand is the number of slots that the call trees placed in the zone occupy on average.
	demand float64
	load   float64 // mean reported load of the usable instances
}

// utilization returns the planned demand as a fraction of the capacity.
func (z *zoneLoad) utilization() float64 {
	if z.capacity <= 0 {
		return 0
	}
	return z.demand / z.capacity
}

// queueCorrection returns the correction x that reduces the capacity of a service to 1/(1+x) of its value, given the number of
// waiting attempts per slot and the latency ratio of the routes. A queue shows that demand was underestimated. If call trees
// are well within their latency bound, however, it only absorbs a short peak, and refusing requests because of it would leave
// slots idle a moment later.
func (s Settings) queueCorrection(queue, latencyRatio float64) float64 {
	if queue <= 0 {
		return 0
	}
	late := (latencyRatio - s.LowLatencyRatio) / (s.HighLatencyRatio - s.LowLatencyRatio)
	deep := queue/s.DeepQueuePerSlot - 1
	return s.QueueGain * queue * min(1, max(0, late, deep))
}

// isAvailable reports whether attempts may be sent to the instance.
func isAvailable(in fleet.Instance) bool {
	return in.IsFresh && in.Health == fleet.Serving && !in.IsUnreachable && in.Limit > 0
}

// minFailureRates returns the lowest failure percentage among the available instances of each service and the means of its zones.
func minFailureRates(view fleet.View) map[request.ServiceID]uint8 {
	out := map[request.ServiceID]uint8{}
	lower := func(s request.ServiceID, percent uint8) {
		if f, ok := out[s]; !ok || percent < f {
			out[s] = percent
		}
	}
	for _, in := range view.Instances {
		if isAvailable(in) && !in.IsSummarized {
			lower(in.Service, in.FailurePercent)
		}
	}
	for i := range view.Summaries {
		if s := &view.Summaries[i]; s.Slots > 0 {
			lower(s.Service, s.FailurePercent)
		}
	}
	return out
}

// isAvoided reports whether an instance fails much more often than the best one of its service. If all of them fail alike, none
// is avoided, since no usable instance would remain.
func (s Settings) isAvoided(in fleet.Instance, best uint8) bool {
	return in.FailurePercent >= s.AvoidFailurePercent && in.FailurePercent >= best+s.AvoidFailurePercent/2
}

// meanTime is a mean service time in seconds, weighted by slots.
type meanTime struct{ sum, slots float64 }

func (m *meanTime) add(seconds, slots float64) {
	m.sum += seconds * slots
	m.slots += slots
}

// meanTimes returns the mean service time of the requests that instances and summaries report by dominant route, under the key
// that the function returns for a service and route.
func meanTimes[K comparable](view fleet.View, key func(request.ServiceID, routing.RouteID) K) map[K]float64 {
	means := map[K]meanTime{}
	add := func(k K, serviceTime time.Duration, slots float64) {
		m := means[k]
		m.add(serviceTime.Seconds(), slots)
		means[k] = m
	}
	for _, in := range view.Instances {
		if in.IsFresh && !in.IsSummarized && in.ServiceTime > 0 {
			add(key(in.Service, in.DominantRoute), in.ServiceTime, float64(in.Limit))
		}
	}
	for i := range view.Summaries {
		s := &view.Summaries[i]
		for _, r := range s.Speeds {
			add(key(s.Service, r.Route), r.ServiceTime, float64(r.Slots))
		}
	}
	out := make(map[K]float64, len(means))
	for k, m := range means {
		if m.slots > 0 {
			out[k] = m.sum / m.slots
		}
	}
	return out
}

// meanServiceTimes returns the mean service time at each service in seconds.
func meanServiceTimes(view fleet.View) map[request.ServiceID]float64 {
	return meanTimes(view, func(s request.ServiceID, _ routing.RouteID) request.ServiceID { return s })
}

// meanRouteTimes returns the mean service time of each dominant route in seconds.
func meanRouteTimes(view fleet.View) map[routing.RouteID]float64 {
	return meanTimes(view, func(_ request.ServiceID, r routing.RouteID) routing.RouteID { return r })
}

// minSpeed and maxSpeed bound the relative speed of a backend server.
const minSpeed, maxSpeed = 0.25, 4.0

func limitSpeed(v float64) float64 { return min(maxSpeed, max(minSpeed, v)) }

// relativeSpeeds returns the speed of each instance relative to the mean of the instances with the same dominant route.
func relativeSpeeds(instances []fleet.Instance, means map[routing.RouteID]float64) []float64 {
	out := make([]float64, len(instances))
	for i, in := range instances {
		out[i] = 1
		if mean := means[in.DominantRoute]; in.IsFresh && in.ServiceTime > 0 && mean > 0 {
			out[i] = limitSpeed(mean / in.ServiceTime.Seconds())
		}
	}
	return out
}

// summaryCapacity returns the slots of a summary, weighted by the relative speed of their instances.
func summaryCapacity(s *fleet.Summary, means map[routing.RouteID]float64) float64 {
	capacity := float64(s.Slots)
	for _, r := range s.Speeds {
		if mean := means[r.Route]; mean > 0 && r.Slots > 0 {
			capacity += float64(r.Slots) * (limitSpeed(mean*float64(r.PerSecond)/float64(r.Slots)) - 1)
		}
	}
	return max(0, capacity)
}

// zoneLoadOf returns the load of a service in a zone, adding an empty one if necessary.
func (p *Planner) zoneLoadOf(s request.ServiceID, zone request.ZoneID) *zoneLoad {
	byZone := p.zones[s]
	if byZone == nil {
		byZone = map[request.ZoneID]*zoneLoad{}
		p.zones[s] = byZone
	}
	z := byZone[zone]
	if z == nil {
		z = &zoneLoad{}
		byZone[zone] = z
	}
	return z
}
