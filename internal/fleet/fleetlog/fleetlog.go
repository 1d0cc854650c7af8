// Package fleetlog counts what the logs of many sidecars say, second by second: a habit that is harmless in one log shows only in the
// sum of all.
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

// longest bounds a line; a log that holds a longer one is no log of the daemon's.
const longest = 1 << 20

// Second is what all sidecars logged in one second.
type Second struct {
	Starts, Whole, Changes, Failed, Doubts, Stopped int
}

// Fleet is the sum of the logs read.
type Fleet struct {
	Logs    int
	Passed  int // lines that no pattern of the daemon's fits
	seconds map[int64]*Second
	doubted map[string]map[string]bool // by server: which logs
	tallies map[string]*tally          // by log
	told    map[int64]*Causes          // by second
	goes    []goes                     // by what policy sidecars went, as logged
	turns   map[uint64]*turn           // of machines that were taken out for work, by number
	steps   map[string]map[int64]int   // what was heard of changes of policy, by second
}

// New makes an empty one.
func New() *Fleet {
	return &Fleet{seconds: make(map[int64]*Second), doubted: make(map[string]map[string]bool), tallies: make(map[string]*tally), told: make(map[int64]*Causes), steps: make(map[string]map[int64]int), turns: make(map[uint64]*turn)}
}

var (
	stamp    = regexp.MustCompile(`(\d{4}/\d\d/\d\d \d\d:\d\d:\d\d) (?:INFO|WARN|ERROR) (.*)$`)
	iso      = regexp.MustCompile(`time=(\S+) level=\S+ msg=(.*)$`)
	strained = regexp.MustCompile(`server ([0-9a-f]+) strained`)
)

// when reads the moment and the message of a line in one of slog's two forms.
func when(line string) (time.Time, string, bool) {
	if m := stamp.FindStringSubmatch(line); m != nil {
		at, err := time.Parse("2006/01/02 15:04:05", m[1])
		return at, m[2], err == nil
	}
	if m := iso.FindStringSubmatch(line); m != nil {
		at, err := time.Parse(time.RFC3339Nano, m[1])
		return at, strings.Trim(m[2], `"`), err == nil
	}
	return time.Time{}, "", false
}

// Read adds one sidecar's log. A line that is none of the daemon's is counted and passed over.
func (f *Fleet) Read(name string, r io.Reader) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, longest)
	counts := new(tally)
	counts.begin()
	f.tallies[name] = counts
	for lines.Scan() {
		at, message, ok := when(lines.Text())
		if !ok {
			f.Passed++
			continue
		}
		s := f.seconds[at.Unix()]
		if s == nil {
			s = new(Second)
			f.seconds[at.Unix()] = s
		}
		switch {
		case strings.HasPrefix(message, "serving"):
			s.Starts++
			counts.begin()
		case strings.HasPrefix(message, "list "):
			if strings.Contains(message, "whole=true") {
				s.Whole++
			} else {
				s.Changes++
			}
		case strings.HasPrefix(message, "discovery"):
			s.Failed++
		case strings.HasPrefix(message, "counters"):
			told := counts.take(message)
			if f.told[at.Unix()] == nil {
				f.told[at.Unix()] = new(Causes)
			}
			f.told[at.Unix()].add(&told)
		case strings.HasPrefix(message, "stopped for a while"):
			s.Stopped++
		case f.work(at.Unix(), message):
		case f.policy(at.Unix(), name, message):
		default:
			if m := strained.FindStringSubmatch(message); m != nil {
				s.Doubts++
				f.doubt(m[1], name)
			}
		}
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	f.Logs++
	return nil
}

// doubt takes that a server is doubted in a log.
func (f *Fleet) doubt(server, log string) {
	if f.doubted[server] == nil {
		f.doubted[server] = make(map[string]bool)
	}
	f.doubted[server][log] = true
}

// At returns what was logged in a second.
func (f *Fleet) At(unix int64) Second {
	if s := f.seconds[unix]; s != nil {
		return *s
	}
	return Second{}
}

// Doubted is a server and how many sidecars doubted it.
type Doubted struct {
	Server   string
	Sidecars int
}

// Doubted returns the servers that most sidecars doubted, n at most.
func (f *Fleet) Doubted(n int) []Doubted {
	var all []Doubted
	for id, logs := range f.doubted {
		all = append(all, Doubted{id, len(logs)})
	}
	slices.SortFunc(all, func(a, b Doubted) int {
		return cmp.Or(cmp.Compare(b.Sidecars, a.Sidecars), cmp.Compare(a.Server, b.Server))
	})
	return all[:min(n, len(all))]
}

// Report writes the table, from the first second that has anything.
func (f *Fleet) Report(w io.Writer) error {
	order := slices.Sorted(maps.Keys(f.seconds))
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "second\tstarts\twhole lists\tchanges\tcalls failed\tin doubt\tstopped\t")
	for _, at := range order {
		s := f.seconds[at]
		fmt.Fprintf(t, "%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", at-order[0], s.Starts, s.Whole, s.Changes, s.Failed, s.Doubts, s.Stopped)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	if err := f.reportCauses(w); err != nil {
		return err
	}
	if len(order) > 0 {
		if err := f.reportPolicy(w, order[0]); err != nil {
			return err
		}
		if err := f.reportWork(w, order[0]); err != nil {
			return err
		}
	}
	for _, d := range f.Doubted(10) {
		if _, err := fmt.Fprintf(w, "server %s: doubted by %d sidecars\n", d.Server, d.Sidecars); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "%d logs, %d lines passed over\n", f.Logs, f.Passed)
	return err
}
