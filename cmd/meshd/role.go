package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"caperarch/internal/mesh/controlplane"
	"caperarch/internal/mesh/logring"
	"caperarch/internal/mesh/settings"
	"caperarch/internal/mesh/sidecar"
)

// The exit codes of a role. They are described in the package documentation.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

const (
	// gcPercent is the heap growth in per cent that triggers a garbage collection. It is below Go's default of 100
	// because the machines have little memory and the heap is small.
	gcPercent = 50
	// signalBufferSize is the number of signals that are buffered while another signal is handled.
	signalBufferSize = 4
)

// role is the main function of a role. It runs until ctx ends and then returns nil. It receives reloaded settings
// from the channel reload.
type role func(
	ctx context.Context, current *settings.Settings, reload <-chan *settings.Settings, log *zap.Logger,
) error

// roles maps the role names of the command line to the roles.
var roles = map[string]role{
	"sidecar":      sidecar.Run,
	"controlplane": controlplane.Run,
}

// runRole runs a role until it fails or SIGTERM or SIGINT is received, and returns the exit code.
func runRole(run role, writeLevel zapcore.Level) int {
	// The signal handlers are installed before the settings are read. Until then, SIGHUP and SIGUSR1 terminate the
	// process, too.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	signals := make(chan os.Signal, signalBufferSize)
	signal.Notify(signals, syscall.SIGHUP, syscall.SIGUSR1)
	current, err := settings.Load()
	if err != nil {
		fmt.Fprintln(os.Stderr, "meshd:", err)
		return exitUsage
	}
	debug.SetGCPercent(gcPercent)
	log, ring := logring.New(os.Stderr, logring.DefaultBytes)
	ring.WriteLevel = writeLevel
	reload := make(chan *settings.Settings)
	// The goroutine ends with ctx. runRole does not wait for it, because the process exits after runRole returns.
	go handleSignals(ctx, signals, reload, log, ring)
	if err := run(ctx, current, reload, log); err != nil {
		log.Error("process failed", zap.String("error", err.Error()))
		return exitFailed
	}
	return exitOK
}

// handleSignals dumps the log ring on SIGUSR1. On SIGHUP or after a change of the settings file, it loads the
// settings and sends them to the channel reload. If the settings cannot be loaded, it logs a warning and sends
// nothing. It returns when ctx ends.
func handleSignals(
	ctx context.Context, signals <-chan os.Signal, reload chan<- *settings.Settings,
	log *zap.Logger, ring *logring.Ring,
) {
	for s := range settings.ReloadSignals(ctx, signals) {
		if s == syscall.SIGUSR1 {
			ring.Dump("asked for")
			continue
		}
		next, err := settings.Load()
		if err != nil {
			log.Warn("reloaded settings rejected, the previous ones stay in force", zap.String("error", err.Error()))
			continue
		}
		select {
		case reload <- next:
		case <-ctx.Done():
			return
		}
	}
}
