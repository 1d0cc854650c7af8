package call

import (
	"testing"
	"time"
)

func TestParseDurationTakesOnlyNumbersWithAUnit(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"480m": 480 * time.Millisecond, "250u": 250 * time.Microsecond, "0.5m": 500 * time.Microsecond, "0u": 0,
		"99999999999999999999m": MaxDuration,
	} {
		if got, ok := ParseDuration(text); !ok || got != want {
			t.Errorf("duration %q is parsed as %v, %v, want %v", text, got, ok, want)
		}
	}
	for _, text := range []string{
		"", "m", "480", "480s", "1e3m", "0x5m", "1_0m", "Infm", " 5m", "5 m", "1.2.3m", "-1m", "+1m",
	} {
		if got, ok := ParseDuration(text); ok {
			t.Errorf("duration %q is parsed as %v, want it rejected", text, got)
		}
	}
}
