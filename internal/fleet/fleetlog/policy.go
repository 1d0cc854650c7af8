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

// The policy modes of a sidecar, under the names that they have in the log: it applies one version of the policy,
// two versions during a change, or none.
const (
	modeOneVersion   = "one"
	modeBothVersions = "both"
	modeCutOff       = "cut off"
)

// policyChange says which policy a sidecar applies from a second on.
type policyChange struct {
	second int64  // Unix second
	log    string // name of the sidecar's log
	policy string // as in the report: a version, two versions as in "2 and 3", or modeCutOff
}

var (
	// modePattern matches a message about the policy that a sidecar applies.
	modePattern = regexp.MustCompile(`^policy: goes by"? mode="?(one|both|cut off)"? version=(\d+) old=(\d+)`)
	// policyEventPattern matches a message about a step of a change of the policy.
	policyEventPattern = regexp.MustCompile(
		`^policy: (proposed|offered|taken|called off|settled|begun|refused)"? version=(\d+)`)
)

// addPolicy records a message about the fleet's policy. It returns false for other messages.
func (f *Fleet) addPolicy(second int64, log, message string) bool {
	if match := modePattern.FindStringSubmatch(message); match != nil {
		f.policyChanges = append(f.policyChanges, policyChange{second, log, policyOf(match[1], match[2], match[3])})
		return true
	}
	if match := policyEventPattern.FindStringSubmatch(message); match != nil {
		event := match[1] + " " + match[2]
		if f.policyEvents[event] == nil {
			f.policyEvents[event] = make(map[int64]int)
		}
		f.policyEvents[event][second]++
		return true
	}
	return strings.HasPrefix(message, "policy: ")
}

// policyOf returns the policy that a sidecar applies, as it is written in the report.
func policyOf(mode, version, oldVersion string) string {
	switch mode {
	case modeOneVersion:
		return version
	case modeBothVersions:
		return oldVersion + " and " + version
	}
	return mode
}

// reportPolicy writes how many sidecars applied which policy, for each second in which this changed, and the policy
// events of that second: "taken 3 x20" means that 20 sidecars logged that version 3 was taken. A process that has
// just started counts as cut off.
func (f *Fleet) reportPolicy(w io.Writer, first int64) error {
	if len(f.policyChanges) == 0 {
		return nil
	}
	changes := f.policyChanges
	slices.SortStableFunc(changes, func(a, b policyChange) int { return int(a.second - b.second) })
	current := make(map[string]string) // policy by log
	for _, change := range changes {
		current[change.log] = modeCutOff
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "second\tsidecars by what they go by\theard")
	for len(changes) > 0 {
		second := changes[0].second
		for len(changes) > 0 && changes[0].second == second {
			current[changes[0].log] = changes[0].policy
			changes = changes[1:]
		}
		fmt.Fprintf(table, "%d\t%s\t%s\n", second-first, countPolicies(current), f.policyEventsAt(second))
	}
	return table.Flush()
}

// countPolicies returns the number of sidecars by policy, as in "2: 1, 2 and 3: 4".
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

// policyEventsAt returns the policy events of a second, as in "proposed 3 x1, taken 3 x20".
func (f *Fleet) policyEventsAt(second int64) string {
	var parts []string
	for _, event := range slices.Sorted(maps.Keys(f.policyEvents)) {
		if n := f.policyEvents[event][second]; n > 0 {
			parts = append(parts, fmt.Sprintf("%s x%d", event, n))
		}
	}
	return strings.Join(parts, ", ")
}
