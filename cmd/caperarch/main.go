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
	if len(os.Args) == 3 && os.Args[1] == "-pools" {
		serve(os.Args[2])
		return
	}
	if len(os.Args) > 1 {
		os.Exit(command(os.Args[1:], os.Stdout, os.Stderr))
	}
	serve("")
}

// serve is the daemon; poolsFile names the operator's file of pools, "" is the single pool of EDGE_CONFIG.
func serve(poolsFile string) {
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
		err = run(ctx, cfg, poolsFile, reload)
	}
	if err != nil {
		slog.Error("caperarch ends", "error", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, cfg *config.Config, poolsFile string, reload <-chan os.Signal) error {
	if poolsFile == "" {
		return daemon.Run(ctx, cfg, reload)
	}
	pools, err := config.ReadPools(poolsFile)
	if err != nil {
		return err
	}
	return daemon.RunPools(ctx, cfg, pools, reload)
}
