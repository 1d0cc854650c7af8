// Package recordpb is the generated form of record.proto.
package recordpb

//go:generate protoc --go_out=. --go_opt=paths=source_relative record.proto
