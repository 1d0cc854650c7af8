package config

import (
	"errors"
	"strings"
	"testing"

	"caperarch/internal/lab/testbed"
)

const poolsText = `[pools.ledger]
config = "ledger.json"
weight = 3

[pools.meters]
config = "meters.json"

[[routes]]
host = "ledger.example.org"
pool = "ledger"

[[routes]]
host = "meters.example.org"
prefix = "/reading"
pool = "meters"
`

// parseTestPools parses a pools file whose two pools both have the given configuration file.
func parseTestPools(t *testing.T, text, config string) (*Pools, error) {
	t.Helper()
	return parsePools([]byte(text), func(name string) ([]byte, error) {
		if name != "ledger.json" && name != "meters.json" {
			return nil, errors.New(name + ": no such file")
		}
		return []byte(config), nil
	})
}

// parsePools reads pools and routes, and its error names the line or the field of an invalid entry.
func TestParsePools(t *testing.T) {
	config := testbed.ConfigText(t, testbed.Listed(1, "ready", "127.0.0.1:80"), nil)
	p, err := parseTestPools(t, poolsText, config)
	if err != nil {
		t.Fatal(err)
	}
	if len(p.List) != 2 || p.List[0].Name != "ledger" || p.List[0].Weight != 3 || p.List[1].Weight != 1 ||
		len(p.List[1].Config.KnownServers.Servers) != 1 {
		t.Errorf("parsed pools are %+v, want ledger with weight 3 and meters with weight 1 and 1 server", p)
	}
	if again, _ := parseTestPools(t, poolsText, config); !again.List[0].EqualExceptWeight(p.List[0]) ||
		again.List[0].EqualExceptWeight(p.List[1]) {
		t.Error("EqualExceptWeight is false for the same pool, or true for two different pools")
	}
	for name, c := range map[string]struct{ old, new, want string }{
		"unknown key":   {"weight = 3", "wait = 3", "line 3"},
		"unknown table": {"[pools.meters]", "[pool.meters]", "line"},
		"invalid TOML":  {"weight = 3", "weight = ", "line 3"},
		"type":          {"weight = 3", `weight = "much"`, "line 3"},
		"weight":        {"weight = 3", "weight = 0", "pools.ledger.weight"},
		"weight is NaN": {"weight = 3", "weight = nan", "pools.ledger.weight"},
		"no such file":  {"ledger.json", "other.json", "pools.ledger.config"},
		"unknown pool":  {`pool = "meters"`, `pool = "waters"`, "line 12"},
		"tie":           {"meters.example.org\"\nprefix = \"/reading\"", "LEDGER.example.org.\"", "ties with line 8"},
		"no routes": {`[[routes]]
host = "ledger.example.org"
pool = "ledger"

[[routes]]
host = "meters.example.org"
prefix = "/reading"
pool = "meters"
`, "", "none"},
	} {
		text := strings.Replace(poolsText, c.old, c.new, 1)
		if text == poolsText {
			t.Fatalf("%s: the text to replace is not in the pools file", name)
		}
		if _, err := parseTestPools(t, text, config); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: error %v, want an error that contains %q", name, err, c.want)
		}
	}
	for name, config := range map[string]string{
		"invalid JSON": "{",
		"no discovery": strings.Replace(config, "127.0.0.1:1\"", "\"", 1),
		"most_tries":   strings.Replace(config, `"most_tries":3`, `"most_tries":0`, 1),
	} {
		if _, err := parseTestPools(t, poolsText, config); err == nil ||
			!strings.Contains(err.Error(), "pools.ledger.config") {
			t.Errorf("%s: error %v, want an error that names pools.ledger.config", name, err)
		}
	}
}
