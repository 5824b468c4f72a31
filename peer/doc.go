// Package peer defines the messages and the gRPC service of the protocol between
// nodes. The Go code is generated from peer.proto and committed, so that a build
// does not need protoc. To regenerate it:
//
//	protoc --go_out=. --go_opt=paths=source_relative \
//	  --go-grpc_out=. --go-grpc_opt=paths=source_relative peer/peer.proto
package peer
