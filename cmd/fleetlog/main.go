// Command fleetlog counts over the logs of a whole fleet, second by second.
//
//	fleetlog FILE-OR-FOLDER ...
//
// A folder stands for all its files whose names end in .log.
package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"

	"caperarch/internal/fleetlog"
)

func main() {
	if err := run(os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "fleetlog:", err)
		os.Exit(1)
	}
}

func run(args []string, out io.Writer) error {
	if len(args) == 0 {
		return fmt.Errorf("usage: fleetlog FILE-OR-FOLDER ...")
	}
	fleet := fleetlog.New()
	for _, arg := range args {
		names, err := logs(arg)
		if err != nil {
			return err
		}
		for _, name := range names {
			if err := read(fleet, name); err != nil {
				return err
			}
		}
	}
	return fleet.Report(out)
}

// logs are the files that an argument stands for.
func logs(arg string) ([]string, error) {
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

func read(fleet *fleetlog.Fleet, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer f.Close()
	return fleet.Read(name, f)
}
