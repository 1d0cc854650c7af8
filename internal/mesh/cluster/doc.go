// Package cluster decides which core machines vote in the replicated log, which follow the log as
// learners, and when a learner replaces a voter. Consul calls this function autopilot.
//
// MemberList holds the announcements of the core machines; its methods are safe for concurrent use.
// Planner and View decide on changes of the voters and are not safe for concurrent use. The package does
// no I/O and reads no clock: times are durations since the start of the caller's process. The caller
// carries out the package's decisions as membership changes in the log.
package cluster
