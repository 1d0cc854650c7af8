// Package fleetlog sums what the logs of many sidecars say, second by second: a pattern that is harmless in one log
// shows only in the sum of all.
//
// It reads what log/slog writes for the daemon, in both of its text forms. The messages that it knows are those of
// packages daemon, engine, fleet and policy: where one is reworded there, its pattern here follows. A line that is not
// the daemon's is counted and skipped. A Fleet belongs to one goroutine.
package fleetlog
