// Package routing holds the routing configuration of a deployment: which service runs the requests of a host and path
// prefix, and under which bounds.
//
//	c := routing.NewConfiguration(version, routes, services, limits)
//	if r, ok := c.Match("ledger.example", "/birds/17"); ok {
//		service := shares.Pick(r)
//	}
//
// A Configuration does not change after New. Holder keeps the newest one and never goes back to an older version.
package routing
