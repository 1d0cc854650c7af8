package logring

import (
	"context"
	"log/slog"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// NewSlog returns a slog.Logger for code that is shared with the daemon and logs by log/slog: its
// entries go to the ring of the zap logger.
func NewSlog(to *zap.Logger) *slog.Logger { return slog.New(slogHandler{core: to.Core()}) }

// slogHandler is a slog.Handler over the core of a zap logger.
type slogHandler struct {
	core zapcore.Core
}

// Enabled reports whether entries of the level are kept.
func (h slogHandler) Enabled(_ context.Context, l slog.Level) bool {
	return h.core.Enabled(zapLevel(l))
}

// Handle logs a record.
func (h slogHandler) Handle(_ context.Context, r slog.Record) error {
	fields := make([]zap.Field, 0, r.NumAttrs())
	r.Attrs(func(a slog.Attr) bool {
		fields = append(fields, zap.Any(a.Key, a.Value.Any()))
		return true
	})
	return h.core.Write(zapcore.Entry{Level: zapLevel(r.Level), Time: r.Time, Message: r.Message}, fields)
}

// WithAttrs returns a handler whose entries carry the attributes too.
func (h slogHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	fields := make([]zap.Field, 0, len(attrs))
	for _, a := range attrs {
		fields = append(fields, zap.Any(a.Key, a.Value.Any()))
	}
	return slogHandler{core: h.core.With(fields)}
}

// WithGroup returns the same handler: keys are logged without their group.
func (h slogHandler) WithGroup(string) slog.Handler { return h }

// zapLevel returns the highest level of zap that is not above l.
func zapLevel(l slog.Level) zapcore.Level {
	switch {
	case l >= slog.LevelError:
		return zapcore.ErrorLevel
	case l >= slog.LevelWarn:
		return zapcore.WarnLevel
	case l >= slog.LevelInfo:
		return zapcore.InfoLevel
	}
	return zapcore.DebugLevel
}
