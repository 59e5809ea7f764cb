// Package wire contains the generated code of the protocol between entry
// instances. Only package peer uses it.
package wire

//go:generate protoc --go_out=. --go_opt=paths=source_relative --go-grpc_out=. --go-grpc_opt=paths=source_relative peer.proto
