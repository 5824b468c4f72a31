// Package ingress serves HTTP/1.1 to clients that pipeline their requests.
//
// The server of net/http handles the requests of one connection one after another, so a slow request delays those that
// were sent behind it. Server parses requests with net/http, runs those without a body side by side, and writes the
// responses in the order of the requests:
//
//	s := ingress.New(ingress.Settings{Handler: h, Limits: limits, Log: log})
//	err := s.Serve(listener)
//
// Drain makes each connection close after its next response; Close ends idle connections at once.
package ingress
