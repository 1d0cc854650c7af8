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

// workStep is a step of a machine's turn to be out for work, as the log names it.
type workStep string

const (
	stepGiven     workStep = "given"
	stepFree      workStep = "free"
	stepDone      workStep = "done"
	stepOver      workStep = "over"
	stepWithdrawn workStep = "withdrawn"
)

// workSteps are all steps in the order of a report.
var workSteps = []workStep{stepGiven, stepFree, stepDone, stepOver, stepWithdrawn}

// workTurn is a machine's turn to be out for work.
type workTurn struct {
	number  uint64
	machine string
	at      map[workStep]int64 // the Unix second in which the first sidecar logged the step
}

var workLine = regexp.MustCompile(`^work: (given|free|done|over|withdrawn)"? number=(\d+) by=\d+ machine=(\S+)`)

// addWork counts a message on machines out for work; false: it is not one.
func (f *Fleet) addWork(second int64, message string) bool {
	m := workLine.FindStringSubmatch(message)
	if m == nil {
		return false
	}
	step, machine := workStep(m[1]), m[3]
	number, err := strconv.ParseUint(m[2], 10, 32)
	if err != nil {
		return false
	}
	turn := f.workTurns[number]
	if turn == nil {
		turn = &workTurn{number, machine, make(map[workStep]int64)}
		f.workTurns[number] = turn
	}
	if at, known := turn.at[step]; !known || second < at {
		turn.at[step] = second
	}
	return true
}

// turnsByNumber returns the turns in the order of their numbers.
func (f *Fleet) turnsByNumber() []*workTurn {
	var turns []*workTurn
	for _, number := range slices.Sorted(maps.Keys(f.workTurns)) {
		turns = append(turns, f.workTurns[number])
	}
	return turns
}

// reportWork writes a line for each turn, with the second of each step.
func (f *Fleet) reportWork(w io.Writer, first int64) error {
	if len(f.workTurns) == 0 {
		return nil
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "turn\tmachine\tgiven\tfree\tdone\tover\twithdrawn")
	for _, turn := range f.turnsByNumber() {
		fmt.Fprintf(t, "%d\t%s", turn.number, turn.machine)
		for _, step := range workSteps {
			if at, known := turn.at[step]; known {
				fmt.Fprintf(t, "\t%d", at-first)
			} else {
				fmt.Fprint(t, "\t-")
			}
		}
		fmt.Fprintln(t)
	}
	return t.Flush()
}
