// Package agreepb contains the generated code of log.proto: the messages of the replicated log.
package agreepb

//go:generate protoc --go_out=. --go_opt=paths=source_relative log.proto
