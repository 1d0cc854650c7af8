package config

import (
	"strings"
	"testing"
	"time"
)

// parseFleet reads the keys of a fleet file, applies defaults, and names the field or line of an invalid value.
func TestParseFleet(t *testing.T) {
	f, err := parseFleet([]byte(
		"name = \"hives\"\nlease = \"15s\"\nclock_error = 0.002\nfleet_bytes_per_second = 600000.0\n"))
	if err != nil || f.Name != "hives" || f.Lease != 15*time.Second || f.ClockError != 0.002 ||
		f.BytesPerSidecar(300) != 2000 {
		t.Errorf("file with all keys: parsed fleet is %+v, error %v", f, err)
	}
	if f, err = parseFleet([]byte("name = \"hives\"")); err != nil || f.Lease != 0 || f.ClockError != 0 ||
		f.BytesPerSidecar(300) != defaultBytesPerSidecar {
		t.Errorf("file with only a name: parsed fleet is %+v, error %v", f, err)
	}
	for text, want := range map[string]string{
		"": "name",
		"name = \"" + strings.Repeat("x", 65) + "\"": "name",
		"name = \"a\"\nlease = \"0s\"":               "lease",
		"name = \"a\"\nlease = \"soon\"":             "lease",
		"name = \"a\"\nlease = \"2h\"":               "lease",
		"name = \"a\"\nclock_error = 0.0":            "clock_error",
		"name = \"a\"\nclock_error = nan":            "clock_error",
		"name = \"a\"\nclock_error = 0.2":            "clock_error",
		"name = \"a\"\nfleet_bytes_per_second = 1.0": "fleet_bytes_per_second",
		"name = \"a\"\nleese = \"1s\"":               "line 2",
		"name = \"a\"\nname = \"b\"":                 "line 2",
		"name = 1":                                   "line 1",
		"\xff":                                       "line 1",
	} {
		if _, err := parseFleet([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("fleet file %q: error %v, want an error that names %s", text, err, want)
		}
	}
}
