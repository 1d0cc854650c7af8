package controlplane

import (
	"testing"

	"caperarch/internal/mesh/config"
)

// Core machines of the release before ask each other at these paths.
func TestPaths(t *testing.T) {
	for want, got := range map[string]string{
		"/mesh/members":       announcePath,
		"/mesh/describe":      describePath,
		"/mesh/roll":          memberListPath,
		"/mesh/propose/whole": proposeReplacePath,
		"/mesh/propose/part":  proposeUpdatePath,
	} {
		if got != want {
			t.Errorf("a path is %q, want %q", got, want)
		}
	}
}

// The log holds a change behind the eight bytes of its proposal's number.
func TestCommandInTheLog(t *testing.T) {
	change, err := config.ParseUpdate([]byte(`{"configVersion": 9, "baseVersion": 7}`))
	if err != nil {
		t.Fatal(err)
	}
	want := "\x01\x02\x03\x04\x05\x06\x07\x08" + `{"form":"update","body":{"configVersion":9,"baseVersion":7}}`
	if got := encodeCommand(0x0102030405060708, change); string(got) != want {
		t.Errorf("the command is %q, want %q", got, want)
	}
}
