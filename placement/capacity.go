package placement

import (
	"github.com/sapphiretack/sapphiretack/fleet"
	"github.com/sapphiretack/sapphiretack/request"
	"github.com/sapphiretack/sapphiretack/routing"
)

// zoneLoad is what is known of the instances of a service in one zone.
type zoneLoad struct {
	usable []int   // indices of instances
	avoid  []int   // failing ones
	limit  float64 // slots of the usable ones
	// capacity is the limit, corrected for the speed of the backend servers.
	capacity float64
	// demand is the number of slots that the trees placed in the zone need.
	demand float64
	load   float64 // mean load over the usable ones, as they report it
}

// use returns the planned share of the capacity.
func (z *zoneLoad) use() float64 {
	if z.capacity <= 0 {
		return 0
	}
	return z.demand / z.capacity
}

// queueCorrection returns by how much a queue of the given length for each slot reduces the capacity of a service. Such a queue
// shows that the demand was underestimated. Where trees have time to spare it carries short peaks, and to refuse requests for
// it would leave slots empty a moment later.
func (s Settings) queueCorrection(queue, tightness float64) float64 {
	if queue <= 0 {
		return 0
	}
	late := (tightness - s.CalmShare) / (s.LateShare - s.CalmShare)
	deep := queue/s.DeepQueue - 1
	return s.QueueGain * queue * min(1, max(0, late, deep))
}

// leastFailing returns the lowest share of failures among the instances of each service.
func leastFailing(instances []fleet.Instance) map[request.ServiceID]uint8 {
	out := map[request.ServiceID]uint8{}
	for _, in := range instances {
		if !in.IsFresh || in.Health != fleet.Serving || in.IsBroken {
			continue
		}
		if f, ok := out[in.Service]; !ok || in.Failing < f {
			out[in.Service] = in.Failing
		}
	}
	return out
}

// isAvoided reports whether an instance fails much more than the best of its service. If all fail alike, avoiding them would
// leave nothing.
func (p *Planner) isAvoided(in fleet.Instance, best uint8) bool {
	return in.Failing >= p.settings.FailingPercent && in.Failing >= best+p.settings.FailingPercent/2
}

// usualTimes returns the mean time for which a usual attempt holds a slot of each service.
func usualTimes(instances []fleet.Instance) map[request.ServiceID]float64 {
	sum, count := map[request.ServiceID]float64{}, map[request.ServiceID]float64{}
	for _, in := range instances {
		if in.IsFresh && in.UsualTime > 0 {
			sum[in.Service] += in.UsualTime.Seconds() * float64(in.Limit)
			count[in.Service] += float64(in.Limit)
		}
	}
	for s := range sum {
		sum[s] /= count[s]
	}
	return sum
}

// minSpeed and maxSpeed bound the speed of one backend server relative to the others of its service.
const minSpeed, maxSpeed = 0.25, 4.0

// speedsOf returns how fast each instance is, relative to the mean of the instances that mostly run the same route.
func speedsOf(instances []fleet.Instance) []float64 {
	sum, count := map[routing.RouteID]float64{}, map[routing.RouteID]float64{}
	for _, in := range instances {
		if in.IsFresh && in.UsualTime > 0 {
			sum[in.UsualRoute] += in.UsualTime.Seconds() * float64(in.Limit)
			count[in.UsualRoute] += float64(in.Limit)
		}
	}
	out := make([]float64, len(instances))
	for i, in := range instances {
		out[i] = 1
		if in.IsFresh && in.UsualTime > 0 && count[in.UsualRoute] > 0 {
			out[i] = min(maxSpeed, max(minSpeed, sum[in.UsualRoute]/count[in.UsualRoute]/in.UsualTime.Seconds()))
		}
	}
	return out
}

func (p *Planner) zoneOf(s request.ServiceID, zone request.ZoneID) *zoneLoad {
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
