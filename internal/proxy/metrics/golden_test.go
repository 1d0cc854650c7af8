package metrics

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Dashboards and alerts know the series by these names and labels. The help texts are free.
func TestSeriesHaveTheNamesTheyHadBefore(t *testing.T) {
	figures := Snapshot{
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
	if err := figures.WriteText(&text); err != nil {
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
		t.Errorf("the series are\n%s, want\n%s", got.String(), want)
	}
}
