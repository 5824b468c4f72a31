// Standin-platform runs the stand-in platform on a loopback address: versioned
// rows, a change feed and blobs in memory.
//
//	standin-platform --listen 127.0.0.1:7000
//	curl -X PUT -d '{"latency_ms": 300, "lose_responses": 1}' http://127.0.0.1:7000/admin/faults
//
// The second command injects faults. The process exits on SIGTERM or SIGINT; its
// state is lost.
package main
