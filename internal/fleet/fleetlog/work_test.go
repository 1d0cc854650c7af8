package fleetlog

import (
	"bytes"
	"errors"
	"strings"
	"testing"
)

// Each step counts where it was logged first; what goes on reaches to the end.
func TestTurnsOfMachines(t *testing.T) {
	f := New()
	if err := f.DrawWork(new(bytes.Buffer)); !errors.Is(err, ErrNoWork) {
		t.Errorf("%v", err)
	}
	line := func(second, text string) string {
		return "time=2026-12-02T01:00:" + second + ".000Z level=INFO msg=" + text + "\n"
	}
	logs := []string{
		line("01", `"work: given" number=1 by=0 machine=s-1 plan=1`) + line("03", `"work: free" number=1 by=0 machine=s-1`) + line("08", `"work: done" number=1 by=2 machine=s-1`) + line("14", `"work: over" number=1 by=0 machine=s-1`),
		line("00", `"serving"`) + line("02", `"work: given" number=1 by=0 machine=s-1 plan=1`) + line("09", `"work: given" number=2 by=0 machine=s-2 plan=1`) + line("20", `"work: planned" number=2 by=0`),
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
			t.Errorf("no %q in %s", want, report.String())
		}
	}
	if err := f.DrawWork(&svg); err != nil || !strings.Contains(svg.String(), "<svg") || !strings.Contains(svg.String(), "s-2") {
		t.Errorf("%v: %.200s", err, svg.String())
	}
}
