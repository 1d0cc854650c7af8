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

// The exit codes of a role.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

const (
	// gcPercent is by how many per cent the heap grows between two garbage collections: memory is
	// scarce on these machines, and the heap small.
	gcPercent = 50
	// signalBacklog is how many signals may wait while one is handled.
	signalBacklog = 4
)

// role runs until ctx ends, which is no error. Reloaded settings arrive on reload.
type role func(
	ctx context.Context, current *settings.Settings, reload <-chan *settings.Settings, log *zap.Logger,
) error

// roles are what a process can be, by the names of the command line.
var roles = map[string]role{
	"sidecar":      sidecar.Run,
	"controlplane": controlplane.Run,
}

// runRole runs a role until a signal ends it, and returns the exit code.
func runRole(run role, writeLevel zapcore.Level) int {
	// Before anything else: until then a signal ends the process, also one that only asks it to reload.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	signals := make(chan os.Signal, signalBacklog)
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
	// It ends with ctx. Nothing waits for it, as the process ends next.
	go handleSignals(ctx, signals, reload, log, ring)
	if err := run(ctx, current, reload, log); err != nil {
		log.Error("process failed", zap.String("error", err.Error()))
		return exitFailed
	}
	return exitOK
}

// handleSignals dumps the ring on SIGUSR1 and sends the settings read anew on SIGHUP, until ctx ends.
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
