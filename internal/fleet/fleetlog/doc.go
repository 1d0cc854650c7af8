// Package fleetlog sums the events in the logs of many sidecars by second. It shows patterns that are harmless in a
// single log and become visible only in the sum of all logs.
//
// It reads lines that log/slog writes for the daemon, in both of its text forms. It recognises messages of the
// packages daemon, engine, fleet and policy: a pattern here has to change together with the message there. Lines
// that the daemon has not written are counted and skipped. A Fleet must be used by one goroutine at a time.
package fleetlog
