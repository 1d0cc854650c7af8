package replication

// EntryKind says what an entry holds.
type EntryKind uint8

const (
	// EntryCommand holds a command of the application, or none at all.
	EntryCommand EntryKind = iota
	// EntryMembership holds a Membership, which is in force as soon as the entry is appended.
	EntryMembership
)

// Entry is one position of the log.
type Entry struct {
	Index   Index     `json:"i"`
	Term    Term      `json:"v"`
	Kind    EntryKind `json:"k,omitempty"`
	Command []byte    `json:"c,omitempty"`
}

// Snapshot is the application's state after every entry up to Index, and the membership there.
type Snapshot struct {
	Index      Index
	Term       Term
	Membership Membership
	Data       []byte
}

// HardState must be synced to disk before a message goes out that depends on it.
type HardState struct {
	// Term is the highest term that the replica has seen; messages of a lower one are rejected.
	Term Term `json:"view"`
	// Vote is the candidate that the replica voted for in Term, "" for none.
	Vote MemberID `json:"vote"`
}

// State is everything that a replica keeps on disk.
type State struct {
	ID        MemberID
	Cluster   ClusterID
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

// WriteBatch is what must be synced atomically before the messages of the same Ready are sent.
// First everything from TruncateFrom on is dropped (when it isn't 0), then everything up to
// Snapshot.Index, then Entries are written.
type WriteBatch struct {
	HardState    *HardState
	Snapshot     *Snapshot
	TruncateFrom Index
	Entries      []Entry
}
