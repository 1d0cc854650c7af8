// Package cluster decides which core machines vote in the replicated log, which follow it as
// learners, and when one replaces another (Consul: autopilot).
//
// MemberList owns what the core machines announce of themselves; its methods may be called from any
// goroutine. Planner and View decide on changes of the voters and aren't safe for concurrent use.
// The package does no I/O and reads no clock: times are durations since the start of the caller's
// process. Its decisions take effect as membership changes in the log, and in no other way.
package cluster
