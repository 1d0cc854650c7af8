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

// goes is by what a sidecar says that it goes from a moment on.
type goes struct {
	second int64
	log    string
	by     string // "cut off", "3", "2 and 3"
}

var (
	goesBy = regexp.MustCompile(`^policy: goes by"? mode="?(one|both|cut off)"? version=(\d+) old=(\d+)`)
	step   = regexp.MustCompile(`^policy: (proposed|offered|taken|called off|settled|begun|refused)"? version=(\d+)`)
)

// policy takes a line on the fleet's policy; false: it is none.
func (f *Fleet) policy(second int64, log, message string) bool {
	if m := goesBy.FindStringSubmatch(message); m != nil {
		by := m[1]
		switch by {
		case "one":
			by = m[2]
		case "both":
			by = m[3] + " and " + m[2]
		}
		f.goes = append(f.goes, goes{second, log, by})
		return true
	}
	if m := step.FindStringSubmatch(message); m != nil {
		text := m[1] + " " + m[2]
		if f.steps[text] == nil {
			f.steps[text] = make(map[int64]int)
		}
		f.steps[text][second]++
		return true
	}
	return strings.HasPrefix(message, "policy: ")
}

// reportPolicy writes by what sidecars went, for each second in which that changed, and what was heard of the log then: "taken 3 x20" is twenty sidecars that heard in that second
// that version 3 was taken. A process that has just begun is cut off.
func (f *Fleet) reportPolicy(w io.Writer, first int64) error {
	if len(f.goes) == 0 {
		return nil
	}
	slices.SortStableFunc(f.goes, func(a, b goes) int { return int(a.second - b.second) })
	now := make(map[string]string)
	for _, g := range f.goes {
		now[g.log] = "cut off"
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "second\tsidecars by what they go by\theard")
	for i := 0; i < len(f.goes); {
		second := f.goes[i].second
		for ; i < len(f.goes) && f.goes[i].second == second; i++ {
			now[f.goes[i].log] = f.goes[i].by
		}
		count := make(map[string]int)
		for _, by := range now {
			count[by]++
		}
		var by, heard []string
		for _, name := range slices.Sorted(maps.Keys(count)) {
			by = append(by, fmt.Sprintf("%s: %d", name, count[name]))
		}
		for _, text := range slices.Sorted(maps.Keys(f.steps)) {
			if n := f.steps[text][second]; n > 0 {
				heard = append(heard, fmt.Sprintf("%s x%d", text, n))
			}
		}
		fmt.Fprintf(t, "%d\t%s\t%s\n", second-first, strings.Join(by, ", "), strings.Join(heard, ", "))
	}
	return t.Flush()
}
