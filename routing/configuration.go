package routing

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"github.com/sapphiretack/sapphiretack/request"
)

// Version is the version of a configuration; newer configurations have higher versions.
type Version int64

// RouteID is a hash of the name of a route, and so the same on all nodes.
type RouteID uint32

// IDOf returns the ID of the route with the given name.
func IDOf(name string) RouteID {
	h := fnv.New32a()
	h.Write([]byte(name))
	return RouteID(h.Sum32())
}

// Rank is the importance of a route; 0 is the most important.
type Rank uint8

// WeightedService is a service with its weight in a route that is split among services.
type WeightedService struct {
	Service request.ServiceID
	Weight  int
}

// Route maps a host and path prefix to services.
type Route struct {
	ID     RouteID
	Name   string
	Host   string
	Prefix string
	// Services has at least one element; weights matter only if there are several.
	Services []WeightedService
	// IsIdempotent is set if requests are idempotent, so that they may run more than once.
	IsIdempotent bool
	// Timeout is the maximum time that the client waits; 0 means that only the client's own timeout applies.
	Timeout time.Duration
	// TargetLatency is the latency up to which a response has its full value to the client.
	TargetLatency time.Duration
	Rank          Rank
	// MaxAttempts is the maximum number of backend servers to which a request may be sent.
	MaxAttempts int
}

// Service holds the configured properties of a service.
type Service struct {
	ID         request.ServiceID
	HealthPath string
	// MaxConnections is the maximum number of connections that a backend server accepts.
	MaxConnections int
}

// Limits bound the size and duration of client requests.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one version of the routes, services and limits.
type Configuration struct {
	Version  Version
	Routes   []Route
	Services map[request.ServiceID]Service
	Limits   Limits

	byHost map[string][]*Route // longest prefix first
	byID   map[RouteID]*Route
}

// NewConfiguration returns a configuration that is indexed by host and route ID; it takes ownership of routes.
func NewConfiguration(v Version, routes []Route, services []Service, l Limits) *Configuration {
	c := &Configuration{
		Version: v, Routes: routes, Limits: l,
		Services: make(map[request.ServiceID]Service, len(services)),
		byHost:   map[string][]*Route{},
		byID:     make(map[RouteID]*Route, len(routes)),
	}
	for _, s := range services {
		c.Services[s.ID] = s
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		c.byID[r.ID] = r
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
	for _, list := range c.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return c
}

// Match returns the route of the host with the longest matching path prefix; the port and case of the host are ignored.
func (c *Configuration) Match(host, path string) (*Route, bool) {
	if name, _, hasPort := strings.Cut(host, ":"); hasPort {
		host = name
	}
	for _, r := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Route returns the route with the given ID.
func (c *Configuration) Route(id RouteID) (*Route, bool) {
	r, ok := c.byID[id]
	return r, ok
}

// MainService returns the service with the highest weight, the first of several.
func (r *Route) MainService() request.ServiceID {
	best := r.Services[0]
	for _, part := range r.Services[1:] {
		if part.Weight > best.Weight {
			best = part
		}
	}
	return best.Service
}
