// Package policypb is the generated form of step.proto.
package policypb

//go:generate protoc --go_out=. --go_opt=paths=source_relative step.proto
