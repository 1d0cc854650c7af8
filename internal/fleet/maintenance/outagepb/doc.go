// Package outagepb is the generated form of turn.proto.
package outagepb

//go:generate protoc --go_out=. --go_opt=paths=source_relative turn.proto
