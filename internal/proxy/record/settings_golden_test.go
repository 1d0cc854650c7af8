package record

import (
	"testing"

	"caperarch/internal/mesh/goldentest"
	"caperarch/policy"
)

// Recordings hold the settings of a module as JSON; testdata has it as an earlier release wrote it.
func TestSettingsInRecordings(t *testing.T) {
	goldentest.CheckJSON[policy.Config](t, "config")
	goldentest.CheckJSON[policy.Limits](t, "limits")
}
