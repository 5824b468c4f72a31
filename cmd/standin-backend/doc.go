// Standin-backend runs a stand-in backend server for one instance of a
// deployment.
//
//	standin-backend --deployment deployments/golubarnik-small/deployment.json \
//	  --behaviors deployments/golubarnik-small/standin.json --instance racedesk-1
//
// It records its executions, which GET /admin/executions returns. On SIGTERM or
// SIGINT it drains: it refuses new requests and exits when the requests in
// flight have ended, or after 10 s.
package main
