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

// reportedLogs is how many logs a report names, of those that were held back most.
const reportedLogs = 5

// Counters are what all sidecars sent, and why they held back or refused: the counters of the decision module, which
// policy.Counters describes, and of the transport.
type Counters struct {
	// Sent is the first attempts that went where they were to go, Retries the further ones.
	Sent    uint64
	Retries uint64
	// Walled is the attempts that went to another server, as one had its share.
	Walled uint64
	// Held is how often a request was held back as all servers were crowded.
	Held uint64
	// Throttled is the requests that admission refused at once.
	Throttled uint64
	// Queued is the requests that had to wait for a slot or a server.
	Queued uint64
	// Late is the requests that were refused as their latency target had passed.
	Late uint64
	// Refused is all refused requests, Failed those that failed.
	Refused uint64
	Failed  uint64
	// Dialled is the connections that were opened.
	Dialled uint64
}

// counterFields are the counters' names in the log, and where each is summed up.
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

func (c *Counters) add(more *Counters) {
	for _, field := range counterFields {
		*field(c) += *field(more)
	}
}

// namedCounter is a counter in a message, as in "Held:5".
var namedCounter = regexp.MustCompile(`(\w+):(\d+)`)

// counterSum sums up the counters of one log, which begin at 0 with each process.
type counterSum struct {
	last  map[string]uint64 // by name: what the process logged last
	total Counters
}

func newCounterSum() *counterSum { return &counterSum{last: make(map[string]uint64)} }

// processStarted notes that the counters begin at 0 again.
func (s *counterSum) processStarted() { s.last = make(map[string]uint64) }

// add adds what the counters of a message exceed the last ones by, and returns it. A counter that fell without a start
// is of a process that died before it logged its start: its value is all that is known of it. What is no number is
// skipped.
func (s *counterSum) add(message string) Counters {
	var step Counters
	for _, m := range namedCounter.FindAllStringSubmatch(message, -1) {
		name := m[1]
		field := counterFields[name]
		value, err := strconv.ParseUint(m[2], 10, 64)
		if field == nil || err != nil {
			continue
		}
		more := value
		if before := s.last[name]; before <= value {
			more = value - before
		}
		s.last[name] = value
		*field(&step) += more
	}
	s.total.add(&step)
	return step
}

// addCounters adds a message of counters.
func (f *Fleet) addCounters(log string, second int64, message string) {
	step := f.counters[log].add(message)
	if f.counterSteps[second] == nil {
		f.counterSteps[second] = new(Counters)
	}
	f.counterSteps[second].add(&step)
}

// Counters returns the sum over all logs.
func (f *Fleet) Counters() Counters {
	var sum Counters
	for _, s := range f.counters {
		sum.add(&s.total)
	}
	return sum
}

// MostHeld returns the names of the logs with the highest Counters.Held, n at most and none with 0.
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

// reportCounters writes what the counters rose by, by the seconds in which they were logged: every ten seconds in each
// log.
func (f *Fleet) reportCounters(w io.Writer) error {
	seconds := slices.Sorted(maps.Keys(f.counterSteps))
	if len(seconds) == 0 {
		return nil
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "told at\tsent\tmore\theld\twalled\tthrottled\tqueued\tlate\trefused\tfailed\tdialled\t")
	for _, second := range seconds {
		f.counterSteps[second].writeRow(t, strconv.FormatInt(second-seconds[0], 10))
	}
	sum := f.Counters()
	sum.writeRow(t, "all")
	if err := t.Flush(); err != nil {
		return err
	}
	for _, name := range f.MostHeld(reportedLogs) {
		if _, err := fmt.Fprintf(w, "%s: held back %d times\n", name, f.counters[name].total.Held); err != nil {
			return err
		}
	}
	return nil
}

// writeRow writes the counters as a row of a table. A walled attempt is not among Sent, but was sent.
func (c *Counters) writeRow(w io.Writer, label string) {
	fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", label, c.Sent+c.Walled,
		c.Retries, c.Held, c.Walled, c.Throttled, c.Queued, c.Late, c.Refused, c.Failed, c.Dialled)
}
