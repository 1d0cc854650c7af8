// Package policypb contains the generated code of step.proto: the log entries about policy changes.
package policypb

//go:generate protoc --go_out=. --go_opt=paths=source_relative step.proto
