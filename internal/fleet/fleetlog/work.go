package fleetlog

import (
	"fmt"
	"io"
	"maps"
	"regexp"
	"slices"
	"strconv"
	"text/tabwriter"
)

// windowStep is a step of a maintenance window, under the name that it has in the log.
type windowStep string

const (
	stepGiven     windowStep = "given"
	stepFree      windowStep = "free"
	stepDone      windowStep = "done"
	stepOver      windowStep = "over"
	stepWithdrawn windowStep = "withdrawn"
)

// windowSteps lists all steps in the order of the report's columns.
var windowSteps = []windowStep{stepGiven, stepFree, stepDone, stepOver, stepWithdrawn}

// maintenanceWindow is the maintenance window of a machine. The log calls the windows "work", the report calls them
// turns.
type maintenanceWindow struct {
	number  uint64
	machine string
	at      map[windowStep]int64 // Unix second in which the first sidecar logged the step
}

// windowPattern matches a message about a step of a maintenance window.
var windowPattern = regexp.MustCompile(`^work: (given|free|done|over|withdrawn)"? number=(\d+) by=\d+ machine=(\S+)`)

// addWindow records the step of a maintenance window that a message reports. It returns false for other messages.
func (f *Fleet) addWindow(second int64, message string) bool {
	match := windowPattern.FindStringSubmatch(message)
	if match == nil {
		return false
	}
	step, machine := windowStep(match[1]), match[3]
	number, err := strconv.ParseUint(match[2], 10, 32)
	if err != nil {
		return false
	}
	window := f.windows[number]
	if window == nil {
		window = &maintenanceWindow{number, machine, make(map[windowStep]int64)}
		f.windows[number] = window
	}
	if at, known := window.at[step]; !known || second < at {
		window.at[step] = second
	}
	return true
}

// windowsByNumber returns the maintenance windows in the order of their numbers.
func (f *Fleet) windowsByNumber() []*maintenanceWindow {
	var ordered []*maintenanceWindow
	for _, number := range slices.Sorted(maps.Keys(f.windows)) {
		ordered = append(ordered, f.windows[number])
	}
	return ordered
}

// reportWindows writes a row for each maintenance window, with the second of each step.
func (f *Fleet) reportWindows(w io.Writer, first int64) error {
	if len(f.windows) == 0 {
		return nil
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "turn\tmachine\tgiven\tfree\tdone\tover\twithdrawn")
	for _, window := range f.windowsByNumber() {
		fmt.Fprintf(table, "%d\t%s", window.number, window.machine)
		for _, step := range windowSteps {
			if at, known := window.at[step]; known {
				fmt.Fprintf(table, "\t%d", at-first)
			} else {
				fmt.Fprint(table, "\t-")
			}
		}
		fmt.Fprintln(table)
	}
	return table.Flush()
}
