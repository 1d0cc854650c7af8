// Caperarch is a sidecar: it takes the requests of the application beside it and carries each to an
// upstream, as the decision module says.
package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"caperarch/internal/config"
	"caperarch/internal/daemon"
)

func main() {
	if len(os.Args) > 1 {
		os.Exit(command(os.Args[1:], os.Stdout, os.Stderr))
	}
	serve()
}

// serve is the daemon.
func serve() {
	// It has one core at most, and the heap is small: more threads and frequent collections only cost.
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(400)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reload := make(chan os.Signal, 1) // several that come close together are one
	signal.Notify(reload, syscall.SIGHUP)
	cfg, err := config.Read(os.Getenv("EDGE_CONFIG"))
	if err == nil {
		if cfg.MemoryMB > 0 {
			debug.SetMemoryLimit(int64(cfg.MemoryMB) << 20 / 2) // well under what the process is killed at
		}
		err = daemon.Run(ctx, cfg, reload)
	}
	if err != nil {
		slog.Error("caperarch ends", "error", err)
		os.Exit(1)
	}
}
