package record

import (
	"testing"

	"caperarch/internal/mesh/goldentest"
	"caperarch/policy"
)

// Recordings contain the configuration and the limits of a balancer as JSON. Guards against an incompatible change of
// this JSON: testdata has files that an earlier release wrote.
func TestSettingsInRecordings(t *testing.T) {
	goldentest.CheckJSON[policy.Config](t, "config")
	goldentest.CheckJSON[policy.Limits](t, "limits")
}
