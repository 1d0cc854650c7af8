// Package logring is the log of a process: what happened last is kept in memory and written out only when something
// goes wrong, because writing costs processor time.
package logring

import (
	"fmt"
	"io"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// DefaultBytes is the size of a ring for which none is given.
	DefaultBytes = 64 << 10
	// maxEntryBytes bounds one entry, so that a single long one does not push all others out. The rest of it is cut off.
	maxEntryBytes = 2 << 10
	// maxEntries bounds the entries kept, and so the memory for their lengths.
	maxEntries = 1024
	// dumpInterval is the least time between two dumps. It guards the processor against errors in a row.
	dumpInterval = time.Second
)

// New gives a logger that writes entries at Warn and above to out at once, and the ring in which it keeps all entries,
// of at most so many bytes (DefaultBytes if that is not above zero). An entry at Error or above writes the ring out.
func New(out io.Writer, capacity int) (*zap.Logger, *Ring) {
	if capacity <= 0 {
		capacity = DefaultBytes
	}
	ring := &Ring{WriteLevel: zapcore.WarnLevel, out: zapcore.Lock(zapcore.AddSync(out)), data: make([]byte, capacity)}
	encoder := zapcore.NewConsoleEncoder(zapcore.EncoderConfig{
		TimeKey:          "time",
		LevelKey:         "level",
		NameKey:          "name",
		MessageKey:       "message",
		LineEnding:       "\n",
		ConsoleSeparator: " ",
		EncodeTime:       encodeTime,
		EncodeLevel:      zapcore.CapitalLevelEncoder,
		EncodeDuration:   zapcore.StringDurationEncoder,
	})
	return zap.New(&core{encoder: encoder, ring: ring}), ring
}

// encodeTime writes the time of day in UTC, so that the logs of machines in different places can be laid side by side.
func encodeTime(t time.Time, line zapcore.PrimitiveArrayEncoder) {
	line.AppendString(t.UTC().Format("15:04:05.000"))
}

// core puts the entries of one logger into the ring.
type core struct {
	encoder zapcore.Encoder
	ring    *Ring
}

// Enabled says yes: entries of every level are kept.
func (c *core) Enabled(zapcore.Level) bool { return true }

// With gives a core whose entries carry the fields too, with the same ring.
func (c *core) With(fields []zapcore.Field) zapcore.Core {
	encoder := c.encoder.Clone()
	for _, f := range fields {
		f.AddTo(encoder)
	}
	return &core{encoder: encoder, ring: c.ring}
}

// Check takes every entry.
func (c *core) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	return checked.AddCore(e, c)
}

// Write keeps the entry. One at Error or above is written out with all before it, or alone if the last dump was less
// than dumpInterval ago; one at Warn is written alone.
func (c *core) Write(e zapcore.Entry, fields []zapcore.Field) error {
	line, err := c.encoder.EncodeEntry(e, fields)
	if err != nil {
		return err
	}
	defer line.Free()
	c.ring.append(line.Bytes())
	if e.Level >= zapcore.ErrorLevel {
		if text := c.ring.drain(e.Message, e.Time); text != nil {
			_, err = c.ring.out.Write(text)
			return err
		}
	}
	if e.Level >= c.ring.WriteLevel {
		_, err = c.ring.out.Write(line.Bytes())
	}
	return err
}

// Sync does nothing: what is to be written out has been, and the ring is not.
func (c *core) Sync() error { return nil }

// Ring is the last entries, oldest first, as they were encoded. It holds as many as fit into its bytes, and at most
// maxEntries.
type Ring struct {
	// WriteLevel is the level from which on entries are written out at once. It is set before the first entry.
	WriteLevel zapcore.Level
	out        zapcore.WriteSyncer

	mu       sync.Mutex // Guards what follows; nothing is written out under it.
	data     []byte     // The entries' bytes, from start on, round the end.
	start    int
	used     int
	lengths  [maxEntries]uint16 // The entries' lengths, from first on, round the end.
	first    int
	entries  int
	lastDump time.Time
}

// Dump writes the entries out and empties the ring, under a line that gives the reason. Within dumpInterval of the last
// dump it does nothing, and the entries stay for the next.
func (r *Ring) Dump(reason string) {
	if text := r.drain(reason, time.Now()); text != nil {
		// A log that cannot be written has nowhere to say so.
		_, _ = r.out.Write(text)
	}
}

// append adds an entry, and drops the oldest ones to make room.
func (r *Ring) append(line []byte) {
	limit := min(maxEntryBytes, len(r.data))
	truncated := len(line) > limit
	if truncated {
		line = line[:limit]
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.entries == maxEntries || r.used+len(line) > len(r.data) {
		length := int(r.lengths[r.first])
		r.start = (r.start + length) % len(r.data)
		r.used -= length
		r.first = (r.first + 1) % maxEntries
		r.entries--
	}
	at := (r.start + r.used) % len(r.data)
	fits := copy(r.data[at:], line)
	copy(r.data, line[fits:])
	r.used += len(line)
	if truncated {
		r.data[(r.start+r.used-1)%len(r.data)] = '\n'
	}
	r.lengths[(r.first+r.entries)%maxEntries] = uint16(len(line))
	r.entries++
}

// drain empties the ring and gives the text of a dump, nil within dumpInterval of the last one.
func (r *Ring) drain(reason string, now time.Time) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.lastDump.IsZero() && now.Sub(r.lastDump) < dumpInterval {
		return nil
	}
	r.lastDump = now
	text := fmt.Appendf(make([]byte, 0, r.used+len(reason)+64), "== daybook: %d entries up to: %s\n", r.entries, reason)
	upTo := min(r.start+r.used, len(r.data))
	text = append(text, r.data[r.start:upTo]...)
	text = append(text, r.data[:r.start+r.used-upTo]...)
	r.start, r.used, r.first, r.entries = 0, 0, 0, 0
	return text
}
