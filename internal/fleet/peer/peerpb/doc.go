// Package peerpb is the generated form of peer.proto.
package peerpb

//go:generate protoc --go_out=. --go_opt=paths=source_relative peer.proto
