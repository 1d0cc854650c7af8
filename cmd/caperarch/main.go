// Caperarch is a sidecar: it takes the requests of the application beside it and carries each to an
// upstream, as the decision module says.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"caperarch/internal/daemon"
	"caperarch/internal/daemon/config"
	"caperarch/internal/proxy/record"
)

func main() { os.Exit(runCommand(os.Args[1:], os.Stdout, os.Stderr)) }

// daemonArgs are the daemon's arguments. Without any it is the single pool of EDGE_CONFIG.
type daemonArgs struct {
	pools        string // the operator's file of pools; "": none
	fleet        string // the operator's file on the fleet; "": sidecars know nothing of each other
	logFormat    string // plain, text or json
	record       string // file for the decision module's inputs and outputs; "-": standard output; "": none
	maxRecordMiB int64  // the recording ends at this size
}

// defaultMaxRecordMiB bounds a recording unless -record-most says otherwise: some 20 minutes of 350 requests a
// second.
const defaultMaxRecordMiB = 256

// serve runs the daemon until it is told to stop. The error has been logged.
func serve(d *daemonArgs) error {
	switch d.logFormat {
	case "text":
		slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, nil)))
	case "json":
		slog.SetDefault(slog.New(slog.NewJSONHandler(os.Stderr, nil)))
	}
	// It has one core at most, and the heap is small: more threads and frequent collections only cost.
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(400)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reload := make(chan os.Signal, 1) // a reload that waits covers all signals before it
	signal.Notify(reload, syscall.SIGHUP)
	cfg, err := config.Read(os.Getenv("EDGE_CONFIG"))
	if err == nil {
		err = d.run(ctx, cfg, reload)
	}
	if err != nil {
		slog.Error("caperarch ends", "error", err)
	}
	return err
}

// run runs the daemon with one pool or several, as the arguments say.
func (d *daemonArgs) run(ctx context.Context, cfg *config.Config, reload <-chan os.Signal) error {
	var options []daemon.Option
	if d.record != "" {
		out := os.Stdout
		if d.record != "-" {
			var err error
			if out, err = os.OpenFile(d.record, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600); err != nil {
				return fmt.Errorf("-record: %w", err)
			}
			defer out.Close()
		}
		w := record.NewWriter(out, d.maxRecordMiB<<20)
		defer func() {
			if err := w.Close(); err != nil {
				slog.Warn("the recording ended before the process", "file", d.record, "error", err)
			}
		}()
		options = append(options, daemon.WithRecording(w))
	}
	if d.fleet != "" {
		file, err := config.ReadFleet(d.fleet)
		if err != nil {
			return err
		}
		options = append(options, daemon.WithFleet(file))
	}
	if d.pools == "" {
		return daemon.Run(ctx, cfg, reload, options...)
	}
	pools, err := config.ReadPools(d.pools)
	if err != nil {
		return err
	}
	return daemon.RunPools(ctx, cfg, pools, reload, options...)
}
