package logring

import (
	"context"
	"log/slog"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// NewSlog is the logger for the parts that the mesh shares with the daemon, which know log/slog: what they say goes to the same ring.
func NewSlog(to *zap.Logger) *slog.Logger { return slog.New(slogHandler{core: to.Core()}) }

type slogHandler struct {
	core zapcore.Core
}

func (h slogHandler) Enabled(_ context.Context, l slog.Level) bool {
	return h.core.Enabled(zapLevel(l))
}

func (h slogHandler) Handle(_ context.Context, r slog.Record) error {
	fields := make([]zap.Field, 0, r.NumAttrs())
	r.Attrs(func(a slog.Attr) bool {
		fields = append(fields, zap.Any(a.Key, a.Value.Any()))
		return true
	})
	return h.core.Write(zapcore.Entry{Level: zapLevel(r.Level), Time: r.Time, Message: r.Message}, fields)
}

func (h slogHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	fields := make([]zap.Field, 0, len(attrs))
	for _, a := range attrs {
		fields = append(fields, zap.Any(a.Key, a.Value.Any()))
	}
	return slogHandler{core: h.core.With(fields)}
}

func (h slogHandler) WithGroup(string) slog.Handler { return h }

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
