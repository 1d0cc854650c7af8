package fleetlog

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"maps"
	"regexp"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

const (
	// maxLineBytes bounds a line; a file with a longer one is not a log of the daemon.
	maxLineBytes = 1 << 20
	// reportedServers is how many servers a report names, of those that most sidecars found strained.
	reportedServers = 10
)

// Second is the number of events that all sidecars logged in one second.
type Second struct {
	// Starts is the number of processes that began to serve.
	Starts int
	// FullLists and ListChanges are the lists of servers that arrived, in full or as changes.
	FullLists   int
	ListChanges int
	// DiscoveryErrors is the number of calls for the list that failed.
	DiscoveryErrors int
	// Strained is how often a server was found strained.
	Strained int
	// Pauses is how often a process noticed that it had been stopped for a while.
	Pauses int
}

// Fleet is the sum of the logs that were read. New makes one.
type Fleet struct {
	// Logs is the number of logs that were read to their end.
	Logs int
	// SkippedLines is the number of lines that are not the daemon's.
	SkippedLines int

	seconds      map[int64]*Second          // by Unix second
	strainedBy   map[string]map[string]bool // by server: the names of the logs that found it strained
	counters     map[string]*counterSum     // by log
	counterSteps map[int64]*Counters        // by Unix second: what the counters logged then rose by
	modeChanges  []modeChange               // in the order in which they were read
	policyEvents map[string]map[int64]int   // by step and version, as in "taken 3": the number by Unix second
	workTurns    map[uint64]*workTurn       // by number
}

// New makes a Fleet without logs.
func New() *Fleet {
	return &Fleet{
		seconds:      make(map[int64]*Second),
		strainedBy:   make(map[string]map[string]bool),
		counters:     make(map[string]*counterSum),
		counterSteps: make(map[int64]*Counters),
		policyEvents: make(map[string]map[int64]int),
		workTurns:    make(map[uint64]*workTurn),
	}
}

// The two forms of a line, and the message of a server under strain.
var (
	plainLine    = regexp.MustCompile(`(\d{4}/\d\d/\d\d \d\d:\d\d:\d\d) (?:INFO|WARN|ERROR) (.*)$`)
	keyValueLine = regexp.MustCompile(`time=(\S+) level=\S+ msg=(.*)$`)
	strainedLine = regexp.MustCompile(`server ([0-9a-f]+) strained`)
)

// plainTime is the form of the time in a plainLine.
const plainTime = "2006/01/02 15:04:05"

// parseLine returns the time and the message of a line; false: it is not the daemon's.
func parseLine(line string) (time.Time, string, bool) {
	if m := plainLine.FindStringSubmatch(line); m != nil {
		at, err := time.Parse(plainTime, m[1])
		return at, m[2], err == nil
	}
	if m := keyValueLine.FindStringSubmatch(line); m != nil {
		at, err := time.Parse(time.RFC3339Nano, m[1])
		return at, strings.Trim(m[2], `"`), err == nil
	}
	return time.Time{}, "", false
}

// Read adds the log of one sidecar. It fails where r does, or a line is too long; what was read before counts.
func (f *Fleet) Read(name string, r io.Reader) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	f.counters[name] = newCounterSum()
	for lines.Scan() {
		at, message, ok := parseLine(lines.Text())
		if !ok {
			f.SkippedLines++
			continue
		}
		f.add(name, at.Unix(), message)
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	f.Logs++
	return nil
}

// add counts a message of a log.
func (f *Fleet) add(log string, second int64, message string) {
	s := f.seconds[second]
	if s == nil {
		s = new(Second)
		f.seconds[second] = s
	}
	switch {
	case strings.HasPrefix(message, "serving"):
		s.Starts++
		f.counters[log].processStarted()
	case strings.HasPrefix(message, "list "):
		if strings.Contains(message, "whole=true") {
			s.FullLists++
		} else {
			s.ListChanges++
		}
	case strings.HasPrefix(message, "discovery"):
		s.DiscoveryErrors++
	case strings.HasPrefix(message, "counters"):
		f.addCounters(log, second, message)
	case strings.HasPrefix(message, "stopped for a while"):
		s.Pauses++
	case f.addWork(second, message):
	case f.addPolicy(second, log, message):
	default:
		if m := strainedLine.FindStringSubmatch(message); m != nil {
			s.Strained++
			f.addStrained(m[1], log)
		}
	}
}

// addStrained notes that a server was found strained in a log.
func (f *Fleet) addStrained(server, log string) {
	if f.strainedBy[server] == nil {
		f.strainedBy[server] = make(map[string]bool)
	}
	f.strainedBy[server][log] = true
}

// At returns what was logged in a Unix second.
func (f *Fleet) At(second int64) Second {
	if s := f.seconds[second]; s != nil {
		return *s
	}
	return Second{}
}

// StrainedServer is a server and the number of sidecars that found it strained.
type StrainedServer struct {
	Server   string
	Sidecars int
}

// MostStrained returns the servers that most sidecars found strained, n at most.
func (f *Fleet) MostStrained(n int) []StrainedServer {
	var servers []StrainedServer
	for id, logs := range f.strainedBy {
		servers = append(servers, StrainedServer{id, len(logs)})
	}
	slices.SortFunc(servers, func(a, b StrainedServer) int {
		return cmp.Or(cmp.Compare(b.Sidecars, a.Sidecars), cmp.Compare(a.Server, b.Server))
	})
	return servers[:min(n, len(servers))]
}

// Report writes tables of events, counters, policies and work, by seconds since the first that has an event.
func (f *Fleet) Report(w io.Writer) error {
	if err := f.reportEvents(w); err != nil {
		return err
	}
	if err := f.reportCounters(w); err != nil {
		return err
	}
	if first, ok := f.firstSecond(); ok {
		if err := f.reportPolicy(w, first); err != nil {
			return err
		}
		if err := f.reportWork(w, first); err != nil {
			return err
		}
	}
	for _, s := range f.MostStrained(reportedServers) {
		if _, err := fmt.Fprintf(w, "server %s: doubted by %d sidecars\n", s.Server, s.Sidecars); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "%d logs, %d lines passed over\n", f.Logs, f.SkippedLines)
	return err
}

// firstSecond returns the first second that has an event; false: there is none.
func (f *Fleet) firstSecond() (int64, bool) {
	if len(f.seconds) == 0 {
		return 0, false
	}
	return slices.Min(slices.Collect(maps.Keys(f.seconds))), true
}

// reportEvents writes the events by second.
func (f *Fleet) reportEvents(w io.Writer) error {
	seconds := slices.Sorted(maps.Keys(f.seconds))
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "second\tstarts\twhole lists\tchanges\tcalls failed\tin doubt\tstopped\t")
	for _, second := range seconds {
		s := f.seconds[second]
		fmt.Fprintf(t, "%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", second-seconds[0],
			s.Starts, s.FullLists, s.ListChanges, s.DiscoveryErrors, s.Strained, s.Pauses)
	}
	return t.Flush()
}
