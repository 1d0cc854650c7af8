package controlplane

import "testing"

// Core machines of the release before ask each other at these paths.
func TestPaths(t *testing.T) {
	for want, got := range map[string]string{
		"/mesh/members":       announcePath,
		"/mesh/describe":      describePath,
		"/mesh/roll":          rollPath,
		"/mesh/propose/whole": proposeAt(true),
		"/mesh/propose/part":  proposeAt(false),
	} {
		if got != want {
			t.Errorf("a path is %q, want %q", got, want)
		}
	}
}
