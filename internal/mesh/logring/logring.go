// Package logring provides the log of a process. It keeps the last entries in memory and writes them out only after an
// error, because writing every entry would cost too much processor time.
//
// The package starts no goroutines. Loggers and rings are safe for concurrent use.
package logring

import (
	"io"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// New returns a logger and its ring. The ring keeps the last entries of all levels, in at most capacity bytes, or
// DefaultBytes if capacity is not positive. The logger writes an entry at level Warn or above to out immediately. An
// entry at level Error or above dumps the ring to out.
func New(out io.Writer, capacity int) (*zap.Logger, *Ring) {
	if capacity <= 0 {
		capacity = DefaultBytes
	}
	ring := &Ring{
		WriteLevel: zapcore.WarnLevel,
		out:        zapcore.Lock(zapcore.AddSync(out)),
		data:       make([]byte, capacity),
	}
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

// encodeTime writes the time of day in UTC, so that the logs of machines in different time zones can be compared.
func encodeTime(t time.Time, line zapcore.PrimitiveArrayEncoder) {
	line.AppendString(t.UTC().Format("15:04:05.000"))
}

// core is the zapcore.Core of a logger. It appends the logger's entries to the ring.
type core struct {
	encoder zapcore.Encoder
	ring    *Ring
}

// Enabled returns true, because the ring keeps entries of every level.
func (c *core) Enabled(zapcore.Level) bool { return true }

// With returns a core that adds the fields to its entries and uses the same ring.
func (c *core) With(fields []zapcore.Field) zapcore.Core {
	encoder := c.encoder.Clone()
	for _, f := range fields {
		f.AddTo(encoder)
	}
	return &core{encoder: encoder, ring: c.ring}
}

// Check adds the core to the cores of the entry, whatever the entry's level.
func (c *core) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	return checked.AddCore(e, c)
}

// Write appends an entry to the ring. An entry at level Error or above dumps the ring, unless the last dump was less
// than dumpInterval ago. Any other entry at the ring's WriteLevel or above is written out alone.
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

// Sync does nothing: Write does not buffer what it writes out, and the entries in the ring stay in memory.
func (c *core) Sync() error { return nil }
