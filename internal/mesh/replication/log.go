package replication

// entryLog is the log in memory: a snapshot and the entries after it, without gaps.
type entryLog struct {
	snapshot Snapshot
	entries  []Entry
	// bytes is the total size of the entries' commands.
	bytes int
}

// commandBytes is the total size of the entries' commands.
func commandBytes(entries []Entry) int {
	n := 0
	for i := range entries {
		n += len(entries[i].Command)
	}
	return n
}

func (l *entryLog) lastIndex() Index { return l.snapshot.Index + Index(len(l.entries)) }

// term returns the term of the entry at index; ok is false when the log doesn't hold it.
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

// matches reports whether the log holds an entry at index that was numbered in term.
func (l *entryLog) matches(index Index, term Term) bool {
	found, ok := l.term(index)
	return ok && found == term
}

// entriesFrom returns the entries from index on, as many as fit into limit bytes, and at least one
// if there is one.
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

// entriesBetween returns the entries after index after, up to and including end.
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

// truncate drops the entries from index on. The rest is copied, because entries that were returned
// before may still be in flight.
func (l *entryLog) truncate(index Index) {
	l.replaceEntries(l.entries[:index-l.snapshot.Index-1])
}

// installSnapshot replaces everything by a snapshot.
func (l *entryLog) installSnapshot(s Snapshot) {
	*l = entryLog{snapshot: s}
}

// compact replaces the entries up to the snapshot's index by the snapshot.
func (l *entryLog) compact(s Snapshot) {
	l.replaceEntries(l.entries[s.Index-l.snapshot.Index:])
	l.snapshot = s
}

// replaceEntries makes a copy of entries the log's.
func (l *entryLog) replaceEntries(entries []Entry) {
	l.entries = append(make([]Entry, 0, len(entries)), entries...)
	l.bytes = commandBytes(l.entries)
}
