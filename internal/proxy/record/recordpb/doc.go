// Package recordpb has the Go types that protoc generates from record.proto.
package recordpb

//go:generate protoc --go_out=. --go_opt=paths=source_relative record.proto
