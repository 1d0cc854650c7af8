package replication

import (
	"math"
	"time"
)

// The protocol's timeouts.
const (
	// HeartbeatInterval is the longest time between two messages of a leader to a peer. Four
	// heartbeats fit into the shortest election timeout, so that lost ones cause no election.
	HeartbeatInterval = 120 * time.Millisecond
	// MinElectionTimeout and MaxElectionTimeout bound the random time without contact to a leader
	// after which a voter starts an election: above four heartbeats, and low enough that a dead
	// leader is replaced within about a second. The spread keeps voters from starting at once.
	MinElectionTimeout = 500 * time.Millisecond
	MaxElectionTimeout = 900 * time.Millisecond
	// minElectionRetry and maxElectionRetry bound the random wait after an election without a
	// winner. A pre-vote changes no state, so it may be repeated soon; the spread is wider than a
	// round trip, so that split votes don't repeat.
	minElectionRetry = 150 * time.Millisecond
	maxElectionRetry = 450 * time.Millisecond
	// ContactTimeout is how long a leader remains one without contact to a majority. It ends the
	// uncertainty of waiting callers soon after another leader may have been elected.
	ContactTimeout = 700 * time.Millisecond
	// leadershipTransferTimeout is how long a leader waits for the peer that it has asked to take
	// over, before it steps down: two elections.
	leadershipTransferTimeout = 2 * MaxElectionTimeout
	// resendTimeout and resendTimeoutPerMiB are how long entries or a snapshot chunk may remain
	// unanswered before they are sent again: a round trip and a sync on a slow machine, and more
	// for large ones, so that they aren't sent twice over a narrow link.
	resendTimeout       = 500 * time.Millisecond
	resendTimeoutPerMiB = time.Second
	// storageRetryInterval is how often a failed write is retried.
	storageRetryInterval = 300 * time.Millisecond
)

// The protocol's limits.
const (
	// MaxCommandBytes is the size of the largest command; it bounds the memory of one message.
	MaxCommandBytes = 8 << 20
	// maxAppendBytes bounds the entries of a message (a single entry may be larger), so that a
	// member far behind doesn't cost its leader the memory of the whole log.
	maxAppendBytes = 1 << 20
	// maxPendingProposals and maxPendingBytes bound the proposals that wait for a quorum, so that
	// they can't fill the memory while there is none.
	maxPendingProposals = 256
	maxPendingBytes     = 32 << 20
	// maxPendingReads bounds the reads that wait for their round.
	maxPendingReads = 4096
	// compactAfterEntries and compactAfterBytes are how much log is kept before a snapshot replaces
	// it; they bound memory, disk space and the time to start.
	compactAfterEntries = 8
	compactAfterBytes   = 1 << 20
	// maxRetainedEntries and maxRetainedBytes are how much log a leader retains at most for a
	// member that lags behind: what the member lacks need not be sent as a snapshot as long as it
	// is in the log.
	maxRetainedEntries = 1024
	maxRetainedBytes   = 4 << 20
)

// forever is later than any time.
const forever = time.Duration(math.MaxInt64)
