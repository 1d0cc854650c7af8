package handover

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"caperarch/policy"
)

// The format of the handover record must not change: the other process of a handover may be of an earlier release.
func TestRecordFormatIsUnchanged(t *testing.T) {
	const id = "the newcomer's mark"
	want := &Record{Pools: map[string]Pool{
		"": {
			Version: 7,
			Servers: []Server{
				{
					Server: policy.Server{
						ID: 1<<64 - 1, Zone: 2, Cell: 3, State: policy.Ready, Weight: 1.5, Started: 1<<62 + 1,
					},
					Address: "127.0.0.1:1", Name: "s-1",
				},
				{Server: policy.Server{ID: 2, Zone: -1, State: policy.Draining, Weight: 2}, Address: "127.0.0.1:2"},
			},
			Delisted: []policy.ServerID{1 << 63, 9},
		},
		"meters": {Version: 8},
	}}
	golden, err := os.ReadFile(filepath.Join("testdata", "caperarch-record.json"))
	if err != nil {
		t.Fatal(err)
	}
	if got, err := decode(golden, id); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("golden record was decoded as %+v, error %v, want %+v", got, err, want)
	}
	if got, err := want.encode(id); err != nil || string(got) != string(golden) {
		t.Errorf("record was encoded with error %v as\n%s, want the golden record\n%s", err, got, golden)
	}
}
