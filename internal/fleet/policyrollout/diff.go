package policyrollout

import (
	"fmt"
	"maps"
	"slices"
)

// Diff lists the differences of two policies for operators, one line per field: "+" for a field that only new
// sets, "-" for a field that only old sets, "~" for a changed value.
func Diff(old, new *Policy) (lines []string) {
	was, is := old.fields(), new.fields()
	names := maps.Clone(was)
	maps.Copy(names, is)
	for _, field := range slices.Sorted(maps.Keys(names)) {
		before, inOld := was[field]
		after, inNew := is[field]
		switch {
		case !inOld:
			lines = append(lines, fmt.Sprintf("+ %s = %s", field, after))
		case !inNew:
			lines = append(lines, fmt.Sprintf("- %s = %s, the settings hold again", field, before))
		case before != after:
			lines = append(lines, fmt.Sprintf("~ %s: %s to %s", field, before, after))
		}
	}
	return lines
}

// fields returns the values that a policy sets, by field name.
func (p *Policy) fields() map[string]string {
	all := make(map[string]string)
	number := func(field string, v *float64) {
		if v != nil {
			all[field] = fmt.Sprint(*v)
		}
	}
	count := func(field string, v *int) {
		if v != nil {
			all[field] = fmt.Sprint(*v)
		}
	}
	for name, t := range p.Tenants {
		number("tenants."+name+".share", t.Share)
		number("tenants."+name+".quota", t.Quota)
	}
	count("limits.attempts", p.Limits.Attempts)
	count("limits.open", p.Limits.Open)
	count("limits.queue", p.Limits.Queue)
	number("retry.free", p.Retry.Free)
	number("retry.share", p.Retry.Share)
	for _, id := range p.DisabledUpstreams {
		all["out "+id] = "out"
	}
	return all
}
