package config

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"caperarch/internal/lab/testbed"
	"caperarch/internal/proxy/strictconfig"
)

// daemonFile returns a daemon's configuration file with valid settings, a valid server list and the given values.
func daemonFile(t *testing.T, values map[string]any) []byte {
	t.Helper()
	var file map[string]any
	text := testbed.ConfigText(t, testbed.Listed(1, "ready", "127.0.0.1:80"), nil)
	if err := json.Unmarshal([]byte(text), &file); err != nil {
		t.Fatal(err)
	}
	for _, key := range []string{"name", "listen", "discovery", "control"} {
		delete(file, key)
	}
	for key, value := range values {
		file[key] = value
	}
	raw, err := json.Marshal(file)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// Existing deployments use these configuration keys and environment variables, so the keys and variables must not
// change.
func TestConfigFileKeys(t *testing.T) {
	type fields struct {
		Name, Listen, Discovery, Control, PeerListen string
		Seed                                         uint64
		MemoryMB, Sockets                            int
		Peers                                        []string
	}
	limits := map[string]any{"memory_mb": 301, "sockets": 902}
	for name, c := range map[string]struct {
		values map[string]any
		env    map[string]string
		want   fields
	}{
		"all in the file": {
			values: map[string]any{
				"name": "s-1", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "control": "127.0.0.1:3", "seed": "1f",
				"limits": limits, "peer_listen": "127.0.0.1:4", "peers": []string{"127.0.0.1:5", "127.0.0.1:6"},
			},
			want: fields{
				Name: "s-1", Listen: "127.0.0.1:1", Discovery: "127.0.0.1:2", Control: "127.0.0.1:3", Seed: 0x1f,
				MemoryMB: 301, Sockets: 902, PeerListen: "127.0.0.1:4", Peers: []string{"127.0.0.1:5", "127.0.0.1:6"},
			},
		},
		"defaults from the environment": {
			values: map[string]any{"seed": "2f", "limits": limits},
			env: map[string]string{
				"EDGE_NAME": "s-2", "EDGE_LISTEN": "127.0.0.1:7",
				"EDGE_DISCOVERY": "127.0.0.1:8", "EDGE_CONTROL": "127.0.0.1:9",
			},
			want: fields{
				Name: "s-2", Listen: "127.0.0.1:7", Discovery: "127.0.0.1:8", Control: "127.0.0.1:9", Seed: 0x2f,
				MemoryMB: 301, Sockets: 902,
			},
		},
	} {
		got, err := Parse(daemonFile(t, c.values), func(variable string) string { return c.env[variable] })
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if len(got.KnownServers.Servers) != 1 {
			t.Errorf("%s: initial server list is %+v, want 1 server", name, got.KnownServers)
		}
		if got := (fields{
			Name: got.Name, Listen: got.Listen, Discovery: got.Discovery, Control: got.Control, Seed: got.Seed,
			MemoryMB: got.MemoryMB, Sockets: got.Sockets, PeerListen: got.PeerListen, Peers: got.Peers,
		}); !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: parsed fields are %+v, want %+v", name, got, c.want)
		}
	}
}

// Existing deployments use these keys of the fleet file, so the keys must not change.
func TestFleetFileKeys(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	const cutOff = "[limits]\nopen = 20\n"
	write("cut-off.toml", cutOff)
	path := write("fleet.toml", `name = "hives"
lease = "15s"
clock_error = 0.002
fleet_bytes_per_second = 600000.5
[policy]
cut_off = "cut-off.toml"
state = "kept"
`)
	got, err := ReadFleet(path)
	if err != nil {
		t.Fatal(err)
	}
	want := &Fleet{
		Path: path, Name: "hives", Lease: 15 * time.Second, ClockError: 0.002, BytesPerSecond: 600000.5,
		Policy: &FleetPolicy{FallbackPolicy: []byte(cutOff), StateDir: filepath.Join(dir, "kept")},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("fleet file was read as %+v, want %+v", got, want)
	}
}

// Existing deployments use these keys of the pools file, so the keys must not change.
func TestPoolsFileKeys(t *testing.T) {
	var file poolsFile
	if err := strictconfig.DecodeTOML([]byte(`walls = false
[pools.ledger]
config = "ledger.json"
weight = 3
[[routes]]
host = "ledger.example"
path = "/exactly"
prefix = "/below"
method = "POST"
class = "reading"
pool = "ledger"
`), &file); err != nil {
		t.Fatal(err)
	}
	ledger := file.Pools["ledger"]
	if ledger.Config != "ledger.json" || ledger.Weight == nil || *ledger.Weight != 3 ||
		file.Bulkheads == nil || *file.Bulkheads {
		t.Errorf("pools file was decoded as %+v, want config ledger.json, weight 3 and no bulkheads", file)
	}
	want := []Route{{
		Host: "ledger.example", Path: "/exactly", Prefix: "/below", Method: "POST", Class: "reading", Pool: "ledger",
	}}
	if !reflect.DeepEqual(file.Routes, want) {
		t.Errorf("routes were decoded as %+v, want %+v", file.Routes, want)
	}
}
