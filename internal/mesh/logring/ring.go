package logring

import (
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap/zapcore"
)

const (
	// DefaultBytes is the default capacity of a ring.
	DefaultBytes = 64 << 10
	// maxEntryBytes is the maximum size of an entry. A longer entry is truncated, so that it does not evict all others.
	maxEntryBytes = 2 << 10
	// maxEntries is the maximum number of entries. It bounds the memory for their lengths.
	maxEntries = 1024
	// dumpInterval is the minimum time between two dumps. It limits the processor time that a series of errors uses.
	dumpInterval = time.Second
	// dumpHeader is the first line of a dump, with the number of entries and the reason. Operators' scripts may search
	// for its text.
	dumpHeader = "== daybook: %d entries up to: %s\n"
)

// Ring holds the last encoded entries of a log, the oldest first. It keeps as many entries as fit into its capacity,
// but at most maxEntries.
type Ring struct {
	// WriteLevel is the lowest level at which entries are written out immediately. It must be set before the first
	// entry.
	WriteLevel zapcore.Level
	out        zapcore.WriteSyncer // safe for concurrent use

	mu       sync.Mutex         // guards the fields below; it is not held while writing to out
	data     []byte             // circular buffer with the bytes of the entries
	start    int                // index in data of the oldest entry
	used     int                // number of bytes in use
	lengths  [maxEntries]uint16 // circular buffer with the lengths of the entries in bytes
	first    int                // index in lengths of the oldest entry
	entries  int                // number of entries
	lastDump time.Time
}

// Dump writes the entries to the output, after a header line with the reason, and empties the ring. If the last dump
// was less than dumpInterval ago, Dump does nothing, and the entries are kept for the next dump.
func (r *Ring) Dump(reason string) {
	if text := r.drain(reason, time.Now()); text != nil {
		// A write error is ignored, because the log is where it would be reported.
		_, _ = r.out.Write(text)
	}
}

// append adds an entry, and evicts the oldest entries if there is not enough space.
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

// evictOldest removes the oldest entry. The caller must hold r.mu.
func (r *Ring) evictOldest() {
	length := int(r.lengths[r.first])
	r.start = (r.start + length) % len(r.data)
	r.used -= length
	r.first = (r.first + 1) % maxEntries
	r.entries--
}

// drain empties the ring and returns the text of a dump. It returns nil if the last dump was less than dumpInterval
// ago.
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
