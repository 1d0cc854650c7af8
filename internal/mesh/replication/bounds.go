package replication

import (
	"math"
	"time"
)

// The times and bounds of the protocol.
const (
	// HeartbeatInterval is how often a leader is heard at least. Four heartbeats fit into the shortest
	// election time, so that lost ones cause no election.
	HeartbeatInterval = 120 * time.Millisecond
	// MinElectionTimeout and MaxElectionTimeout bound the random silence after which a voter asks for votes: above
	// four heartbeats, and low enough that a dead leader is replaced within about a second. The
	// spread keeps voters from asking all at once.
	MinElectionTimeout = 500 * time.Millisecond
	MaxElectionTimeout = 900 * time.Millisecond
	// minElectionRetry and maxElectionRetry bound the random wait after an election that came to nothing. A pre-vote
	// disturbs nobody, so it may come again soon; the spread is wider than a round trip, so that
	// split votes don't repeat.
	minElectionRetry = 150 * time.Millisecond
	maxElectionRetry = 450 * time.Millisecond
	// ContactTimeout is how long a leader stays one without hearing from a majority. It ends its waiting
	// callers' uncertainty soon after others may have chosen anew.
	ContactTimeout = 700 * time.Millisecond
	// leadershipTransferTimeout is how long a leader that has asked another to take over waits for it: two elections.
	leadershipTransferTimeout = 2 * MaxElectionTimeout
	// resendTimeout and resendTimeoutPerMiB are how long entries or a piece of a snapshot may be on their way
	// before they are sent again: a round trip and a sync on a slow machine, and more for large ones
	// so that they aren't sent twice over a narrow link.
	resendTimeout       = 500 * time.Millisecond
	resendTimeoutPerMiB = time.Second
	// storageRetryInterval is how often a refused write is tried again.
	storageRetryInterval = 300 * time.Millisecond

	// MaxCommandBytes is the largest command, which bounds what one message can cost in memory.
	MaxCommandBytes = 8 << 20
	// maxAppendBytes bounds the entries of a message (one entry may be larger), so that a member far
	// behind doesn't cost its leader the memory of the whole log.
	maxAppendBytes = 1 << 20
	// maxPendingProposals and maxPendingBytes bound what waits for a quorum, so that proposals can't pile up
	// in memory while there is none.
	maxPendingProposals = 256
	maxPendingBytes     = 32 << 20
	// maxPendingReads bounds the reads that wait for their round.
	maxPendingReads = 4096
	// compactAfterEntries and compactAfterBytes are how much log is kept before a snapshot takes its place; they
	// bound memory, disk and the time to start.
	compactAfterEntries = 8
	compactAfterBytes   = 1 << 20
	// maxRetainedEntries and maxRetainedBytes are how much log a leader keeps at most for a member that is
	// behind: as long as it is there, what the member lacks need not go as another snapshot.
	maxRetainedEntries = 1024
	maxRetainedBytes   = 4 << 20
)

// forever is later than any time.
const forever = time.Duration(math.MaxInt64)
