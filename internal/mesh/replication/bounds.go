package replication

import (
	"math"
	"time"
)

// Timeouts of the protocol.
const (
	// HeartbeatInterval is the maximum time between two messages from a leader to a peer. Four
	// heartbeats fit into the shortest election timeout, so that the loss of a few heartbeats does
	// not cause an election.
	HeartbeatInterval = 120 * time.Millisecond
	// MinElectionTimeout and MaxElectionTimeout bound the random time without a message from a leader
	// after which a voter starts an election. They are longer than four heartbeat intervals, and
	// short enough to replace a failed leader within about a second. The spread makes simultaneous
	// elections unlikely.
	MinElectionTimeout = 500 * time.Millisecond
	MaxElectionTimeout = 900 * time.Millisecond
	// minElectionRetry and maxElectionRetry bound the random wait before the first pre-vote after a
	// start and between pre-votes. A pre-vote changes no state, so it may be repeated soon. The
	// spread is wider than a round trip, so that split votes do not repeat.
	minElectionRetry = 150 * time.Millisecond
	maxElectionRetry = 450 * time.Millisecond
	// ContactTimeout is the time without contact to a majority after which a leader steps down.
	// Callers that wait for this leader then get a result soon after another leader may have been
	// elected.
	ContactTimeout = 700 * time.Millisecond
	// leadershipTransferTimeout is the time after which a leader steps down if a leadership transfer
	// has not completed. It allows for two elections.
	leadershipTransferTimeout = 2 * MaxElectionTimeout
	// resendTimeout is the time after which unacknowledged entries or an unacknowledged snapshot
	// chunk are sent again. It covers a round trip and a disk sync on a slow machine.
	// resendTimeoutPerMiB is added per MiB of payload, so that large messages are not sent twice
	// over a slow link.
	resendTimeout       = 500 * time.Millisecond
	resendTimeoutPerMiB = time.Second
	// storageRetryInterval is the interval at which a failed write is retried.
	storageRetryInterval = 300 * time.Millisecond
)

// Size limits of the protocol.
const (
	// MaxCommandBytes is the maximum size of a command. It bounds the memory of one message.
	MaxCommandBytes = 8 << 20
	// maxAppendBytes bounds the entries of one message, although a single entry may be larger. Without
	// the limit, a message to a member that is far behind could hold the entire log.
	maxAppendBytes = 1 << 20
	// maxPendingProposals and maxPendingBytes bound the proposals that wait to be committed, so that
	// their memory remains bounded while there is no quorum.
	maxPendingProposals = 256
	maxPendingBytes     = 32 << 20
	// maxPendingReads bounds the reads that wait for the confirmation of their read round.
	maxPendingReads = 4096
	// compactAfterEntries and compactAfterBytes are the sizes of the log above which it is compacted
	// into a snapshot. They bound memory, disk space and startup time.
	compactAfterEntries = 8
	compactAfterBytes   = 1 << 20
	// maxRetainedEntries and maxRetainedBytes bound the log that a leader retains for a lagging
	// member. Entries that are still in the log can be sent individually. For entries that have been
	// compacted, the member needs the complete snapshot.
	maxRetainedEntries = 1024
	maxRetainedBytes   = 4 << 20
)

// maxDuration represents a time that is never reached, or an infinite age.
const maxDuration = time.Duration(math.MaxInt64)
