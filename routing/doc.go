// Package routing holds the routing configuration of a deployment. It maps hosts and path prefixes to services and sets limits
// for each route.
//
//	c := routing.NewConfiguration(version, routes, services, limits)
//	if r, ok := c.Match("ledger.example", "/birds/17"); ok {
//		service := splitter.Pick(c.Version, r)
//	}
//
// A Configuration is immutable. A Holder stores the newest one of a process and ignores older versions.
package routing
