package replication

// entryLog is the in-memory log. It consists of a snapshot and the entries after the snapshot,
// without gaps.
type entryLog struct {
	snapshot Snapshot
	entries  []Entry
	// bytes is the total size of the commands in entries.
	bytes int
}

// commandBytes returns the total size of the commands in entries.
func commandBytes(entries []Entry) int {
	n := 0
	for i := range entries {
		n += len(entries[i].Command)
	}
	return n
}

func (l *entryLog) lastIndex() Index { return l.snapshot.Index + Index(len(l.entries)) }

// term returns the term of the entry at index. ok is false if the log does not contain the index.
func (l *entryLog) term(index Index) (term Term, ok bool) {
	switch {
	case index == l.snapshot.Index:
		return l.snapshot.Term, true
	case index < l.snapshot.Index || index > l.lastIndex():
		return 0, false
	}
	return l.entries[index-l.snapshot.Index-1].Term, true
}

func (l *entryLog) lastTerm() Term {
	term, _ := l.term(l.lastIndex())
	return term
}

// matches reports whether the log contains an entry with the given index and term.
func (l *entryLog) matches(index Index, term Term) bool {
	found, ok := l.term(index)
	return ok && found == term
}

// entriesFrom returns the entries from index on whose commands fit into limit bytes. It returns at
// least one entry if the log has an entry at index.
func (l *entryLog) entriesFrom(index Index, limit int) []Entry {
	if index <= l.snapshot.Index || index > l.lastIndex() {
		return nil
	}
	rest := l.entries[index-l.snapshot.Index-1:]
	n, size := 0, 0
	for n < len(rest) && (n == 0 || size+len(rest[n].Command) <= limit) {
		size += len(rest[n].Command)
		n++
	}
	return rest[:n:n]
}

// entriesBetween returns the entries with indexes above after, up to and including end.
func (l *entryLog) entriesBetween(after, end Index) []Entry {
	if end <= after || after < l.snapshot.Index {
		return nil
	}
	return l.entries[after-l.snapshot.Index : end-l.snapshot.Index : end-l.snapshot.Index]
}

func (l *entryLog) append(entries ...Entry) {
	l.bytes += commandBytes(entries)
	l.entries = append(l.entries, entries...)
}

// truncate deletes the entries from index on. It copies the remaining entries, because slices
// returned by entriesFrom and entriesBetween may still be in use.
func (l *entryLog) truncate(index Index) {
	l.replaceEntries(l.entries[:index-l.snapshot.Index-1])
}

// installSnapshot replaces the entire log with a snapshot.
func (l *entryLog) installSnapshot(s Snapshot) {
	*l = entryLog{snapshot: s}
}

// compact replaces the entries up to and including the snapshot's index with the snapshot.
func (l *entryLog) compact(s Snapshot) {
	l.replaceEntries(l.entries[s.Index-l.snapshot.Index:])
	l.snapshot = s
}

// replaceEntries sets the log's entries to a copy of entries.
func (l *entryLog) replaceEntries(entries []Entry) {
	l.entries = append(make([]Entry, 0, len(entries)), entries...)
	l.bytes = commandBytes(l.entries)
}
