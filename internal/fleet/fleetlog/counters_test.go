package fleetlog

import (
	"bytes"
	"strings"
	"testing"
)

// Counters are summed over restarts of a process: a restart neither reduces the sum nor counts an increase twice. A
// log that is truncated in the middle of a line, or that has values which are not valid numbers, is read as far as
// possible.
func TestCountersAreSummedOverRestarts(t *testing.T) {
	f := New()
	for name, text := range map[string]string{
		"n0": `2026/12/01 14:03:49 INFO serving name=n0
2026/12/01 14:03:59 INFO counters module="{Ordinary:60 Walled:2 Held:5 Refused:3}" upstream="map[broken:0 dialled:7 open:7 stale:0]"
2026/12/01 14:04:09 INFO counters module="{Ordinary:100 Walled:2 Held:9 Refused:3}" upstream="map[broken:0 dialled:9 open:7 stale:0]"
2026/12/01 14:04:12 INFO serving name=n0
2026/12/01 14:04:22 INFO counters module="{Ordinary:110 Walled:0 Held:20 Refused:1}" upstream="map[broken:0 dialled:4 open:7 stale:0]"
2026/12/01 14:04:32 INFO counters module="{Ordinary:115 Wal`,
		"n1": `2026/12/01 14:03:59 INFO counters module="{Ordinary:10 Held:99999999999999999999999 Refused:x}" upstream="map[dialled:1]"
2026/12/01 14:04:09 INFO counters module="{Ordinary:4}" upstream="map[dialled:1]"
`,
	} {
		if err := f.Read(name, strings.NewReader(text)); err != nil {
			t.Fatal(err)
		}
	}
	want := Counters{Sent: 100 + 115 + 14, Walled: 2, Held: 29, Refused: 4, Dialled: 14}
	if got := f.Counters(); got != want {
		t.Errorf("counters are %+v, want %+v", got, want)
	}
	if most := f.MostHeld(3); len(most) != 1 || most[0] != "n0" {
		t.Errorf("logs with the highest Held are %v, want n0 alone", most)
	}
	var out bytes.Buffer
	if err := f.Report(&out); err != nil || !strings.Contains(out.String(), "n0: held back 29 times") {
		t.Errorf("report is %q with error %v, want the line of n0", out.String(), err)
	}
}
