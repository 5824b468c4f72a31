// Package ingress serves HTTP/1.1 to clients that pipeline their requests.
//
// The server of net/http handles the requests of a connection sequentially, so a slow request delays those pipelined behind
// it. Server parses requests with net/http, runs GET and HEAD requests without a body concurrently, and writes the responses
// in the order of the requests:
//
//	s := ingress.New(ingress.Settings{Handler: h, Limits: limits, Log: log})
//	err := s.Serve(listener)
//
// For a graceful shutdown, Drain makes each connection close once its pending requests have responses, StopAccepting closes
// the listener, CloseIdle closes the idle connections, and Close closes the rest.
package ingress
