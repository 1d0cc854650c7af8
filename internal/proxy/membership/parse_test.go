package membership

import (
	"testing"
	"time"

	"caperarch/internal/proxy/call"
	"caperarch/policy"
)

// Parse rejects a response if any of its entries is malformed.
func TestParse(t *testing.T) {
	l, err := Parse([]byte(`{"generation":41,"reset":false,"further":1,"instances":[
		{"instanceId":"s-1","hostPort":"127.0.0.1:80","zone":"b","machineType":"m2","cell":3,"lifecycle":"ready",
		 "weight":1.5,"startedAtMs":1500.5},
		{"instanceId":"s-2","hostPort":"127.0.0.1:81","zone":"not in zones","lifecycle":"draining"},
		{"instanceId":"s-3","hostPort":"127.0.0.1:82","lifecycle":"pausing"},
		{"instanceId":"s-4","lifecycle":"gone"}]}`), map[string]int{"a": 0, "b": 1})
	if err != nil {
		t.Fatal(err)
	}
	want := []policy.Server{
		{
			ID: call.ServerID("s-1"), Zone: 1, Cell: 3, State: policy.Ready, Weight: 1.5,
			Started: 1500500 * time.Microsecond,
		},
		{ID: call.ServerID("s-2"), Zone: -1, State: policy.Draining},
		{ID: call.ServerID("s-3"), Zone: -1, State: policy.Draining},
		{ID: call.ServerID("s-4"), Zone: -1, State: policy.Deregistered},
	}
	if l.Version != 41 || l.Full || len(l.Servers) != len(want) || l.Addresses[want[1].ID] != "127.0.0.1:81" {
		t.Fatalf("list is %+v, want version 41 with 4 changed servers", l)
	}
	for i := range want {
		if l.Servers[i] != want[i] {
			t.Errorf("server is %+v, want %+v", l.Servers[i], want[i])
		}
	}
	for _, bad := range []string{
		"", "{", "[]", `{"instances":[]}`, `{"generation":"x"}`,
		`{"generation":1,"instances":[{"hostPort":"127.0.0.1:80","lifecycle":"ready"}]}`,
		`{"generation":1,"instances":[{"instanceId":"s","hostPort":"nowhere","lifecycle":"ready"}]}`,
		`{"generation":1,"instances":[{"instanceId":"s","hostPort":"127.0.0.1:80","weight":"heavy"}]}`,
		`{"generation":1,"instances":[{"instanceId":"s","hostPort":"127.0.0.1:80","startedAtMs":1e300}]}`,
	} {
		if _, err := Parse([]byte(bad), nil); err == nil {
			t.Errorf("%q: Parse returned no error", bad)
		}
	}
}
