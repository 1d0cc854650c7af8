package plugin

import (
	"fmt"
	"log/slog"
	"maps"
	"math"
	"net"
	"os"
	"slices"
	"strings"
	"time"

	"caperarch/internal/daemon/config"
	"caperarch/internal/proxy/call"
	"caperarch/internal/proxy/pool"
	"caperarch/internal/proxy/wire"
	"caperarch/policy"
)

// Defaults and bounds of a Config.
const (
	DefaultMaxConnections = 256              // to all servers together
	DefaultMaxCalls       = 1024             // held at once
	DefaultMaxBodyBytes   = 16 << 20         // of their bodies
	DefaultDialTimeout    = time.Second      // for a connection to come up
	DefaultConnIdle       = 30 * time.Second // servers close idle connections after this

	// MaxBody bounds one body, either way, in bytes (the protocol: 64 KiB).
	MaxBody = call.MaxBufferedBody

	mostNodes       = 1 << 16 // of Known: a guard against a broken list
	mostConnections = 1 << 16 // no process can hold more
	mostCalls       = 1 << 20
)

// Node is a server as Config.Known lists it.
type Node struct {
	ID      string // the same in every process and after a restart
	Address string // host:port
	Zone    string
	Cell    int // nodes of one cell drop each other's repeats of a key
	Weight  float64
	Started time.Time // its last start; zero: long ago
}

// Method says what the calls of an RPC method are.
type Method struct {
	Class  string // one of Config.Classes
	Tenant string // one of Config.Tenants, where the call itself names none
}

// Config is what a client starts with. Only the fields marked so may be left at their zero values.
type Config struct {
	Name string // of this process, for the log; may be empty
	Seed uint64 // of random numbers; 0: a random one

	// Discovery is the address (host:port) of the list of servers, followed as the protocol says. Clients of one
	// process that follow the same one share a watch on it. Empty: Known is the list for good.
	Discovery string
	Known     []Node // the servers as last known; may be empty where Discovery is set

	// Policy holds the module's settings: classes with their effects and deadlines, tenants with their shares,
	// retries, cold starts. Its MayCancel is always taken as set.
	Policy  policy.Config
	Classes []string // the names of Policy.Classes, in their order
	Tenants []string // the names of Policy.Tenants, in their order
	Zones   []string // the names behind zone numbers: Policy.Zone and the list's; may be empty

	// Methods says which calls are of which class, where they don't say so themselves: by full gRPC method name
	// ("/package.Service/Method") or by path for HTTP. May be empty.
	Methods map[string]Method

	// LoadReport names the fields of the servers' load reports ("TEXT name=value, name=value") and what each tells.
	// They count where Policy.Reports has them. May be empty.
	LoadReport map[string]policy.LoadFields

	// Bounds; 0 stands for the default.
	MaxConnections int
	MaxCalls       int
	MaxBodyBytes   int64
	DialTimeout    time.Duration
	ConnIdle       time.Duration

	Log *slog.Logger // nil: nothing is logged

	known call.ServerList   // from a file, beside Known: servers that drain are in it too
	walls pool.SharedLimits // shared with the other pools of a client; nil: none
}

// ReadConfig reads a daemon's configuration file (JSON, the deployment page's form). listen is not needed and
// passed over; "methods" may name classes by method: {"/p.S/M": {"class": "a", "tenant": "b"}}. Of the
// limits sockets bounds the connections and memory_mb the bodies. The error names the file and the field.
func ReadConfig(path string) (Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("caperarch: %w", err)
	}
	c, err := ParseConfig(raw)
	if err != nil {
		return Config{}, fmt.Errorf("caperarch: %s: %w", path, err)
	}
	return c, nil
}

// ParseConfig reads the text of such a file.
func ParseConfig(raw []byte) (Config, error) {
	f, err := config.ParseClient(raw)
	if err != nil {
		return Config{}, err
	}
	return configOf(f), nil
}

// configOf is a file's configuration as a client takes it.
func configOf(f *config.Config) Config {
	c := Config{
		Name: f.Name, Seed: f.Seed, Discovery: f.Discovery, Policy: f.Policy,
		Classes: byNumber(f.Classes), Tenants: byNumber(f.Tenants), Zones: byNumber(f.Zones),
		Methods: make(map[string]Method), LoadReport: make(map[string]policy.LoadFields),
		MaxConnections: f.UpstreamConns(), MaxCalls: f.MaxOpenRequests,
		DialTimeout: f.DialTimeout, ConnIdle: f.ConnIdle, known: f.KnownServers,
	}
	if b := f.MaxBodyBytes(); b < math.MaxInt64 {
		c.MaxBodyBytes = b
	}
	for name, m := range f.Methods {
		c.Methods[name] = Method(m)
	}
	for i, name := range f.LoadReportFields {
		if name != "" && i < len(f.LoadReportColumns) {
			c.LoadReport[name] = f.LoadReportColumns[i]
		}
	}
	return c
}

// byNumber turns a table of numbers by name into the names in their order.
func byNumber(numbers map[string]int) []string {
	names := make([]string, len(numbers))
	for name, i := range numbers {
		if i < len(names) {
			names[i] = name
		}
	}
	return names
}

// normal checks a Config and fills in what was left out. The error names the field.
func (c Config) normal() (Config, error) {
	bad := func(field, format string, args ...any) (Config, error) {
		return Config{}, &InvalidError{"Config." + field, fmt.Sprintf(format, args...)}
	}
	if c.Discovery == "" && len(c.Known)+len(c.known.Servers) == 0 {
		return bad("Discovery", "it is empty and Known too: there is no server to send to")
	}
	if c.Discovery != "" {
		if _, _, err := net.SplitHostPort(c.Discovery); err != nil {
			return bad("Discovery", "%v", err)
		}
	}
	if c.Discovery == "" && c.Policy.ListOnDemand {
		return bad("Policy.AskList", "it is set, but Discovery is empty")
	}
	for _, list := range []struct {
		field, of string
		names     []string
		want      int
	}{{"Classes", "Policy.Classes", c.Classes, len(c.Policy.Classes)}, {"Tenants", "Policy.Tenants", c.Tenants, len(c.Policy.Tenants)},
		{"Zones", "", c.Zones, len(c.Zones)}} {
		if len(list.names) != list.want {
			return bad(list.field, "%d names for %d of %s", len(list.names), list.want, list.of)
		}
		seen := make(map[string]bool)
		for i, name := range list.names {
			if name == "" || seen[name] || strings.ContainsAny(name, "\r\n") {
				return bad(list.field, "[%d] is %q: each needs a name of its own", i, name)
			}
			seen[name] = true
		}
	}
	if len(c.Zones) > 0 && (c.Policy.Zone < 0 || c.Policy.Zone >= len(c.Zones)) {
		return bad("Policy.Zone", "%d is not the number of one of the %d Zones", c.Policy.Zone, len(c.Zones))
	}
	if len(c.Known) > mostNodes {
		return bad("Known", "%d nodes, %d at most", len(c.Known), mostNodes)
	}
	ids := make(map[string]bool)
	for i, n := range c.Known {
		switch _, _, err := net.SplitHostPort(n.Address); {
		case n.ID == "" || ids[n.ID]:
			return bad("Known", "[%d].ID is %q: each node needs one of its own", i, n.ID)
		case err != nil:
			return bad("Known", "[%d].Address: %v", i, err)
		case !(n.Weight >= 0) || math.IsInf(n.Weight, 0):
			return bad("Known", "[%d].Weight is %v", i, n.Weight)
		}
		ids[n.ID] = true
	}
	classes, tenants := index(c.Classes), index(c.Tenants)
	for name, m := range c.Methods {
		switch _, known := classes[m.Class]; {
		case !strings.HasPrefix(name, "/"):
			return bad("Methods", "%q does not begin with a slash", name)
		case !known:
			return bad("Methods", "%q: class %q is none of Classes", name, m.Class)
		}
		if _, known := tenants[m.Tenant]; !known && m.Tenant != "" {
			return bad("Methods", "%q: tenant %q is none of Tenants", name, m.Tenant)
		}
	}
	for name := range c.LoadReport {
		if name == "" || strings.ContainsAny(name, "=, \r\n") {
			return bad("LoadReport", "%q is no field's name", name)
		}
	}
	if c.MaxConnections < 0 || c.MaxConnections > mostConnections {
		return bad("MaxConnections", "%d is not within 0 and %d", c.MaxConnections, mostConnections)
	}
	if c.MaxCalls < 0 || c.MaxCalls > mostCalls {
		return bad("MaxCalls", "%d is not within 0 and %d", c.MaxCalls, mostCalls)
	}
	if c.MaxBodyBytes < 0 {
		return bad("MaxBodyBytes", "%d is below 0", c.MaxBodyBytes)
	}
	if c.DialTimeout < 0 {
		return bad("DialTimeout", "%v is below 0", c.DialTimeout)
	}
	if c.ConnIdle < 0 {
		return bad("ConnIdle", "%v is below 0", c.ConnIdle)
	}
	c.MaxConnections = or(c.MaxConnections, DefaultMaxConnections)
	c.MaxCalls = or(c.MaxCalls, DefaultMaxCalls)
	c.MaxBodyBytes = or(c.MaxBodyBytes, DefaultMaxBodyBytes)
	c.DialTimeout = or(c.DialTimeout, DefaultDialTimeout)
	c.ConnIdle = or(c.ConnIdle, DefaultConnIdle)
	c.Policy.MayCancel = true // every transport here can
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	return c, nil
}

func or[T comparable](v, otherwise T) T {
	var zero T
	if v == zero {
		return otherwise
	}
	return v
}

// index turns names into their places.
func index(names []string) map[string]int {
	at := make(map[string]int, len(names))
	for i, name := range names {
		at[name] = i
	}
	return at
}

// listing is Known in the engine's form.
func (c *Config) listing() call.ServerList {
	zones := index(c.Zones)
	l := call.ServerList{Full: true, Servers: slices.Clone(c.known.Servers), Addresses: make(map[policy.ServerID]string)}
	maps.Copy(l.Addresses, c.known.Addresses)
	for _, n := range c.Known {
		s := policy.Server{ID: call.ServerID(n.ID), Zone: -1, Cell: n.Cell, State: policy.Ready, Weight: n.Weight}
		if zone, known := zones[n.Zone]; known {
			s.Zone = zone
		}
		if !n.Started.IsZero() {
			s.Started = time.Duration(n.Started.UnixNano())
		}
		l.Servers = append(l.Servers, s)
		l.Addresses[s.ID] = n.Address
	}
	return l
}

// reports is LoadReport in the transport's form.
func (c *Config) reports() (names []string, columns wire.Columns) {
	if c.Policy.Reports == 0 {
		return nil, nil
	}
	for name, field := range c.LoadReport {
		names, columns = append(names, name), append(columns, field)
	}
	return names, columns
}
