package controlplane

import (
	"testing"

	"caperarch/internal/mesh/config"
)

// Core machines of the previous release send requests to these paths.
func TestPaths(t *testing.T) {
	for want, got := range map[string]string{
		"/mesh/members":       announcePath,
		"/mesh/describe":      describePath,
		"/mesh/roll":          memberListPath,
		"/mesh/propose/whole": proposeReplacePath,
		"/mesh/propose/part":  proposeUpdatePath,
	} {
		if got != want {
			t.Errorf("path %q, want %q", got, want)
		}
	}
}

// A command in the log is the eight bytes of the proposal ID followed by the change as JSON.
func TestLogCommandEncoding(t *testing.T) {
	change, err := config.ParseUpdate([]byte(`{"configVersion": 9, "baseVersion": 7}`))
	if err != nil {
		t.Fatal(err)
	}
	want := "\x01\x02\x03\x04\x05\x06\x07\x08" + `{"form":"update","body":{"configVersion":9,"baseVersion":7}}`
	if got := encodeCommand(0x0102030405060708, change); string(got) != want {
		t.Errorf("encoded command %q, want %q", got, want)
	}
}
