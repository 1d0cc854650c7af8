// Package replication implements the replicated log of the core machines. The log holds opaque
// commands of the application in a single order and is stored on the disks of a set of voters. The
// set of voters is itself changed through log entries.
//
// The protocol is Raft with pre-votes, leader leases (a voter that has recently heard from its leader
// rejects other candidates), linearizable reads without log entries (read index), learners, and
// membership changes by joint consensus. docs/design/control.md explains the design.
//
// The package manages the log, the term and the vote, in memory and on disk. It guarantees that
// every replica applies the committed entries in the same order, and that an acknowledged command
// survives the loss of any minority of the voters' disks.
//
// Replica is the state machine of the protocol. It performs no I/O, starts no goroutine, reads no
// clock, and is not safe for concurrent use. Store keeps a replica's state on disk. Node runs one
// Replica on one Storage in a dedicated goroutine. Transport carries messages between members over
// HTTP. The methods of Node and Transport are safe for concurrent use.
package replication
