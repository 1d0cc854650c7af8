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

// Default values and limits of a Config.
const (
	DefaultMaxConnections = 256              // connections to all servers
	DefaultMaxCalls       = 1024             // concurrent calls
	DefaultMaxBodyBytes   = 16 << 20         // total size of the bodies of concurrent calls
	DefaultDialTimeout    = time.Second      // time for a connection to be established
	DefaultConnIdle       = 30 * time.Second // time after which servers close idle connections

	// MaxBody is the largest body of a request or response in bytes. The protocol sets it to 64 KiB.
	MaxBody = call.MaxBufferedBody

	maxNodes       = 1 << 16 // limit for Config.Known that rejects a corrupt list
	maxConnections = 1 << 16 // a process can't hold more connections
	maxCalls       = 1 << 20
)

// Node is a server listed in Config.Known.
type Node struct {
	ID      string // identical in every process and stable across restarts of the server
	Address string // host:port
	Zone    string
	Cell    int // nodes of the same cell share their deduplication of idempotency keys
	Weight  float64
	Started time.Time // time of the last start of the server; zero: long ago
}

// Method assigns a class and a tenant to the calls of an RPC method.
type Method struct {
	Class  string // one of Config.Classes
	Tenant string // one of Config.Tenants; used if the call names no tenant
}

// Config configures a client. Only fields whose comment allows it may keep their zero values.
type Config struct {
	Name string // name of this client in log entries; may be empty
	Seed uint64 // seed of the random number generator; 0: a random seed

	// Discovery is the address (host:port) of the discovery service that publishes the list of servers. Clients of one
	// process that use the same address share one watch. If Discovery is empty, the list is always Known.
	Discovery string
	Known     []Node // initial list of servers; may be empty if Discovery is set

	// Policy configures load balancing: classes with their effects and deadlines, tenants with their shares, retries
	// and slow start. MayCancel is always treated as set.
	Policy  policy.Config
	Classes []string // names of Policy.Classes, in the same order
	Tenants []string // names of Policy.Tenants, in the same order
	Zones   []string // names of the zone numbers in Policy.Zone and the server list; may be empty

	// Methods assigns a class and a tenant to calls that name no class. The keys are full gRPC method names
	// ("/package.Service/Method") or HTTP paths. May be empty.
	Methods map[string]Method

	// LoadReport maps the field names in load reports of servers ("TEXT name=value, name=value") to the load figure
	// that each field carries. A field is used only if Policy.Reports includes its figure. May be empty.
	LoadReport map[string]policy.LoadFields

	// Limits; 0 selects the default.
	MaxConnections int
	MaxCalls       int
	MaxBodyBytes   int64
	DialTimeout    time.Duration
	ConnIdle       time.Duration

	Log *slog.Logger // nil: logging is disabled

	known        call.ServerList   // servers from a configuration file, added to Known; includes draining servers
	sharedLimits pool.SharedLimits // limits that the pools of one client share; nil: the client has one pool
}

// ReadConfig reads the JSON configuration file of a daemon. It ignores "listen". "methods" may assign classes and
// tenants to methods: {"/p.S/M": {"class": "a", "tenant": "b"}}. Of the limits, "sockets" limits the connections and
// "memory_mb" the total size of the bodies. Errors name the file and the field.
func ReadConfig(path string) (Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("caperarch: %w", err)
	}
	c, err := ParseConfig(text)
	if err != nil {
		return Config{}, fmt.Errorf("caperarch: %s: %w", path, err)
	}
	return c, nil
}

// ParseConfig parses the text of a configuration file in the form that ReadConfig reads.
func ParseConfig(text []byte) (Config, error) {
	f, err := config.ParseClient(text)
	if err != nil {
		return Config{}, err
	}
	return configFromFile(f), nil
}

// configFromFile converts the configuration file of a daemon to the configuration of a client.
func configFromFile(f *config.Config) Config {
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

// namesByNumber returns the names in the order of their numbers. It is the inverse of numbersByName.
func namesByNumber(numbers map[string]int) []string {
	names := make([]string, len(numbers))
	for name, i := range numbers {
		if i < len(names) {
			names[i] = name
		}
	}
	return names
}

// numbersByName maps each name to its index in the list.
func numbersByName(names []string) map[string]int {
	numbers := make(map[string]int, len(names))
	for i, name := range names {
		numbers[name] = i
	}
	return numbers
}

// knownServers converts Known and the servers of the configuration file to a server list of the load balancer.
func (c *Config) knownServers() call.ServerList {
	zones := numbersByName(c.Zones)
	list := call.ServerList{
		Full: true, Servers: slices.Clone(c.known.Servers), Addresses: make(map[policy.ServerID]string),
	}
	maps.Copy(list.Addresses, c.known.Addresses)
	for _, n := range c.Known {
		s := policy.Server{ID: call.ServerID(n.ID), Zone: -1, Cell: n.Cell, State: policy.Ready, Weight: n.Weight}
		if zone, known := zones[n.Zone]; known {
			s.Zone = zone
		}
		if !n.Started.IsZero() {
			s.Started = time.Duration(n.Started.UnixNano())
		}
		list.Servers = append(list.Servers, s)
		list.Addresses[s.ID] = n.Address
	}
	return list
}

// loadReport splits LoadReport into field names and matching columns for the transport. It returns nil if
// Policy.Reports includes no load figure.
func (c *Config) loadReport() (names []string, columns wire.Columns) {
	if c.Policy.Reports == 0 {
		return nil, nil
	}
	for name, field := range c.LoadReport {
		names, columns = append(names, name), append(columns, field)
	}
	return names, columns
}

// orDefault returns v, or defaultValue if v is the zero value of its type.
func orDefault[T comparable](v, defaultValue T) T {
	var zero T
	if v == zero {
		return defaultValue
	}
	return v
}
