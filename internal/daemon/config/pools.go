package config

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"

	"caperarch/internal/proxy/route"
	"caperarch/internal/proxy/strictconfig"
	"caperarch/policy"
)

// maxPools is the maximum number of pools in a file: each pool has an engine, a watch on discovery and a share of the
// file descriptors.
const maxPools = 100

// Pools is the validated pools file: pools of upstreams, and the routes that assign requests to pools.
type Pools struct {
	Path      string
	List      []*Pool // sorted by name
	Table     *route.Table
	Bulkheads bool // limits shared by all pools are divided among the pools by weight; false: first come, first served
}

// Pool is one pool of the pools file.
type Pool struct {
	Name   string
	Weight float64 // share of the limits that all pools share, relative to the weights of the other pools
	Config *Config // discovery, servers, classes and tenants; the process's own file sets sockets and listen address
	text   []byte  // content of the pool's configuration file, to detect a change
}

// EqualExceptWeight reports whether two pools differ at most in their weight, which can change while a pool runs.
func (p *Pool) EqualExceptWeight(q *Pool) bool {
	return p.Name == q.Name && bytes.Equal(p.text, q.text)
}

// Route is a routing rule as written in the pools file.
type Route struct {
	Host, Path, Prefix, Method, Class, Pool string
}

// poolsFile is the content of the pools file.
type poolsFile struct {
	Pools     map[string]poolEntry
	Routes    []Route
	Bulkheads *bool `toml:"walls"`
}

// poolEntry is one [pools.NAME] table of the pools file.
type poolEntry struct {
	Config string // name of the pool's configuration file
	Weight *float64
}

// routeHeader matches the [[routes]] line with which a rule begins.
var routeHeader = regexp.MustCompile(`(?m)^[ \t]*\[\[[ \t]*routes[ \t]*\]\]`)

// ReadPools reads the pools file (TOML) and the configuration file of each pool, whose name is relative to the
// directory of the pools file. Unknown keys, pools and classes, rules of equal priority and rules that can never match
// are errors that name the line or the field.
func ReadPools(path string) (*Pools, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("pools: %w", err)
	}
	p, err := parsePools(raw, func(name string) ([]byte, error) {
		if !filepath.IsAbs(name) {
			name = filepath.Join(filepath.Dir(path), name)
		}
		return os.ReadFile(name)
	})
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	p.Path = path
	return p, nil
}

// parsePools parses a pools file. The function read returns the content of a pool's configuration file.
func parsePools(raw []byte, read func(string) ([]byte, error)) (*Pools, error) {
	var file poolsFile
	if err := strictconfig.DecodeTOML(raw, &file); err != nil {
		return nil, err
	}
	if len(file.Pools) == 0 || len(file.Pools) > maxPools {
		return nil, fmt.Errorf("pools: %d of them, 1 to %d are needed", len(file.Pools), maxPools)
	}
	p := &Pools{Bulkheads: file.Bulkheads == nil || *file.Bulkheads}
	classes := make(route.Pools)
	for _, name := range slices.Sorted(maps.Keys(file.Pools)) {
		pool, err := parsePool(name, file.Pools[name], read)
		if err != nil {
			return nil, fmt.Errorf("pools.%s.%w", name, err)
		}
		classes[name] = slices.Sorted(maps.Keys(pool.Config.Classes))
		p.List = append(p.List, pool)
	}
	rules, err := parseRules(raw, file.Routes)
	if err != nil {
		return nil, err
	}
	p.Table, err = route.Compile(rules, classes)
	return p, err
}

// parsePool reads and validates one pool. The text of an error begins with the name of the invalid field.
func parsePool(name string, entry poolEntry, read func(string) ([]byte, error)) (*Pool, error) {
	pool := &Pool{Name: name, Weight: 1}
	if entry.Weight != nil {
		pool.Weight = *entry.Weight
	}
	if !(pool.Weight > 0) || pool.Weight > 1e6 {
		return nil, fmt.Errorf("weight: %v is not within 0 and 1e6", pool.Weight)
	}
	var err error
	if pool.text, err = read(entry.Config); err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	if pool.Config, err = ParseClient(pool.text); err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	if pool.Config.Discovery == "" {
		return nil, errors.New("config: discovery is missing")
	}
	// Validates the policy. A nil host is safe because a Balancer that is not started makes no calls to its host.
	if _, err := policy.New(pool.Config.Policy, 0, nil); err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	return pool, nil
}

// parseRules returns the routing rules with the line on which each rule begins.
func parseRules(raw []byte, routes []Route) ([]route.Rule, error) {
	headers := routeHeader.FindAllIndex(raw, -1)
	if len(headers) != len(routes) {
		return nil, fmt.Errorf("routes: write each as a [[routes]] table, so that errors can name its line")
	}
	if len(routes) == 0 {
		return nil, errors.New("routes: there are none, so nothing would reach a pool")
	}
	var rules []route.Rule
	for i, r := range routes {
		line := 1 + bytes.Count(raw[:headers[i][0]], []byte("\n"))
		rules = append(rules, route.Rule{
			Line: line, Host: r.Host, Path: r.Path, Prefix: r.Prefix, Method: r.Method, Class: r.Class, Pool: r.Pool,
		})
	}
	return rules, nil
}
