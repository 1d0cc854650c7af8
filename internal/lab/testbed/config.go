package testbed

import (
	"encoding/json"
	"fmt"
	"strings"
)

// Settings are valid settings for tests. They have three request classes: reading has idempotency keys, and a cell
// drops repeats within 600 ms; entry is not idempotent; look is safe. Their latency targets are longer than any test
// waits. There are two tenants, north and south.
const Settings = `{"balancers":1,"me":0,"discovery":"push","period_ms":5.0,"zones":["a","b"],
 "caps":{"conn_idle_ms":30000.0,"dial_timeout_ms":5000.0,"may_cancel":true,"most_tries":3,"max_open":100,
  "max_retry_after_ms":1200.0,"probes":false},
 "classes":[{"name":"reading","aim_ms":10000.0,"hard_limit_ms":20000.0,"semantics":"guarded",
   "dedup_scope":"cell","window_ms":600.0,"worth":5.0},
  {"name":"entry","aim_ms":10000.0,"hard_limit_ms":20000.0,"semantics":"single_shot","worth":2.0},
  {"name":"look","aim_ms":10000.0,"hard_limit_ms":20000.0,"semantics":"free","worth":1.0}],
 "orgs":[{"name":"north","share":0.7,"quota_per_s":100.0},{"name":"south","share":0.3,"quota_per_s":50.0}],
 "rules":{"cold_from":0.3,"cold_ms":5000.0,"fall_multiple":2.5},
 "telemetry":{"how":"pull","columns":["failed_ps","svc_ms","served_ps","busy_reqs"]}}`

// Listed returns a discovery response that lists addresses as instances s-0, s-1 and so on, in zone a and cell 0.
func Listed(generation int, lifecycle string, addresses ...string) string {
	var entries []string
	for i, a := range addresses {
		entries = append(entries, fmt.Sprintf(
			`{"instanceId":"s-%d","hostPort":%q,"zone":"a","cell":0,"lifecycle":%q,"weight":1.0,"startedAtMs":0}`,
			i, a, lifecycle))
	}
	return fmt.Sprintf(`{"generation":%d,"reset":true,"instances":[%s]}`, generation, strings.Join(entries, ","))
}

// ConfigText returns a valid configuration file for the daemon or a plug-in. The function edit, if not nil, changes its
// decoded JSON.
func ConfigText(t TB, known string, edit func(file, settings map[string]any)) string {
	t.Helper()
	var file, settings map[string]any
	text := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964",
		"limits":{"cores":1.0,"memory_mb":192,"sockets":256},"known":%s}`, known)
	if err := json.Unmarshal([]byte(text), &file); err != nil {
		t.Fatalf("testbed: daemon configuration: %v", err)
	}
	if err := json.Unmarshal([]byte(Settings), &settings); err != nil {
		t.Fatalf("testbed: settings: %v", err)
	}
	if edit != nil {
		edit(file, settings)
	}
	file["settings"] = settings
	raw, err := json.Marshal(file)
	if err != nil {
		t.Fatalf("testbed: daemon configuration: %v", err)
	}
	return string(raw)
}
