package conformance

import (
	"testing"
)

// classes by effect, as testbed.Settings has them.
var classes = map[string]string{"safe": "look", "keyed": "reading", "unsafe": "entry"}

// Cases is the list.
func Cases() []Case {
	var list []Case
	add := func(name string, run func(t *testing.T, w *World)) { list = append(list, Case{name, run}) }
	endings(add)
	allNodes(add)
	unreachable(add)
	invalid(add)
	cells(add)
	compartments(add)
	drains(add)
	lists(add)
	cancelled(add)
	prompt(add)
	concurrent(add)
	return list
}
