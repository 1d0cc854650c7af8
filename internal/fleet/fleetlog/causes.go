package fleetlog

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
)

// Causes are what all sidecars did by their counters, and why they held back or refused.
type Causes struct {
	Sent, Retries                         uint64 // first sends, and further ones
	Held, Walled, Throttled, Queued, Late uint64 // by the wall over all attempts, by servers' portions, by admission, by a full compartment, as their time was gone
	Refused, Failed, Dialled              uint64
}

// fields are the counters' names in the log, and where each is added up.
var fields = map[string]func(*Causes) *uint64{
	"Ordinary":  func(c *Causes) *uint64 { return &c.Sent },
	"Walled":    func(c *Causes) *uint64 { return &c.Walled },
	"Retries":   func(c *Causes) *uint64 { return &c.Retries },
	"Held":      func(c *Causes) *uint64 { return &c.Held },
	"Throttled": func(c *Causes) *uint64 { return &c.Throttled },
	"Queued":    func(c *Causes) *uint64 { return &c.Queued },
	"Late":      func(c *Causes) *uint64 { return &c.Late },
	"Refused":   func(c *Causes) *uint64 { return &c.Refused },
	"Failed":    func(c *Causes) *uint64 { return &c.Failed },
	"dialled":   func(c *Causes) *uint64 { return &c.Dialled },
}

var counter = regexp.MustCompile(`(\w+):(\d+)`)

// tally adds up a log's counters, which count from the start of each process.
type tally struct {
	last map[string]uint64
	sum  Causes
}

// begin takes that a process started: its counters begin at 0.
func (t *tally) begin() { t.last = make(map[string]uint64) }

// take adds what a line of counters says beyond the last one. A figure that fell without a start is a process that died before it logged:
// what is there now is all that is known of it. One that is no number is passed over.
func (t *tally) take(line string) (told Causes) {
	for _, m := range counter.FindAllStringSubmatch(line, -1) {
		field := fields[m[1]]
		n, err := strconv.ParseUint(m[2], 10, 64)
		if field == nil || err != nil {
			continue
		}
		more := n
		if before := t.last[m[1]]; before <= n {
			more = n - before
		}
		t.last[m[1]] = n
		*field(&told) += more
	}
	t.sum.add(&told)
	return told
}

func (c *Causes) add(more *Causes) {
	for _, field := range fields {
		*field(c) += *field(more)
	}
}

// Causes is the sum over all logs.
func (f *Fleet) Causes() (sum Causes) {
	for _, t := range f.tallies {
		sum.add(&t.sum)
	}
	return sum
}

// MostHeld returns the n logs that were held back most, and how often.
func (f *Fleet) MostHeld(n int) (logs []string) {
	for name, t := range f.tallies {
		if t.sum.Held > 0 {
			logs = append(logs, name)
		}
	}
	slices.SortFunc(logs, func(a, b string) int {
		return cmp.Or(cmp.Compare(f.tallies[b].sum.Held, f.tallies[a].sum.Held), strings.Compare(a, b))
	})
	return logs[:min(n, len(logs))]
}

// reportCauses writes what was told second by second: a line of counters tells of the ten seconds before it.
func (f *Fleet) reportCauses(w io.Writer) error {
	order := slices.Sorted(maps.Keys(f.told))
	if len(order) == 0 {
		return nil
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "told at\tsent\tmore\theld\twalled\tthrottled\tqueued\tlate\trefused\tfailed\tdialled\t")
	line := func(at string, c Causes) {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n",
			at, c.Sent+c.Walled, c.Retries, c.Held, c.Walled, c.Throttled, c.Queued, c.Late, c.Refused, c.Failed, c.Dialled)
	}
	for _, at := range order {
		line(strconv.FormatInt(at-order[0], 10), *f.told[at])
	}
	line("all", f.Causes())
	if err := t.Flush(); err != nil {
		return err
	}
	for _, name := range f.MostHeld(5) {
		if _, err := fmt.Fprintf(w, "%s: held back %d times\n", name, f.tallies[name].sum.Held); err != nil {
			return err
		}
	}
	return nil
}
