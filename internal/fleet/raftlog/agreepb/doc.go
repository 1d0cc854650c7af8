// Package agreepb is the generated form of log.proto: the messages of the agreed log.
package agreepb

//go:generate protoc --go_out=. --go_opt=paths=source_relative log.proto
