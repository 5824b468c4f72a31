package routing

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"github.com/sapphiretack/sapphiretack/request"
)

// Version orders configurations; a later one has a higher version.
type Version int64

// RouteID identifies a route on all nodes by a hash of its name.
type RouteID uint32

// IDOf returns the identifier of the route with the given name.
func IDOf(name string) RouteID {
	h := fnv.New32a()
	h.Write([]byte(name))
	return RouteID(h.Sum32())
}

// Rank orders routes by importance; 0 is the most important.
type Rank uint8

// Weighted is one part of a route that is divided among services.
type Weighted struct {
	Service request.ServiceID
	Weight  int
}

// Route says where the requests of a host and path prefix go.
type Route struct {
	ID     RouteID
	Name   string
	Host   string
	Prefix string
	// Services has one part, or several with their weights.
	Services []Weighted
	// IsRepeatable is set if a request may run more than once.
	IsRepeatable bool
	// Timeout bounds the wait of the client; 0 means no bound besides the client's own.
	Timeout time.Duration
	// Target is the time within which a response is worth most to the client.
	Target time.Duration
	Rank   Rank
	// MaxAttempts is the number of backend servers that one request may be sent to.
	MaxAttempts int
}

// Service says what is known of a service in advance.
type Service struct {
	ID         request.ServiceID
	HealthPath string
	// MaxConnections bounds the connections that a backend server accepts.
	MaxConnections int
}

// Limits bound what a client may send.
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

// NewConfiguration returns a configuration that can be searched.
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

// Match returns the route of the host with the longest prefix of the path.
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

// Route returns the route with the identifier.
func (c *Configuration) Route(id RouteID) (*Route, bool) {
	r, ok := c.byID[id]
	return r, ok
}

// Main returns the service that most requests of the route go to.
func (r *Route) Main() request.ServiceID {
	best := r.Services[0]
	for _, part := range r.Services[1:] {
		if part.Weight > best.Weight {
			best = part
		}
	}
	return best.Service
}
