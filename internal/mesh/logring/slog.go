package logring

import (
	"context"
	"log/slog"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// NewSlog is the logger for the parts that the mesh shares with the daemon, which know log/slog: what they say goes to the same ring.
func NewSlog(to *zap.Logger) *slog.Logger { return slog.New(handler{core: to.Core()}) }

type handler struct {
	core zapcore.Core
}

func (h handler) Enabled(_ context.Context, l slog.Level) bool { return h.core.Enabled(level(l)) }

func (h handler) Handle(_ context.Context, r slog.Record) error {
	fields := make([]zap.Field, 0, r.NumAttrs())
	r.Attrs(func(a slog.Attr) bool {
		fields = append(fields, zap.Any(a.Key, a.Value.Any()))
		return true
	})
	return h.core.Write(zapcore.Entry{Level: level(r.Level), Time: r.Time, Message: r.Message}, fields)
}

func (h handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	fields := make([]zap.Field, 0, len(attrs))
	for _, a := range attrs {
		fields = append(fields, zap.Any(a.Key, a.Value.Any()))
	}
	return handler{core: h.core.With(fields)}
}

func (h handler) WithGroup(string) slog.Handler { return h }

func level(l slog.Level) zapcore.Level {
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
