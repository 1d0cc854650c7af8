// Package accordpb is the generated form of accord.proto: the messages by which sidecars agree on a policy.
package accordpb

//go:generate protoc --go_out=. --go_opt=paths=source_relative accord.proto
