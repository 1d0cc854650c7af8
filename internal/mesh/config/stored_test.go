package config

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"
)

// testdata/snapshot.json was stored by an earlier release after it had applied request_replace and request_update, and
// had rejected request_ahead because the base version of that request had not been applied.
const storedSnapshot = "snapshot"

// golden returns a file that an earlier release wrote.
func golden(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", name+".json"))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// requests are the bodies that operators sent, in order, with the outcome of the first and of a repeated request.
var requests = []struct {
	name              string
	read              func(body []byte) (*Change, error)
	outcome, repeated Outcome
}{
	{"request_replace", ParseReplace, Applied, Duplicate},
	{"request_update", ParseUpdate, Applied, Duplicate},
	{"request_ahead", ParseUpdate, Rejected, Rejected},
}

func TestChangeEncodingIsUnchanged(t *testing.T) {
	for _, request := range requests {
		change, err := request.read(golden(t, request.name))
		if err != nil {
			t.Fatal(err)
		}
		sent := golden(t, request.name+"_sent")
		if got := change.Encode(); string(got) != string(sent) {
			t.Errorf("%s is encoded as\n%s, want\n%s", request.name, got, sent)
		}
		received, err := DecodeChange(sent)
		if err != nil || !reflect.DeepEqual(received, change) {
			t.Errorf("%s is decoded as %+v, %v, want %+v", request.name, received, err, change)
		}
	}
}

func TestSnapshotEncodingIsUnchanged(t *testing.T) {
	snapshot := Empty()
	for _, request := range requests {
		change, err := request.read(golden(t, request.name))
		if err != nil {
			t.Fatal(err)
		}
		next, outcome, _ := snapshot.Apply(change)
		if outcome != request.outcome {
			t.Errorf("%s: outcome %v, want %v", request.name, outcome, request.outcome)
		}
		snapshot = next
	}
	got, err := snapshot.Encode()
	if want := golden(t, storedSnapshot); err != nil || string(got) != string(want) {
		t.Errorf("Encode returns error %v and\n%s, want\n%s", err, got, want)
	}
}

// A request that is sent again after an upgrade gets the same outcome as before the upgrade.
func TestStoredSnapshotKnowsItsRequests(t *testing.T) {
	snapshot, err := Decode(golden(t, storedSnapshot))
	if err != nil {
		t.Fatal(err)
	}
	for _, request := range requests {
		change, err := request.read(golden(t, request.name))
		if err != nil {
			t.Fatal(err)
		}
		if _, outcome, _ := snapshot.Apply(change); outcome != request.repeated {
			t.Errorf("repeated %s: outcome %v, want %v", request.name, outcome, request.repeated)
		}
	}
	if got, err := snapshot.Encode(); err != nil || string(got) != string(golden(t, storedSnapshot)) {
		t.Errorf("encoding the decoded snapshot returns error %v and\n%s, want the stored bytes", err, got)
	}
}

func TestStoredSnapshotIsDecodedInFull(t *testing.T) {
	snapshot, err := Decode(golden(t, storedSnapshot))
	if err != nil {
		t.Fatal(err)
	}
	if got := snapshot.Version(); got != 9 {
		t.Errorf("version %d, want 9", got)
	}
	if got, want := *snapshot.Match("meters.example", "/read/1"), (Route{
		Name: "meters", Host: "meters.example", Prefix: "/read", Idempotent: true,
		Timeout: 2500 * time.Millisecond, LatencyTarget: 250 * time.Millisecond, Priority: 3,
		Targets:     []Target{{Service: "meters-a", Weight: 3}, {Service: "meters-b", Weight: 1}},
		MaxAttempts: 2, Public: true,
	}); !reflect.DeepEqual(got, want) {
		t.Errorf("route %+v, want %+v", got, want)
	}
	for _, want := range []Service{
		{Name: "meters-a", HealthPath: "/ready", MaxConnections: 12},
		{Name: "meters-b", HealthPath: "/ready", MaxConnections: 13},
		{Name: "meters-c", HealthPath: "/", MaxConnections: 14},
	} {
		if got := snapshot.Service(want.Name); got == nil || *got != want {
			t.Errorf("service %+v, want %+v", got, want)
		}
	}
	if got := snapshot.Service("meters-d"); got != nil {
		t.Errorf("service meters-d was removed, but Service returns %+v", got)
	}
	for _, key := range []string{"key-1", "key-2"} {
		got := snapshot.Tenant(key)
		if got == nil || got.Name != "grid <&> é" || got.Priority != 1 || got.RatePerS != 30.5 || got.Burst != 61 {
			t.Errorf("the tenant with key %s is %+v", key, got)
		}
	}
	if got, want := snapshot.Limits(), (Limits{
		HeaderBytes: 9000, BodyBytes: 90000, HeaderTimeout: 1500 * time.Millisecond, IdleTimeout: 20 * time.Second,
	}); got != want {
		t.Errorf("limits %+v, want %+v", got, want)
	}
}

// An update lists the resources to remove by kind.
func TestUpdateRemovesEachKind(t *testing.T) {
	for remove, removed := range map[string]func(s *Snapshot) bool{
		`{"routes":["meters"]}`:      func(s *Snapshot) bool { return s.Match("meters.example", "/read/1") == nil },
		`{"services":["meters-c"]}`:  func(s *Snapshot) bool { return s.Service("meters-c") == nil },
		`{"tenants":["grid <&> é"]}`: func(s *Snapshot) bool { return s.Tenant("key-1") == nil },
		`{"limits":["limits"]}`:      func(s *Snapshot) bool { return s.Limits() == Empty().Limits() },
	} {
		snapshot, err := Decode(golden(t, storedSnapshot))
		if err != nil {
			t.Fatal(err)
		}
		change, err := ParseUpdate([]byte(`{"configVersion":11,"baseVersion":9,"remove":` + remove + `}`))
		if err != nil {
			t.Fatal(err)
		}
		if removed(snapshot) {
			t.Errorf("remove %s: the resource is missing before the update", remove)
		}
		if next, outcome, err := snapshot.Apply(change); outcome != Applied || !removed(next) {
			t.Errorf("remove %s: outcome %v, %v, want Applied and the resource removed", remove, outcome, err)
		}
	}
}
