// Command fleetlog counts over the logs of a whole fleet, second by second, and writes a report on standard output.
//
//	fleetlog [-work FILE.svg] FILE-OR-FOLDER ...
//
// A folder stands for all its files whose names end in .log. With -work the turns of machines that were taken out for
// work are drawn too. The exit code is 1 when a file can't be read or written, and when fleetlog is used wrongly.
package main

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"caperarch/internal/fleet/fleetlog"
)

func main() {
	if err := run(os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "fleetlog:", err)
		os.Exit(1)
	}
}

// run does what the arguments say.
func run(args []string, out io.Writer) error {
	flags := flag.NewFlagSet("fleetlog", flag.ContinueOnError)
	work := flags.String("work", "", "draw the turns of machines that were taken out for work, as SVG to `FILE`")
	if err := flags.Parse(args); err != nil {
		return err
	}
	if args = flags.Args(); len(args) == 0 {
		return errors.New("usage: fleetlog [-work FILE.svg] FILE-OR-FOLDER, one or more")
	}
	fleet := fleetlog.New()
	for _, arg := range args {
		names, err := logFiles(arg)
		if err != nil {
			return err
		}
		for _, name := range names {
			if err := readLog(fleet, name); err != nil {
				return err
			}
		}
	}
	if *work != "" {
		if err := drawWork(fleet, *work); err != nil {
			return err
		}
	}
	return fleet.Report(out)
}

// drawWork writes the drawing of the turns to a file.
func drawWork(fleet *fleetlog.Fleet, name string) error {
	var svg bytes.Buffer
	if err := fleet.DrawMaintenance(&svg); err != nil {
		return err
	}
	return os.WriteFile(name, svg.Bytes(), 0o644)
}

// logFiles returns the files that an argument stands for.
func logFiles(arg string) ([]string, error) {
	info, err := os.Stat(arg)
	if err != nil {
		return nil, err
	}
	if !info.IsDir() {
		return []string{arg}, nil
	}
	names, err := filepath.Glob(filepath.Join(arg, "*.log"))
	if err == nil && len(names) == 0 {
		err = fmt.Errorf("%s: no file ends in .log", arg)
	}
	return names, err
}

// readLog adds a file to the fleet.
func readLog(fleet *fleetlog.Fleet, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	return fleet.Read(name, f)
}
