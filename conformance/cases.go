package conformance

import (
	"testing"
)

// classes maps the effects to the classes that testbed.Settings configures: safe means idempotent, keyed means
// deduplicated and unsafe means non-idempotent.
var classes = map[string]string{"safe": "look", "keyed": "reading", "unsafe": "entry"}

// Cases returns all cases of the suite.
func Cases() []Case {
	var list []Case
	add := func(name string, run func(t *testing.T, f *Fixture)) { list = append(list, Case{name, run}) }
	attemptOutcomes(add)
	sameOutcomeOnAllNodes(add)
	unreachableNodes(add)
	invalidCalls(add)
	retriesAcrossCells(add)
	compartments(add)
	drains(add)
	serverLists(add)
	cancelledCalls(add)
	promptAnswers(add)
	concurrentCalls(add)
	return list
}
