// Package standin holds the stand-ins that this repository writes for the
// systems around a node: the platform and the backend server. They speak the
// published protocols and have an administration endpoint that makes them fail.
//
// The platform keeps its state in memory and serves the protocol of package
// platform:
//
//	p := standin.NewPlatform()
//	server := &http.Server{Handler: p.Handler()}
//
// GET and PUT of /admin/faults read and set what goes wrong:
//
//	{"latency_ms": 300, "lose_responses": 2}
//
// The certificate authority issues certificates for trials and tests of TLS.
//
// A backend server runs the operations of one service as its behavior says.
package standin
