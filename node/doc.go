// Package node is the process that runs beside a backend server. It turns HTTP
// requests, gRPC messages and timers into events for the decision packages, and
// carries out the actions that they return:
//
//	n, err := node.New(node.Dependencies{
//		Settings: s, Log: log, Table: table, Spans: provider,
//	})
//	if err != nil {
//		return err
//	}
//	return n.Run(ctx) // until ctx ends; then the node drains and returns
//
// The tables are shared by the requests and by a pool of workers. Each has one
// mutex, and a goroutine that needs two takes them in this order: sessions,
// crashes, members, routes, destination, requests, execution. No mutex is held
// during input or output.
package node
