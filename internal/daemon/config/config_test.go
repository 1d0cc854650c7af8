package config

import (
	"strings"
	"testing"
	"time"

	"caperarch/internal/lab/testbed"
	"caperarch/policy"
)

// Parse reads the identity, limits, classes, tenants, zones and policy of a configuration file.
func TestParse(t *testing.T) {
	text := testbed.ConfigText(t, testbed.Listed(41, "ready", "127.0.0.1:80"), nil)
	c, err := Parse([]byte(text), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	if c.Seed != 0x8c1f30d27a5be964 || c.ConnIdle != 30*time.Second || c.MaxDeadline != 20*time.Second ||
		c.KnownServers.Version != 41 || c.Classes["entry"] != 1 || c.Tenants["south"] != 1 ||
		c.Zones["b"] != 1 || c.MaxOpenRequests != 100 {
		t.Errorf("parsed configuration is %+v, which differs from the file", c)
	}
	p := c.Policy
	if p.MaxAttempts != 3 || p.Classes[0].Effect != policy.Deduplicated || p.Classes[1].Effect != policy.NonIdempotent ||
		p.Tenants[1].Quota != 50 || p.SlowStartTime != 5*time.Second || p.Reports&policy.HasInFlight == 0 {
		t.Errorf("decision module configuration is %+v, which differs from the settings", p)
	}
}

// The error for an invalid configuration is one line that names the invalid field.
func TestInvalidConfig(t *testing.T) {
	const settings = `{"balancers":1,"caps":{"most_tries":3,"conn_idle_ms":30000,"dial_timeout_ms":250},` +
		`"classes":[{"name":"a","aim_ms":5,"hard_limit_ms":9}]}`
	const valid = `{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1f","settings":` + settings + `}`
	emptyEnv := func(string) string { return "" }
	if _, err := Parse([]byte(valid), emptyEnv); err != nil {
		t.Fatal(err)
	}
	for field, edit := range map[string][2]string{
		"EDGE_CONFIG":          {valid, "{"},
		"listen":               {`"listen":"127.0.0.1:0",`, ""},
		"discovery":            {`127.0.0.1:1`, "nowhere"},
		"seed":                 {`"1f"`, `"seed"`},
		"settings":             {`,"settings":` + settings, ""},
		"limits":               {`"seed"`, `"limits":{"sockets":3},"seed"`},
		"known":                {`"seed"`, `"known":{"instances":[]},"seed"`},
		"caps.conn_idle_ms":    {`"conn_idle_ms":30000`, `"conn_idle_ms":0`},
		"caps.dial_timeout_ms": {`,"dial_timeout_ms":250`, ""},
		"caps.most_tries":      {`"most_tries":3`, `"most_tries":"many"`},
		"classes.0.aim_ms":     {`"aim_ms":5`, `"aim_ms":"soon"`},
	} {
		raw := strings.Replace(valid, edit[0], edit[1], 1)
		_, err := Parse([]byte(raw), emptyEnv)
		if err == nil || !strings.Contains(err.Error(), field) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: Parse returned error %v, want an error of one line that names the field", field, err)
		}
	}
}
