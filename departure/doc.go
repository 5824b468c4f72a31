// Package departure remembers which incarnations of the backend server beside a node have left, so that the node does not take a late report
// of one of them, or a false health check, for a sign that it serves again.
//
// A Log is a plain value without I/O. Package mesh fills it from reports and responses of the backend server, from the store and from other
// nodes, and keeps the departures in the store.
package departure
