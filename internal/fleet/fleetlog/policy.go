package fleetlog

import (
	"fmt"
	"io"
	"maps"
	"regexp"
	"slices"
	"strings"
	"text/tabwriter"
)

// The modes of a sidecar in its log: it follows one version of the policy, two during a change, or none.
const (
	modeOne    = "one"
	modeBoth   = "both"
	modeCutOff = "cut off"
)

// modeChange is the policy that a sidecar follows from a second on.
type modeChange struct {
	second int64
	log    string
	policy string // as a report has it: a version, "2 and 3", or modeCutOff
}

var (
	modeLine = regexp.MustCompile(`^policy: goes by"? mode="?(one|both|cut off)"? version=(\d+) old=(\d+)`)
	stepLine = regexp.MustCompile(
		`^policy: (proposed|offered|taken|called off|settled|begun|refused)"? version=(\d+)`)
)

// addPolicy counts a message on the fleet's policy; false: it is not one.
func (f *Fleet) addPolicy(second int64, log, message string) bool {
	if m := modeLine.FindStringSubmatch(message); m != nil {
		f.modeChanges = append(f.modeChanges, modeChange{second, log, policyOf(m[1], m[2], m[3])})
		return true
	}
	if m := stepLine.FindStringSubmatch(message); m != nil {
		event := m[1] + " " + m[2]
		if f.policyEvents[event] == nil {
			f.policyEvents[event] = make(map[int64]int)
		}
		f.policyEvents[event][second]++
		return true
	}
	return strings.HasPrefix(message, "policy: ")
}

// policyOf is the policy of a mode as a report has it.
func policyOf(mode, version, oldVersion string) string {
	switch mode {
	case modeOne:
		return version
	case modeBoth:
		return oldVersion + " and " + version
	}
	return mode
}

// reportPolicy writes how many sidecars followed which policy, for each second in which that changed, and the events
// of that second: "taken 3 x20" is twenty sidecars that logged that version 3 was taken. A process that has just
// started is cut off.
func (f *Fleet) reportPolicy(w io.Writer, first int64) error {
	if len(f.modeChanges) == 0 {
		return nil
	}
	changes := f.modeChanges
	slices.SortStableFunc(changes, func(a, b modeChange) int { return int(a.second - b.second) })
	current := make(map[string]string) // the policy by log
	for _, c := range changes {
		current[c.log] = modeCutOff
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "second\tsidecars by what they go by\theard")
	for len(changes) > 0 {
		second := changes[0].second
		for len(changes) > 0 && changes[0].second == second {
			current[changes[0].log] = changes[0].policy
			changes = changes[1:]
		}
		fmt.Fprintf(t, "%d\t%s\t%s\n", second-first, countPolicies(current), f.policyEventsAt(second))
	}
	return t.Flush()
}

// countPolicies writes the number of sidecars by policy, as in "2: 1, 2 and 3: 4".
func countPolicies(byLog map[string]string) string {
	counts := make(map[string]int)
	for _, policy := range byLog {
		counts[policy]++
	}
	var parts []string
	for _, policy := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s: %d", policy, counts[policy]))
	}
	return strings.Join(parts, ", ")
}

// policyEventsAt writes the events of a second, as in "proposed 3 x1, taken 3 x20".
func (f *Fleet) policyEventsAt(second int64) string {
	var parts []string
	for _, event := range slices.Sorted(maps.Keys(f.policyEvents)) {
		if n := f.policyEvents[event][second]; n > 0 {
			parts = append(parts, fmt.Sprintf("%s x%d", event, n))
		}
	}
	return strings.Join(parts, ", ")
}
