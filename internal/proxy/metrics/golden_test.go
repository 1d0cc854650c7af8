package metrics

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against changes of metric names and labels, which dashboards and alerts use. The help texts are not compared.
func TestSeriesNamesAreUnchanged(t *testing.T) {
	snapshot := Snapshot{
		Handled: map[string][3]uint64{"meters": {1, 2, 3}}, Tries: 4, InProgress: 5, Known: 6, Skipped: 7,
		Peers: &Peers{
			Members: map[string]int{"alive": 8}, Contact: true, Sidecars: 9, SentBytes: 10, Dropped: 11,
			Policy: &Policy{
				Holds: 12, Goes: "both", UnderWay: 13, Changes: map[string]uint64{"in force": 14},
				Work: Work{Plans: 15, Paused: 16, Turn: 17, Machines: map[string]int{"drained": 18}},
			},
		},
	}
	var text strings.Builder
	if err := snapshot.WriteText(&text); err != nil {
		t.Fatal(err)
	}
	var got strings.Builder
	for line := range strings.Lines(text.String()) {
		if !strings.HasPrefix(line, "# HELP ") {
			got.WriteString(line)
		}
	}
	want, err := os.ReadFile(filepath.Join("testdata", "series.txt"))
	if err != nil {
		t.Fatal(err)
	}
	if got.String() != string(want) {
		t.Errorf("series are\n%s, want\n%s", got.String(), want)
	}
}
