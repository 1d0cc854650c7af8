package plugin

import (
	"fmt"
	"log/slog"
	"maps"
	"math"
	"os"
	"slices"
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

	maxNodes       = 1 << 16 // of Known: a guard against a broken list
	maxConnections = 1 << 16 // no process can hold more
	maxCalls       = 1 << 20
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

	known        call.ServerList   // from a file, beside Known: draining servers are in it too
	sharedLimits pool.SharedLimits // of the pools of one client; nil: none
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
		Classes: namesByNumber(f.Classes), Tenants: namesByNumber(f.Tenants), Zones: namesByNumber(f.Zones),
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

// namesByNumber is the inverse of numbersByName.
func namesByNumber(numbers map[string]int) []string {
	names := make([]string, len(numbers))
	for name, i := range numbers {
		if i < len(names) {
			names[i] = name
		}
	}
	return names
}

// numbersByName turns a list of names into the number of each.
func numbersByName(names []string) map[string]int {
	numbers := make(map[string]int, len(names))
	for i, name := range names {
		numbers[name] = i
	}
	return numbers
}

// knownServers is Known as the engine's list.
func (c *Config) knownServers() call.ServerList {
	zones := numbersByName(c.Zones)
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

// loadReport is LoadReport as the transport needs it.
func (c *Config) loadReport() (names []string, columns wire.Columns) {
	if c.Policy.Reports == 0 {
		return nil, nil
	}
	for name, field := range c.LoadReport {
		names, columns = append(names, name), append(columns, field)
	}
	return names, columns
}

func or[T comparable](v, otherwise T) T {
	var zero T
	if v == zero {
		return otherwise
	}
	return v
}
