// Package standin provides test doubles for the systems around a node: the
// platform's store, backend servers and a certificate authority. They speak the
// published protocols and can be told to fail.
//
// Platform keeps its state in memory and serves the protocol of package
// platform:
//
//	p := standin.NewPlatform()
//	server := &http.Server{Handler: p.Handler()}
//
// GET and PUT of /admin/faults read and set the faults to inject:
//
//	{"latency_ms": 300, "lose_responses": 2}
//
// Application is a backend server that speaks the headers of the users'
// platform. Backend is a backend server that speaks the Sapphiretack headers; it
// runs the operations of one service as its Behavior says.
//
// Authority issues certificates for trials and tests of TLS.
package standin
