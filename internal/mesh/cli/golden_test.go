package cli

import "testing"

// Operators' scripts evaluate the exit codes and set the environment variable, so neither may change.
func TestExitCodesAndVariable(t *testing.T) {
	for name, exitCode := range map[string]struct{ got, want int }{
		"done":                   {ExitOK, 0},
		"refused":                {ExitRejected, 1},
		"invalid command line":   {ExitUsage, 2},
		"no conclusive response": {ExitUndetermined, 3},
	} {
		if exitCode.got != exitCode.want {
			t.Errorf("%s: exit code is %d, want %d", name, exitCode.got, exitCode.want)
		}
	}
	if AddressesVariable != "MESHD_AT" {
		t.Errorf("the environment variable with the addresses is %s, want MESHD_AT", AddressesVariable)
	}
}
