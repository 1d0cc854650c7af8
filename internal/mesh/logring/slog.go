package logring

import (
	"context"
	"log/slog"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// NewSlog returns a slog.Logger that logs to the core of a zap logger. It serves code that is shared with the daemon
// and logs with package log/slog.
func NewSlog(to *zap.Logger) *slog.Logger { return slog.New(slogHandler{core: to.Core()}) }

// slogHandler is a slog.Handler that logs to a zapcore.Core.
type slogHandler struct {
	core zapcore.Core
}

// Enabled reports whether the core accepts entries of the level.
func (h slogHandler) Enabled(_ context.Context, l slog.Level) bool {
	return h.core.Enabled(zapLevel(l))
}

// Handle logs a record with its attributes as fields.
func (h slogHandler) Handle(_ context.Context, r slog.Record) error {
	fields := make([]zap.Field, 0, r.NumAttrs())
	r.Attrs(func(a slog.Attr) bool {
		fields = append(fields, zap.Any(a.Key, a.Value.Any()))
		return true
	})
	return h.core.Write(zapcore.Entry{Level: zapLevel(r.Level), Time: r.Time, Message: r.Message}, fields)
}

// WithAttrs returns a handler that adds the attributes to its records.
func (h slogHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	fields := make([]zap.Field, 0, len(attrs))
	for _, a := range attrs {
		fields = append(fields, zap.Any(a.Key, a.Value.Any()))
	}
	return slogHandler{core: h.core.With(fields)}
}

// WithGroup returns the handler itself: attributes are logged without the names of their groups.
func (h slogHandler) WithGroup(string) slog.Handler { return h }

// zapLevel returns the highest zap level that is not above the slog level, and at least zapcore.DebugLevel.
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
