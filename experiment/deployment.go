package experiment

import (
	"fmt"
	"math"
	"time"

	"github.com/sapphiretack/sapphiretack/request"
)

// Service is one service of a deployment, with one instance in each zone.
type Service struct {
	Name        request.ServiceID
	Slots       int
	Connections int
	// ServiceTime is the mean service time of an attempt without its nested call.
	ServiceTime time.Duration
}

// Chain is the call path of an operation: each service calls the next one.
type Chain struct {
	Operation request.Operation
	Services  []request.ServiceID
	// Share is the fraction of the requests with this operation.
	Share float64
	// Timeout is how long callers wait for a response.
	Timeout time.Duration
}

// Deployment is a set of services at their stated size (design section 1) and the load on them.
type Deployment struct {
	Name       string
	Zones      []request.ZoneID
	Services   []Service
	Chains     []Chain
	Bottleneck request.ServiceID
	// ZoneDelay and ClientDelay are the one-way delays between zones and to clients.
	ZoneDelay   time.Duration
	ClientDelay time.Duration
	ColdStart   time.Duration
}

const (
	// localDelay is the one-way delay within a zone.
	localDelay = 100 * time.Microsecond
	// normalUtilization is the offered load before and after the trigger as a fraction of the capacity
	// of the bottleneck.
	normalUtilization = 0.8
	// relayUtilization is the utilization of the relay services of the deep chain at normal load. It
	// is high enough that a surge overloads each of them.
	relayUtilization = 0.6
	relayCount       = 18
	relayServiceTime = 2 * time.Millisecond
	deepChainShare   = 0.04
	customerCount    = 10
)

// classShares are the fractions of the classes in the offered load. At ten times the normal load,
// essential requests alone are 80% of the capacity.
var classShares = [request.ClassCount]float64{0.1, 0.3, 0.6}

// Golubarnik is the ledger of the pigeon fanciers' clubs.
var Golubarnik = newDeployment(Deployment{
	Name:  "golubarnik",
	Zones: []request.ZoneID{"plovdiv-a", "plovdiv-b", "stara-zagora"},
	Services: []Service{
		{Name: "registry", Slots: 110, Connections: 750, ServiceTime: 3 * time.Millisecond},
		{Name: "transfers", Slots: 110, Connections: 750, ServiceTime: 4 * time.Millisecond},
		{Name: "archives", Slots: 110, Connections: 750, ServiceTime: 4 * time.Millisecond},
		{Name: "racedesk", Slots: 30, Connections: 290, ServiceTime: 20 * time.Millisecond},
	},
	Bottleneck:  "racedesk",
	ZoneDelay:   time.Millisecond,
	ClientDelay: time.Millisecond,
	ColdStart:   2 * time.Second,
})

// Agenzia is the festival order desk.
var Agenzia = newDeployment(Deployment{
	Name:  "agenzia",
	Zones: []request.ZoneID{"palermo", "catania", "siracusa"},
	Services: []Service{
		{Name: "vetrina", Slots: 230, Connections: 1450, ServiceTime: 3 * time.Millisecond},
		{Name: "ordini", Slots: 230, Connections: 1450, ServiceTime: 5 * time.Millisecond},
		{Name: "archivio", Slots: 230, Connections: 1450, ServiceTime: 6 * time.Millisecond},
		{Name: "autorizza", Slots: 25, Connections: 250, ServiceTime: 15 * time.Millisecond},
	},
	Bottleneck:  "autorizza",
	ZoneDelay:   500 * time.Microsecond,
	ClientDelay: time.Millisecond,
	ColdStart:   2 * time.Second,
})

// Deployments lists the deployments.
var Deployments = []*Deployment{Golubarnik, Agenzia}

// newDeployment adds the chains: 2 to 6 deep over the main services, and one 22 deep over relay
// services. Each chain ends at the bottleneck, so that the capacity in whole requests does not depend
// on which chains complete.
func newDeployment(d Deployment) *Deployment {
	a, b, c, last := d.Services[0].Name, d.Services[1].Name, d.Services[2].Name, d.Services[3].Name
	second := time.Second
	d.Chains = []Chain{
		{Operation: "depth-2a", Services: []request.ServiceID{a, last}, Share: 0.18, Timeout: second},
		{Operation: "depth-2b", Services: []request.ServiceID{b, last}, Share: 0.18, Timeout: second},
		{Operation: "depth-3a", Services: []request.ServiceID{c, a, last}, Share: 0.15, Timeout: second},
		{Operation: "depth-3b", Services: []request.ServiceID{b, c, last}, Share: 0.15, Timeout: second},
		{Operation: "depth-4", Services: []request.ServiceID{a, b, c, last}, Share: 0.15, Timeout: second},
		{Operation: "depth-5", Services: []request.ServiceID{c, a, b, c, last}, Share: 0.08, Timeout: second},
		{Operation: "depth-6", Services: []request.ServiceID{a, c, b, a, c, last}, Share: 0.07, Timeout: second},
	}
	d.addDeepChain(a, b, c, last)
	return &d
}

func (d *Deployment) addDeepChain(tail ...request.ServiceID) {
	deep := Chain{Operation: "depth-22", Share: deepChainShare, Timeout: 2 * time.Second}
	rate := d.Capacity() * normalUtilization * deepChainShare
	below := 80 * time.Millisecond // approximate time of the main services and of the network below a relay
	relays := make([]Service, 0, relayCount)
	for i := range relayCount {
		hold := below + time.Duration(relayCount-i)*(relayServiceTime+2*localDelay)
		slots := math.Ceil(rate * hold.Seconds() / relayUtilization / float64(len(d.Zones)))
		name := request.ServiceID(fmt.Sprintf("relay-%02d", i+1))
		relays = append(relays, Service{Name: name, Slots: int(slots), Connections: 250, ServiceTime: relayServiceTime})
		deep.Services = append(deep.Services, name)
	}
	deep.Services = append(deep.Services, tail...)
	d.Services = append(d.Services, relays...)
	d.Chains = append(d.Chains, deep)
}

// Capacity returns the number of whole requests a second that the bottleneck can serve.
func (d *Deployment) Capacity() float64 {
	s := d.service(d.Bottleneck)
	return float64(s.Slots*len(d.Zones)) / s.ServiceTime.Seconds()
}

func (d *Deployment) service(id request.ServiceID) *Service {
	for i := range d.Services {
		if d.Services[i].Name == id {
			return &d.Services[i]
		}
	}
	return nil
}
