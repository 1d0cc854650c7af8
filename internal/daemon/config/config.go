// Package config reads and validates the daemon's files: its own configuration (JSON), the pools file and the fleet
// file (TOML). The package starts no goroutine, and the returned values are immutable. Errors name the file, line or
// field.
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

// Config is the configuration of a sidecar, or of a client that runs without a sidecar (ParseClient).
type Config struct {
	Path      string // path of the configuration file
	Name      string
	Listen    string // address on which the application connects
	Discovery string // address of the discovery service
	Control   string // address for control calls; "" disables the control port
	Seed      uint64

	MemoryMB int // memory limit in MiB, above which the process is killed; 0: no limit is known
	Sockets  int // maximum number of open file descriptors of the process

	Policy            policy.Config
	Classes           map[string]int // class index by class name
	Tenants           map[string]int // tenant index by tenant name; empty if no tenants are configured
	Zones             map[string]int // zone index by zone name
	LoadReportFields  []string       // field names of a load report, in the order of LoadReportColumns; nil: no reports
	LoadReportColumns wire.Columns

	MaxOpenRequests int           // maximum number of requests in flight; 0: unlimited
	ConnIdle        time.Duration // idle time after which upstreams close a connection
	DialTimeout     time.Duration
	MaxDeadline     time.Duration // longest deadline of all classes

	KnownServers call.ServerList // initial list of servers, used until discovery answers

	PeersAllowed bool     // the settings allow sidecars to exchange datagrams
	PeerListen   string   // address on which this sidecar receives datagrams of other sidecars
	Peers        []string // datagram address of each sidecar, indexed by the sidecar's number

	Methods map[string]Method // class and tenant by RPC method; set by ParseClient only
}

// Method is the class and the tenant of the calls to one RPC method.
type Method struct {
	Class  string `json:"class"`
	Tenant string `json:"tenant"`
}

// Read reads the configuration file at path. The environment variables EDGE_NAME, EDGE_LISTEN, EDGE_DISCOVERY and
// EDGE_CONTROL are the defaults of the fields that the file omits.
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

// Parse parses the content of a configuration file; env looks up an environment variable.
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

// clientFields are the fields that a client's configuration file may have. A client ignores the fields that only a
// sidecar needs, such as listen and control.
var clientFields = []string{
	"name", "listen", "discovery", "control", "seed", "limits", "peer_listen", "peers", "peers_all",
	"known", "settings", "methods",
}

// ParseClient parses the configuration file of a client that runs without a sidecar. Environment variables are
// ignored, the listen and discovery addresses are optional, and an unknown field returns an error that names the
// field.
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

// parse parses a configuration file without validating its addresses.
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

// applySettings sets the configuration of the decision module and the other fields of c that come from the settings.
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

// ClientConns returns the maximum number of client connections of the process. The file descriptors are divided as
// follows: 1/2 for client connections (of which the application's requests may use 1/3 of all descriptors), 3/8 for
// upstream connections, and the remaining 1/8 for connections that are being closed and for the process itself.
func (c *Config) ClientConns() int { return c.Sockets / 2 }

// ApplicationConns returns how many of the ClientConns the application may use for its requests.
func (c *Config) ApplicationConns() int { return c.Sockets / 3 }

// UpstreamConns returns the maximum number of upstream connections of the process.
func (c *Config) UpstreamConns() int { return c.Sockets * 3 / 8 }

// MaxBodyBytes returns the maximum total size of the request bodies that are buffered at a time, in bytes: 1/8 of the
// memory limit, or unlimited if no memory limit is known.
func (c *Config) MaxBodyBytes() int64 {
	if c.MemoryMB == 0 {
		return math.MaxInt64
	}
	return int64(c.MemoryMB) << 20 / 8
}
