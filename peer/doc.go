// Package peer holds the messages and the gRPC service that nodes use between
// themselves. The code is generated from peer.proto and committed, so that a
// build needs no generator. To generate it again:
//
//	protoc --go_out=. --go_opt=paths=source_relative \
//	  --go-grpc_out=. --go-grpc_opt=paths=source_relative peer/peer.proto
package peer
