package controlplane

import (
	"context"
	"fmt"
	"strings"

	"caperarch/internal/mesh/config"
	"caperarch/internal/mesh/errs"
)

// replaceChange is a change to a version that builds on another, with services of these names in place
// of all.
func replaceChange(version, base int64, services ...string) *config.Change {
	resources := make([]string, len(services))
	for i, name := range services {
		resources[i] = fmt.Sprintf(`{"resourceType":"services","metadata":{"name":"%s"},`+
			`"specification":{"x":"<&>"}}`, name)
	}
	body := fmt.Appendf(nil, `{"configVersion": %d, "baseVersion": %d, "resources": [%s]}`,
		version, base, strings.Join(resources, ","))
	change, err := config.ParseReplace(body)
	if err != nil {
		panic(err)
	}
	return change
}

// removeChange is a change that removes a service.
func removeChange(version, base int64, service string) *config.Change {
	body := fmt.Appendf(nil, `{"configVersion":%d,"baseVersion":%d,"remove":{"services":["%s"]}}`,
		version, base, service)
	change, err := config.ParseUpdate(body)
	if err != nil {
		panic(err)
	}
	return change
}

// encoded is all that a snapshot holds, with its request log.
func encoded(c *config.Snapshot) string {
	data, err := c.Encode()
	if err != nil {
		panic(err)
	}
	return string(data)
}

// finishQueue waits until everything is applied.
func finishQueue(m *stateMachine) {
	if err := m.waitProcessed(context.Background()); err != nil {
		panic(err)
	}
}

// resultOf returns the version and the kind of error of a result, 0 without an error, and whether there
// is a result by now.
func resultOf(results <-chan proposalResult) (version int64, kind errs.Kind, ok bool) {
	select {
	case result := <-results:
		if result.err != nil {
			return result.version, errs.KindOf(result.err), true
		}
		return result.version, 0, true
	default:
		return 0, 0, false
	}
}
