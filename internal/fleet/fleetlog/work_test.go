package fleetlog

import (
	"bytes"
	"errors"
	"strings"
	"testing"
)

// A step of a maintenance window has the second in which a sidecar logged it first, whatever the order of the logs.
// A window that has not ended is drawn up to the last event. Without windows, there is nothing to draw.
func TestMaintenanceWindows(t *testing.T) {
	f := New()
	if err := f.DrawMaintenance(new(bytes.Buffer)); !errors.Is(err, ErrNoMaintenance) {
		t.Errorf("%v", err)
	}
	line := func(second, text string) string {
		return "time=2026-12-02T01:00:" + second + ".000Z level=INFO msg=" + text + "\n"
	}
	logs := []string{
		line("01", `"work: given" number=1 by=0 machine=s-1 plan=1`) +
			line("03", `"work: free" number=1 by=0 machine=s-1`) +
			line("08", `"work: done" number=1 by=2 machine=s-1`) +
			line("14", `"work: over" number=1 by=0 machine=s-1`),
		line("00", `"serving"`) +
			line("02", `"work: given" number=1 by=0 machine=s-1 plan=1`) +
			line("09", `"work: given" number=2 by=0 machine=s-2 plan=1`) +
			line("20", `"work: planned" number=2 by=0`),
	}
	for _, text := range logs {
		if err := f.Read("log", strings.NewReader(text)); err != nil {
			t.Fatal(err)
		}
	}
	var report, svg bytes.Buffer
	if err := f.Report(&report); err != nil {
		t.Fatal(err)
	}
	got := strings.Join(strings.Fields(report.String()), " ")
	for _, want := range []string{"1 s-1 1 3 8 14 -", "2 s-2 9 - - - -"} {
		if !strings.Contains(got, want) {
			t.Errorf("want %q in the report, got %s", want, report.String())
		}
	}
	if err := f.DrawMaintenance(&svg); err != nil || !strings.Contains(svg.String(), "<svg") ||
		!strings.Contains(svg.String(), "s-2") {
		t.Errorf("got error %v and drawing %.200s, want SVG with machine s-2", err, svg.String())
	}
}
