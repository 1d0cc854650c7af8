package cli

import "testing"

// Scripts go by these exit codes and set this variable.
func TestExitCodesAndVariable(t *testing.T) {
	for name, code := range map[string]struct{ got, want int }{
		"done":                 {ExitOK, 0},
		"refused":              {ExitRejected, 1},
		"used wrongly":         {ExitUsage, 2},
		"no answer that tells": {ExitUndetermined, 3},
	} {
		if code.got != code.want {
			t.Errorf("%s: exit code %d, want %d", name, code.got, code.want)
		}
	}
	if AddressesVariable != "MESHD_AT" {
		t.Errorf("the variable is %s, want MESHD_AT", AddressesVariable)
	}
}
