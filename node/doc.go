// Package node implements the process that runs beside a backend server. It
// translates HTTP requests, gRPC messages and timers into events for the state
// machines of the other packages, and performs the actions that they return:
//
//	n, err := node.New(node.Dependencies{
//		Settings: s, Log: log, Table: table, TraceProvider: provider,
//	})
//	if err != nil {
//		return err
//	}
//	return n.Run(ctx) // until ctx ends; then the node drains and returns
//
// The tables are shared by the request handlers and a pool of workers. Each table
// has one mutex. A goroutine that needs two of them locks in this order: sessions,
// quarantines, membership, routes, destination, retryBudgets, execution. No mutex
// is held during I/O.
package node
