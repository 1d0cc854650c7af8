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
	// maxLineBytes bounds the length of a line. A file with a longer line is not a log of the daemon.
	maxLineBytes = 1 << 20
	// maxReportedServers is the number of servers that a report names: those that most sidecars found strained.
	maxReportedServers = 10
)

// Second counts the events that all sidecars logged in one second.
type Second struct {
	// Starts is the number of processes that started to serve.
	Starts int
	// FullLists and ListChanges are the numbers of server lists received in full and as changes.
	FullLists   int
	ListChanges int
	// DiscoveryErrors is the number of failed requests for the server list.
	DiscoveryErrors int
	// Strained is the number of times a sidecar found a server strained.
	Strained int
	// Pauses is the number of times a process detected that it had been stopped for a while.
	Pauses int
}

// Fleet sums the logs that it has read. Fleets are created with New.
type Fleet struct {
	// Logs is the number of logs that were read completely.
	Logs int
	// SkippedLines is the number of lines that the daemon has not written.
	SkippedLines int

	seconds          map[int64]*Second             // by Unix second
	strainedBy       map[string]map[string]bool    // by server: names of the logs in which it was found strained
	counters         map[string]*counterSum        // by log
	counterIncreases map[int64]*Counters           // by Unix second: increase of the counters logged in it
	policyChanges    []policyChange                // in the order in which they were read
	policyEvents     map[string]map[int64]int      // by event and version, as in "taken 3": number of messages by Unix second
	windows          map[uint64]*maintenanceWindow // by number of the maintenance window
}

// New returns a Fleet that has read no logs.
func New() *Fleet {
	return &Fleet{
		seconds:          make(map[int64]*Second),
		strainedBy:       make(map[string]map[string]bool),
		counters:         make(map[string]*counterSum),
		counterIncreases: make(map[int64]*Counters),
		policyEvents:     make(map[string]map[int64]int),
		windows:          make(map[uint64]*maintenanceWindow),
	}
}

var (
	// plainLinePattern and keyValueLinePattern match the two text forms of a line, strainedPattern matches the
	// message about a strained server.
	plainLinePattern    = regexp.MustCompile(`(\d{4}/\d\d/\d\d \d\d:\d\d:\d\d) (?:INFO|WARN|ERROR) (.*)$`)
	keyValueLinePattern = regexp.MustCompile(`time=(\S+) level=\S+ msg=(.*)$`)
	strainedPattern     = regexp.MustCompile(`server ([0-9a-f]+) strained`)
)

// plainTimeLayout is the layout of the time in a line that plainLinePattern matches.
const plainTimeLayout = "2006/01/02 15:04:05"

// parseLine returns the time and the message of a line, and whether the daemon has written the line.
func parseLine(line string) (time.Time, string, bool) {
	if match := plainLinePattern.FindStringSubmatch(line); match != nil {
		at, err := time.Parse(plainTimeLayout, match[1])
		return at, match[2], err == nil
	}
	if match := keyValueLinePattern.FindStringSubmatch(line); match != nil {
		at, err := time.Parse(time.RFC3339Nano, match[1])
		return at, strings.Trim(match[2], `"`), err == nil
	}
	return time.Time{}, "", false
}

// Read adds the log of one sidecar. It fails if r fails or a line is too long; the lines read before the error are
// included in the sums.
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

// add counts the event that a message of a log reports.
func (f *Fleet) add(log string, second int64, message string) {
	events := f.seconds[second]
	if events == nil {
		events = new(Second)
		f.seconds[second] = events
	}
	switch {
	case strings.HasPrefix(message, "serving"):
		events.Starts++
		f.counters[log].processStarted()
	case strings.HasPrefix(message, "list "):
		if strings.Contains(message, "whole=true") {
			events.FullLists++
		} else {
			events.ListChanges++
		}
	case strings.HasPrefix(message, "discovery"):
		events.DiscoveryErrors++
	case strings.HasPrefix(message, "counters"):
		f.addCounters(log, second, message)
	case strings.HasPrefix(message, "stopped for a while"):
		events.Pauses++
	case f.addWindow(second, message):
	case f.addPolicy(second, log, message):
	default:
		if match := strainedPattern.FindStringSubmatch(message); match != nil {
			events.Strained++
			f.addStrained(match[1], log)
		}
	}
}

// addStrained records that a server was found strained by the sidecar of a log.
func (f *Fleet) addStrained(server, log string) {
	if f.strainedBy[server] == nil {
		f.strainedBy[server] = make(map[string]bool)
	}
	f.strainedBy[server][log] = true
}

// At returns the events that were logged in a Unix second.
func (f *Fleet) At(second int64) Second {
	if events := f.seconds[second]; events != nil {
		return *events
	}
	return Second{}
}

// StrainedServer is a server and the number of sidecars that found it strained.
type StrainedServer struct {
	Server   string
	Sidecars int
}

// MostStrained returns at most n servers, those that most sidecars found strained first.
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

// Report writes tables of events, counters, policies and maintenance windows. Times are in seconds since the first
// second that has an event.
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
		if err := f.reportWindows(w, first); err != nil {
			return err
		}
	}
	for _, s := range f.MostStrained(maxReportedServers) {
		if _, err := fmt.Fprintf(w, "server %s: doubted by %d sidecars\n", s.Server, s.Sidecars); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "%d logs, %d lines passed over\n", f.Logs, f.SkippedLines)
	return err
}

// firstSecond returns the first Unix second that has an event, and whether there is one.
func (f *Fleet) firstSecond() (int64, bool) {
	if len(f.seconds) == 0 {
		return 0, false
	}
	return slices.Min(slices.Collect(maps.Keys(f.seconds))), true
}

// reportEvents writes the events by second.
func (f *Fleet) reportEvents(w io.Writer) error {
	seconds := slices.Sorted(maps.Keys(f.seconds))
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "second\tstarts\twhole lists\tchanges\tcalls failed\tin doubt\tstopped\t")
	for _, second := range seconds {
		events := f.seconds[second]
		fmt.Fprintf(table, "%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", second-seconds[0],
			events.Starts, events.FullLists, events.ListChanges, events.DiscoveryErrors, events.Strained, events.Pauses)
	}
	return table.Flush()
}
