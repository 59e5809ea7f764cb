// Package wire holds the generated code of the protocol between entry
// instances on a published platform. Package mesh is its only user.
package wire

//go:generate protoc --go_out=. --go_opt=paths=source_relative --go-grpc_out=. --go-grpc_opt=paths=source_relative mesh.proto
