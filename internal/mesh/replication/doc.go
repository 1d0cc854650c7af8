// Package replication is the replicated log of the core machines: opaque commands in one order,
// on the disks of a set of voters that the log itself changes.
//
// The protocol is Raft with pre-votes, leader leases against disruptive candidates, linearizable
// reads without log entries (read index), learners, and membership changes by joint consensus.
// docs/design/control.md has the arguments.
//
// The package owns the log, the term and the vote, in memory and on disk. It promises that every
// committed entry is applied in the same order on every replica, and that an acknowledged command
// survives the loss of any minority of the voters' disks.
//
// Replica is the protocol's state machine: no I/O, no goroutine, no clock, and not safe for
// concurrent use. Store is its disk. Node runs one Replica over one Storage in a goroutine of its
// own; its methods may be called from any goroutine. Transport carries messages by HTTP and may be
// called from any goroutine, too.
package replication
