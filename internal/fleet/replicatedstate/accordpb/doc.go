// Package accordpb contains the generated code of accord.proto: the messages by which sidecars replicate the
// policy.
package accordpb

//go:generate protoc --go_out=. --go_opt=paths=source_relative accord.proto
