// Package logring is the log of a process: the last entries are kept in memory, and written out
// only when something goes wrong, because writing costs processor time.
//
// It starts no goroutines. Loggers and the Ring may be used from any goroutine.
package logring

import (
	"io"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// New returns a logger that writes entries at Warn and above to out at once, and the ring in which
// it keeps all entries, of at most capacity bytes (DefaultBytes if that is not above zero). An
// entry at Error or above dumps the ring.
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

// encodeTime writes the time of day in UTC, so that the logs of machines in different places can be
// compared.
func encodeTime(t time.Time, line zapcore.PrimitiveArrayEncoder) {
	line.AppendString(t.UTC().Format("15:04:05.000"))
}

// core is the zapcore.Core of one logger: it puts its entries into the ring.
type core struct {
	encoder zapcore.Encoder
	ring    *Ring
}

// Enabled returns true: entries of every level are kept.
func (c *core) Enabled(zapcore.Level) bool { return true }

// With returns a core whose entries carry the fields too, with the same ring.
func (c *core) With(fields []zapcore.Field) zapcore.Core {
	encoder := c.encoder.Clone()
	for _, f := range fields {
		f.AddTo(encoder)
	}
	return &core{encoder: encoder, ring: c.ring}
}

// Check adds the core to the entry's, whatever its level.
func (c *core) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	return checked.AddCore(e, c)
}

// Write keeps the entry. One at Error or above is dumped with all before it, or written alone if
// the last dump was less than dumpInterval ago; one at the ring's WriteLevel is written alone.
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
