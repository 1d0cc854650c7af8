package replication

// entryLog is the log in memory: a snapshot and the entries after it, without gaps.
type entryLog struct {
	snapshot Snapshot
	entries  []Entry
	bytes    int
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

// matches says whether the entry at index is the one numbered in term.
func (l *entryLog) matches(index Index, term Term) bool {
	found, ok := l.term(index)
	return ok && found == term
}

// entriesFrom returns the entries from index on, as many as fit into limit bytes and at least one if there is one.
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

// entriesBetween returns the entries after index up to end.
func (l *entryLog) entriesBetween(after, end Index) []Entry {
	if end <= after || after < l.snapshot.Index {
		return nil
	}
	return l.entries[after-l.snapshot.Index : end-l.snapshot.Index : end-l.snapshot.Index]
}

func (l *entryLog) append(entries ...Entry) {
	for i := range entries {
		l.bytes += len(entries[i].Command)
	}
	l.entries = append(l.entries, entries...)
}

// truncate drops the entries from index on. The rest is copied, since entries
// handed out before may still be on their way.
func (l *entryLog) truncate(index Index) {
	keep := l.entries[:index-l.snapshot.Index-1]
	l.entries = append(make([]Entry, 0, len(keep)), keep...)
	l.countBytes()
}

// installSnapshot puts a snapshot in place of everything.
func (l *entryLog) installSnapshot(s Snapshot) {
	*l = entryLog{snapshot: s}
}

// compact puts a snapshot in place of the entries up to its index.
func (l *entryLog) compact(s Snapshot) {
	rest := l.entries[s.Index-l.snapshot.Index:]
	l.entries = append(make([]Entry, 0, len(rest)), rest...)
	l.snapshot = s
	l.countBytes()
}

func (l *entryLog) countBytes() {
	l.bytes = 0
	for i := range l.entries {
		l.bytes += len(l.entries[i].Command)
	}
}
