// Replay runs a recording of the daemon (caperarch -record) through the present decision module.
//
//	go run ./cmd/replay [-most N] FILE     where does it depart from what was recorded?
//	go run ./cmd/replay -estimate FILE     how would it have fared, second by second, beside what was recorded?
//
// It exits 1 where the module departs, or where the file can't be read.
package main

import (
	"flag"
	"fmt"
	"io"
	"os"

	"caperarch/internal/lab/replay"
	"caperarch/internal/proxy/record"
)

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// run runs the command and returns its exit code.
func run(args []string, out, log io.Writer) int {
	flags := flag.NewFlagSet("replay", flag.ContinueOnError)
	flags.SetOutput(log)
	maxDepartures := flags.Int("most", 10, "departures that are printed")
	estimate := flags.Bool("estimate", false, "estimate how the present module would have fared")
	if flags.Parse(args) != nil {
		return 2
	}
	if flags.NArg() != 1 {
		fmt.Fprintln(log, "replay: one FILE is needed")
		return 2
	}
	in, err := os.Open(flags.Arg(0))
	if err != nil {
		fmt.Fprintln(log, "replay:", err)
		return 1
	}
	defer in.Close()
	if *estimate {
		return printEstimate(in, out, log)
	}
	comparison, err := replay.Exact(record.NewReader(in), *maxDepartures)
	if err != nil {
		fmt.Fprintf(log, "replay: %s: %v\n", flags.Arg(0), err)
		return 1
	}
	for _, d := range comparison.First {
		fmt.Fprintln(out, d)
	}
	if comparison.Ended != "" {
		fmt.Fprintln(out, "the recording ended before its process:", comparison.Ended)
	}
	fmt.Fprintf(out, "replay events=%d actions=%d departures=%d cut=%v\n",
		comparison.Events, comparison.Actions, comparison.Departures, comparison.Cut)
	if comparison.Departures > 0 {
		return 1
	}
	return 0
}

// printEstimate prints how the module would have fared, and returns the exit code.
func printEstimate(in io.Reader, out, log io.Writer) int {
	e, err := replay.Estimate(record.NewReader(in))
	if err != nil {
		fmt.Fprintln(log, "replay:", err)
		return 1
	}
	fmt.Fprintln(out, "second  requests   in time (recorded, present)   refused   failed   attempts")
	for _, s := range e.Seconds {
		fmt.Fprintf(out, "%6d  %8d   %8d %8d   %5d %5d   %5d %5d   %5d %5d\n", s.Second, s.Requests,
			s.Recorded.InTime, s.Present.InTime, s.Recorded.Refused, s.Present.Refused, s.Recorded.Failed, s.Present.Failed,
			s.Recorded.Attempts, s.Present.Attempts)
	}
	r, p := e.Recorded, e.Present
	fmt.Fprintf(out, "replay-estimate requests=%d in_time=%d in_time_present=%d refused=%d refused_present=%d "+
		"failed=%d failed_present=%d attempts=%d attempts_present=%d\n",
		e.Requests, r.InTime, p.InTime, r.Refused, p.Refused, r.Failed, p.Failed, r.Attempts, p.Attempts)
	return 0
}
