package controlplane

import (
	"context"
	"fmt"
	"strings"

	"caperarch/internal/mesh/config"
	"caperarch/internal/mesh/errs"
)

// replaceChange returns a change that replaces all services by services with the given names, on top of
// the base version.
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

// removeChange returns a change that removes a service, on top of the base version.
func removeChange(version, base int64, service string) *config.Change {
	body := fmt.Appendf(nil, `{"configVersion":%d,"baseVersion":%d,"remove":{"services":["%s"]}}`,
		version, base, service)
	change, err := config.ParseUpdate(body)
	if err != nil {
		panic(err)
	}
	return change
}

// encoded returns the encoded form of a configuration, which includes its request log.
func encoded(c *config.Snapshot) string {
	data, err := c.Encode()
	if err != nil {
		panic(err)
	}
	return string(data)
}

// finishQueue waits until the state machine has processed all queued log items.
func finishQueue(m *stateMachine) {
	if err := m.waitProcessed(context.Background()); err != nil {
		panic(err)
	}
}

// resultOf returns the version and the error kind (0 without an error) of a proposal's result. ok is
// false if there is no result yet.
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
