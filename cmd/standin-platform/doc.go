// Standin-platform runs the stand-in platform: a transactional table and an
// object store in memory, on a loopback address.
//
//	standin-platform --listen 127.0.0.1:7000
//	curl -X PUT -d '{"latency_ms": 300, "lose_responses": 1}' http://127.0.0.1:7000/admin/faults
//
// The second command injects faults. The process exits on SIGTERM or SIGINT; its
// state is lost.
package main
