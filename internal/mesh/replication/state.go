package replication

// EntryKind is the type of an entry's content.
type EntryKind uint8

const (
	// EntryCommand marks an entry that holds a command of the application, or no command.
	EntryCommand EntryKind = iota
	// EntryMembership marks an entry that holds an encoded Membership. A replica uses the membership
	// as soon as it has appended the entry, before the entry is committed.
	EntryMembership
)

// Entry is one entry of the log.
type Entry struct {
	Index   Index     `json:"i"`
	Term    Term      `json:"v"`
	Kind    EntryKind `json:"k,omitempty"`
	Command []byte    `json:"c,omitempty"`
}

// Snapshot is the application's state after all entries up to and including Index were applied,
// together with the membership at Index. Term is the term of the entry at Index.
type Snapshot struct {
	Index      Index
	Term       Term
	Membership Membership
	Data       []byte
}

// HardState is the part of a replica's state that must be synced to disk before the replica sends a
// message that depends on it.
type HardState struct {
	// Term is the highest term that the replica has seen. The replica rejects messages of a lower
	// term.
	Term Term `json:"view"`
	// Vote is the candidate that the replica voted for in Term, or "" if it has not voted.
	Vote MemberID `json:"vote"`
}

// State is the complete state that a replica keeps on disk.
type State struct {
	ID        MemberID
	Cluster   ClusterID
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

// WriteBatch is a set of changes to a State that must be synced atomically before the messages of
// the same Ready are sent. The changes apply in this order: the entries from TruncateFrom on are
// deleted (unless TruncateFrom is 0), the snapshot is replaced and the entries up to Snapshot.Index
// are deleted, and Entries are appended. A nil HardState or Snapshot remains unchanged on disk.
type WriteBatch struct {
	HardState    *HardState
	Snapshot     *Snapshot
	TruncateFrom Index
	Entries      []Entry
}
