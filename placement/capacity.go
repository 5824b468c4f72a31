package placement

import (
	"github.com/sapphiretack/sapphiretack/fleet"
	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/routing"
)

// zoneLoad is the capacity, demand and load of a service in one zone.
type zoneLoad struct {
	usable  []int   // indices of instances
	avoided []int   // indices of failing instances
	limit   float64 // slots of the usable instances
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

// minFailureRates returns the lowest failure percentage among the available instances of each service.
func minFailureRates(instances []fleet.Instance) map[request.ServiceID]uint8 {
	out := map[request.ServiceID]uint8{}
	for _, in := range instances {
		if !in.IsFresh || in.Health != fleet.Serving || in.IsUnreachable {
			continue
		}
		if f, ok := out[in.Service]; !ok || in.FailurePercent < f {
			out[in.Service] = in.FailurePercent
		}
	}
	return out
}

// isAvoided reports whether an instance fails much more often than the best one of its service. If all of them fail alike, none
// is avoided, since no usable instance would remain.
func (p *Planner) isAvoided(in fleet.Instance, best uint8) bool {
	return in.FailurePercent >= p.settings.AvoidFailurePercent && in.FailurePercent >= best+p.settings.AvoidFailurePercent/2
}

// meanServiceTimes returns the mean service time at each service in seconds, weighted by the limits of its instances. Each
// instance reports the service time of its dominant route.
func meanServiceTimes(instances []fleet.Instance) map[request.ServiceID]float64 {
	sum, count := map[request.ServiceID]float64{}, map[request.ServiceID]float64{}
	for _, in := range instances {
		if in.IsFresh && in.ServiceTime > 0 {
			sum[in.Service] += in.ServiceTime.Seconds() * float64(in.Limit)
			count[in.Service] += float64(in.Limit)
		}
	}
	for s := range sum {
		sum[s] /= count[s]
	}
	return sum
}

// minSpeed and maxSpeed bound the relative speed of a backend server.
const minSpeed, maxSpeed = 0.25, 4.0

// relativeSpeeds returns the speed of each instance relative to the mean of the fresh instances with the same dominant route.
func relativeSpeeds(instances []fleet.Instance) []float64 {
	sum, count := map[routing.RouteID]float64{}, map[routing.RouteID]float64{}
	for _, in := range instances {
		if in.IsFresh && in.ServiceTime > 0 {
			sum[in.DominantRoute] += in.ServiceTime.Seconds() * float64(in.Limit)
			count[in.DominantRoute] += float64(in.Limit)
		}
	}
	out := make([]float64, len(instances))
	for i, in := range instances {
		out[i] = 1
		if in.IsFresh && in.ServiceTime > 0 && count[in.DominantRoute] > 0 {
			out[i] = min(maxSpeed, max(minSpeed, sum[in.DominantRoute]/count[in.DominantRoute]/in.ServiceTime.Seconds()))
		}
	}
	return out
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
