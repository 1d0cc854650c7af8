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

// maxReportedLogs is the number of logs that a report names: those with the highest Counters.Held.
const maxReportedLogs = 5

// Counters are the sums of the sidecars' counters of requests sent, held back and refused: the counters of the
// decision module, which policy.Counters describes, and of the transport.
type Counters struct {
	// Sent counts the first attempts that were sent to the server whose turn it was, Retries the further attempts.
	Sent    uint64
	Retries uint64
	// Walled counts the attempts that were sent to a later server because the server whose turn it was is ejected,
	// paced or at its limit.
	Walled uint64
	// Held counts how often the bulkhead put off the dispatch of a request although its compartment had a free slot.
	Held uint64
	// Throttled counts the requests that admission control refused on arrival.
	Throttled uint64
	// Queued counts the requests that had to wait for a slot or a server.
	Queued uint64
	// Late counts the requests that were answered without being sent because they would have been served late.
	Late uint64
	// Refused counts all refused requests, Failed the requests that failed.
	Refused uint64
	Failed  uint64
	// Dialled counts the connections that were opened.
	Dialled uint64
}

// counterFields maps the name of a counter in the log to the field that holds its sum.
var counterFields = map[string]func(*Counters) *uint64{
	"Ordinary":  func(c *Counters) *uint64 { return &c.Sent },
	"Walled":    func(c *Counters) *uint64 { return &c.Walled },
	"Retries":   func(c *Counters) *uint64 { return &c.Retries },
	"Held":      func(c *Counters) *uint64 { return &c.Held },
	"Throttled": func(c *Counters) *uint64 { return &c.Throttled },
	"Queued":    func(c *Counters) *uint64 { return &c.Queued },
	"Late":      func(c *Counters) *uint64 { return &c.Late },
	"Refused":   func(c *Counters) *uint64 { return &c.Refused },
	"Failed":    func(c *Counters) *uint64 { return &c.Failed },
	"dialled":   func(c *Counters) *uint64 { return &c.Dialled },
}

// add adds other counters to c.
func (c *Counters) add(other *Counters) {
	for _, field := range counterFields {
		*field(c) += *field(other)
	}
}

// counterPattern matches a counter in a message, as in "Held:5".
var counterPattern = regexp.MustCompile(`(\w+):(\d+)`)

// counterSum sums the counters of one log. The logged counters start at 0 with each process.
type counterSum struct {
	last  map[string]uint64 // last logged value by name, since the start of the process
	total Counters
}

func newCounterSum() *counterSum { return &counterSum{last: make(map[string]uint64)} }

// processStarted records that the logged counters start at 0 again.
func (s *counterSum) processStarted() { s.last = make(map[string]uint64) }

// add adds the increase of the counters in a message since the last such message, and returns it. A counter that has
// fallen although no start was logged belongs to a new process whose predecessor died: its whole value is the
// increase. Values that are not valid numbers are skipped.
func (s *counterSum) add(message string) Counters {
	var increase Counters
	for _, m := range counterPattern.FindAllStringSubmatch(message, -1) {
		name := m[1]
		field := counterFields[name]
		value, err := strconv.ParseUint(m[2], 10, 64)
		if field == nil || err != nil {
			continue
		}
		difference := value
		if before := s.last[name]; before <= value {
			difference = value - before
		}
		s.last[name] = value
		*field(&increase) += difference
	}
	s.total.add(&increase)
	return increase
}

// addCounters adds a message with counters.
func (f *Fleet) addCounters(log string, second int64, message string) {
	increase := f.counters[log].add(message)
	if f.counterIncreases[second] == nil {
		f.counterIncreases[second] = new(Counters)
	}
	f.counterIncreases[second].add(&increase)
}

// Counters returns the sum of the counters over all logs.
func (f *Fleet) Counters() Counters {
	var sum Counters
	for _, s := range f.counters {
		sum.add(&s.total)
	}
	return sum
}

// MostHeld returns the names of at most n logs with the highest Counters.Held, without logs whose Counters.Held is
// 0.
func (f *Fleet) MostHeld(n int) []string {
	var logs []string
	for name, s := range f.counters {
		if s.total.Held > 0 {
			logs = append(logs, name)
		}
	}
	slices.SortFunc(logs, func(a, b string) int {
		return cmp.Or(cmp.Compare(f.counters[b].total.Held, f.counters[a].total.Held), strings.Compare(a, b))
	})
	return logs[:min(n, len(logs))]
}

// reportCounters writes the increases of the counters by the second in which they were logged. A sidecar logs its
// counters every ten seconds.
func (f *Fleet) reportCounters(w io.Writer) error {
	seconds := slices.Sorted(maps.Keys(f.counterIncreases))
	if len(seconds) == 0 {
		return nil
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "told at\tsent\tmore\theld\twalled\tthrottled\tqueued\tlate\trefused\tfailed\tdialled\t")
	for _, second := range seconds {
		f.counterIncreases[second].writeRow(table, strconv.FormatInt(second-seconds[0], 10))
	}
	sum := f.Counters()
	sum.writeRow(table, "all")
	if err := table.Flush(); err != nil {
		return err
	}
	for _, name := range f.MostHeld(maxReportedLogs) {
		if _, err := fmt.Fprintf(w, "%s: held back %d times\n", name, f.counters[name].total.Held); err != nil {
			return err
		}
	}
	return nil
}

// writeRow writes the counters as a row of a table. The column "sent" includes Walled, which Sent does not.
func (c *Counters) writeRow(w io.Writer, label string) {
	fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", label, c.Sent+c.Walled,
		c.Retries, c.Held, c.Walled, c.Throttled, c.Queued, c.Late, c.Refused, c.Failed, c.Dialled)
}
