package logring

import (
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap/zapcore"
)

const (
	// DefaultBytes is the capacity of a ring for which none is given.
	DefaultBytes = 64 << 10
	// maxEntryBytes bounds one entry, so that a single long one does not evict all others. Its end
	// is dropped.
	maxEntryBytes = 2 << 10
	// maxEntries bounds the entries kept, and so the memory for their lengths.
	maxEntries = 1024
	// dumpInterval is the least time between two dumps. It guards the processor against many errors in a row.
	dumpInterval = time.Second
	// dumpHeader begins a dump, with the number of entries and the reason. Its words stay: scripts
	// may look for them.
	dumpHeader = "== daybook: %d entries up to: %s\n"
)

// Ring is the last entries of a log, oldest first, as they were encoded. It keeps as many as fit
// into its capacity, and at most maxEntries.
type Ring struct {
	// WriteLevel is the level from which on entries are written out at once. It is set before the
	// first entry.
	WriteLevel zapcore.Level
	out        zapcore.WriteSyncer // locks by itself

	mu       sync.Mutex // guards the fields below; nothing is written out under it
	data     []byte     // the entries' bytes, from start on, wrapping at the end
	start    int
	used     int
	lengths  [maxEntries]uint16 // the entries' lengths, from first on, wrapping at the end
	first    int
	entries  int
	lastDump time.Time
}

// Dump writes the entries out and empties the ring, under a line that gives the reason. Within
// dumpInterval of the last dump it does nothing, and the entries stay for the next.
func (r *Ring) Dump(reason string) {
	if text := r.drain(reason, time.Now()); text != nil {
		// There is nowhere to report that the log itself can't be written.
		_, _ = r.out.Write(text)
	}
}

// append adds an entry, and evicts the oldest ones to make space.
func (r *Ring) append(line []byte) {
	limit := min(maxEntryBytes, len(r.data))
	truncated := len(line) > limit
	if truncated {
		line = line[:limit]
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.entries == maxEntries || r.used+len(line) > len(r.data) {
		r.evictOldest()
	}
	end := (r.start + r.used) % len(r.data)
	untilWrap := copy(r.data[end:], line)
	copy(r.data, line[untilWrap:])
	r.used += len(line)
	if truncated {
		r.data[(r.start+r.used-1)%len(r.data)] = '\n'
	}
	r.lengths[(r.first+r.entries)%maxEntries] = uint16(len(line))
	r.entries++
}

// evictOldest drops the oldest entry. r.mu is held.
func (r *Ring) evictOldest() {
	length := int(r.lengths[r.first])
	r.start = (r.start + length) % len(r.data)
	r.used -= length
	r.first = (r.first + 1) % maxEntries
	r.entries--
}

// drain empties the ring and returns the text of a dump, nil within dumpInterval of the last one.
func (r *Ring) drain(reason string, now time.Time) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.lastDump.IsZero() && now.Sub(r.lastDump) < dumpInterval {
		return nil
	}
	r.lastDump = now
	buffer := make([]byte, 0, len(dumpHeader)+len(reason)+r.used+64)
	text := fmt.Appendf(buffer, dumpHeader, r.entries, reason)
	untilWrap := min(r.start+r.used, len(r.data))
	text = append(text, r.data[r.start:untilWrap]...)
	text = append(text, r.data[:r.start+r.used-untilWrap]...)
	r.start, r.used, r.first, r.entries = 0, 0, 0, 0
	return text
}
