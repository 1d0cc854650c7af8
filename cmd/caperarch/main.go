// Caperarch is a sidecar proxy. It receives the requests of the application on the same host and forwards each request
// to an upstream that the decision module selects. The command also has subcommands for operators.
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

// daemonArgs are the daemon's command-line arguments. Without arguments the daemon runs the single pool of the file
// that EDGE_CONFIG names.
type daemonArgs struct {
	pools        string // path of the pools file; "": a single pool
	fleet        string // path of the fleet file; "": the sidecar belongs to no fleet
	logFormat    string // plain, text or json
	record       string // file for the decision module's inputs and outputs; "-": standard output; "": no recording
	maxRecordMiB int64  // size at which the recording ends, in MiB
}

// defaultMaxRecordMiB is the default of -record-most: about 20 minutes at 350 requests per second.
const defaultMaxRecordMiB = 256

// serve runs the daemon until it receives SIGTERM or SIGINT. It logs the error that it returns.
func serve(d *daemonArgs) error {
	switch d.logFormat {
	case "text":
		slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, nil)))
	case "json":
		slog.SetDefault(slog.New(slog.NewJSONHandler(os.Stderr, nil)))
	}
	// The daemon gets at most one core and has a small heap, so more threads and frequent garbage collections would
	// only add cost.
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(400)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reload := make(chan os.Signal, 1) // one pending reload covers all signals received before it
	signal.Notify(reload, syscall.SIGHUP)
	cfg, err := config.Read(os.Getenv("EDGE_CONFIG"))
	if err == nil {
		err = d.run(ctx, cfg, reload)
	}
	if err != nil {
		slog.Error("caperarch ends after an error", "error", err)
	}
	return err
}

// run runs the daemon with one pool, or with several pools if the arguments name a pools file.
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
				slog.Warn("recording ended before the process", "file", d.record, "error", err)
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
