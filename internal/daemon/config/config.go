// Package config reads and checks the daemon's files: its own configuration (JSON), the pools file and the fleet file
// (TOML). It starts nothing, and what it returns is not changed later. Errors name the file, line or field.
package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"caperarch/internal/proxy/call"
	"caperarch/internal/proxy/membership"
	"caperarch/internal/proxy/wire"
	"caperarch/policy"
)

// Config is a sidecar's configuration.
type Config struct {
	Path      string // of its file
	Name      string
	Listen    string // address for the application
	Discovery string // address of discovery
	Control   string // address for control calls; "": none
	Seed      uint64

	MemoryMB int // the process is killed above it; 0: no limit is known
	Sockets  int // file descriptors that it may hold

	Policy            policy.Config
	Classes           map[string]int // class by name
	Tenants           map[string]int // tenant by name; empty where there are none
	Zones             map[string]int // zone by name
	LoadReportFields  []string       // names of a load report's fields, as LoadReportColumns; none: no reports
	LoadReportColumns wire.Columns

	MaxOpenRequests int           // requests in flight
	ConnIdle        time.Duration // upstreams close connections that were idle for so long
	DialTimeout     time.Duration
	MaxDeadline     time.Duration // the longest deadline of any class

	KnownServers call.ServerList // the list of servers to start with

	PeersAllowed bool     // the settings allow sidecars to send one another datagrams
	PeerListen   string   // address for them
	Peers        []string // of each sidecar, by its number

	Methods map[string]Method // of a client: classes by RPC method
}

// Method gives the class and the tenant of the calls of an RPC method.
type Method struct {
	Class  string `json:"class"`
	Tenant string `json:"tenant"`
}

// Read reads the configuration file at path. The environment's EDGE_NAME, EDGE_LISTEN, EDGE_DISCOVERY and
// EDGE_CONTROL are the defaults of the fields that the file leaves out.
func Read(path string) (*Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("EDGE_CONFIG: %w", err)
	}
	c, err := Parse(raw, os.Getenv)
	if err != nil {
		return nil, err
	}
	c.Path = path
	return c, nil
}

// Parse parses the content of a configuration file; env looks up a variable of the environment.
func Parse(raw []byte, env func(string) string) (*Config, error) {
	c, err := parse(raw, env)
	if err != nil {
		return nil, err
	}
	addresses := map[string]string{"listen": c.Listen, "discovery": c.Discovery}
	if c.Control != "" {
		addresses["control"] = c.Control
	}
	for field, address := range addresses {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return nil, fmt.Errorf("config: %s: %w", field, err)
		}
	}
	return c, nil
}

// clientFields are the fields that a client's file may have; a client ignores some of them.
var clientFields = []string{
	"name", "listen", "discovery", "control", "seed", "limits", "peer_listen", "peers", "peers_all",
	"known", "settings", "methods",
}

// ParseClient parses the file of a client that has no sidecar beside it: the environment is not used, no listen
// address is needed, and an unknown field is an error that names it.
func ParseClient(raw []byte) (*Config, error) {
	c, err := parse(raw, func(string) string { return "" })
	if err != nil {
		return nil, err
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(raw, &fields); err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	for _, field := range slices.Sorted(maps.Keys(fields)) {
		if !slices.Contains(clientFields, field) {
			return nil, fmt.Errorf("config: %s: unknown field", field)
		}
	}
	if c.Discovery != "" {
		if _, _, err := net.SplitHostPort(c.Discovery); err != nil {
			return nil, fmt.Errorf("config: discovery: %w", err)
		}
	}
	if len(fields["methods"]) > 0 {
		d := json.NewDecoder(bytes.NewReader(fields["methods"]))
		d.DisallowUnknownFields()
		if err := d.Decode(&c.Methods); err != nil {
			return nil, fmt.Errorf("config: methods: %w", err)
		}
	}
	return c, nil
}

// parse parses a file without checking its addresses.
func parse(raw []byte, env func(string) string) (*Config, error) {
	var file struct {
		Name, Listen, Discovery, Control, Seed string
		Limits                                 struct {
			MemoryMB float64 `json:"memory_mb"`
			Sockets  float64
		}
		PeerListen string `json:"peer_listen"`
		Peers      []string
		Known      json.RawMessage
		Settings   json.RawMessage
	}
	if err := json.Unmarshal(raw, &file); err != nil {
		return nil, fmt.Errorf("EDGE_CONFIG: %w", err)
	}
	orEnv := func(value, variable string) string {
		if value == "" {
			return env(variable)
		}
		return value
	}
	c := &Config{
		Name:      orEnv(file.Name, "EDGE_NAME"),
		Listen:    orEnv(file.Listen, "EDGE_LISTEN"),
		Discovery: orEnv(file.Discovery, "EDGE_DISCOVERY"),
		Control:   orEnv(file.Control, "EDGE_CONTROL"),
		MemoryMB:  int(file.Limits.MemoryMB),
		Sockets:   int(file.Limits.Sockets),

		PeerListen: file.PeerListen, Peers: file.Peers,
	}
	if c.Sockets == 0 {
		c.Sockets = 1024
	}
	if c.Sockets < 32 || c.MemoryMB < 0 {
		return nil, fmt.Errorf("config: limits: sockets %d or memory_mb %d is too small", c.Sockets, c.MemoryMB)
	}
	var err error
	if c.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("config: seed: %w", err)
	}
	if len(file.Settings) == 0 {
		return nil, fmt.Errorf("config: settings are missing")
	}
	s, err := wire.SettingsFromJSON(file.Settings)
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	if err := c.applySettings(s); err != nil {
		return nil, err
	}
	if len(file.Known) > 0 {
		if c.KnownServers, err = membership.Parse(file.Known, c.Zones); err != nil {
			return nil, fmt.Errorf("config: known: %w", err)
		}
	}
	return c, nil
}

// applySettings reads the settings: the decision module's, and what else the sidecar needs.
func (c *Config) applySettings(s *wire.Settings) error {
	var err error
	if c.Policy, err = s.Config(); err != nil {
		return fmt.Errorf("config: %w", err)
	}
	names := func(list string) map[string]int {
		byName := make(map[string]int)
		for i := range s.Count(list + ".count") {
			byName[s.Text(fmt.Sprintf("%s.%d.name", list, i))] = i
		}
		return byName
	}
	c.Classes, c.Tenants, c.Zones = names("classes"), names("orgs"), make(map[string]int)
	for i, zone := range strings.Split(s.Text("zones"), ",") {
		c.Zones[zone] = i
	}
	if c.LoadReportColumns = s.Columns(); c.Policy.Reports != 0 {
		c.LoadReportFields = strings.Split(s.Text("telemetry.columns"), ",")
	}
	c.MaxOpenRequests = int(s.Number("caps.max_open"))
	c.PeersAllowed = s.Text("caps.peers") == "true"
	c.ConnIdle = s.Duration("caps.conn_idle_ms")
	c.DialTimeout = s.Duration("caps.dial_timeout_ms")
	for _, k := range c.Policy.Classes {
		c.MaxDeadline = max(c.MaxDeadline, k.Deadline)
	}
	if err := s.Err(); err != nil {
		return fmt.Errorf("config: %w", err)
	}
	durations := map[string]time.Duration{"caps.conn_idle_ms": c.ConnIdle, "caps.dial_timeout_ms": c.DialTimeout}
	for field, d := range durations {
		if d <= 0 {
			return fmt.Errorf("config: settings: %s is %v, a time above 0 is needed", field, d)
		}
	}
	if c.MaxOpenRequests < 0 {
		return fmt.Errorf("config: settings: caps.max_open is %d", c.MaxOpenRequests)
	}
	return nil
}

// ClientConns is how many connections of clients the process may hold. The descriptors are divided: half for
// clients' connections, a third of all for the application's requests among these, most of the rest for
// upstreams, and a reserve for connections that are being closed and for the process itself.
func (c *Config) ClientConns() int { return c.Sockets / 2 }

// ApplicationConns is how many of ClientConns the application may use for its requests.
func (c *Config) ApplicationConns() int { return c.Sockets / 3 }

// UpstreamConns is how many connections to upstreams the process may hold.
func (c *Config) UpstreamConns() int { return c.Sockets * 3 / 8 }

// MaxBodyBytes bounds the bodies of clients that are buffered at once, in bytes.
func (c *Config) MaxBodyBytes() int64 {
	if c.MemoryMB == 0 {
		return math.MaxInt64
	}
	return int64(c.MemoryMB) << 20 / 8
}
