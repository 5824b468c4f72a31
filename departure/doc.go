// Package departure remembers which incarnations of the backend server beside a node have left, so that the node does not take a late report
// of one of them, or a false health check, for a sign that it serves again.
//
// A Verifier decides which incarnations a node may use after a restart although nothing is known of them. Both it and a Log are plain values
// without I/O. Package mesh fills the Log from reports and responses of the backend server, from the store and from other
// nodes, and keeps the departures in the store.
package departure
