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

// maxPools bounds a file: each pool has an engine, a watch on discovery and a share of the descriptors.
const maxPools = 100

// Pools is the operator's file of pools and routes, fully checked.
type Pools struct {
	Path      string
	List      []*Pool // in order of their names
	Table     *route.Table
	Bulkheads bool // limits that pools have in common are divided among them; else first come, first served
}

// Pool is one pool of the file.
type Pool struct {
	Name   string
	Weight float64 // its share of the limits that pools have in common, relative to the others'
	Config *Config // its own discovery, list, classes, tenants; limits and listen are the process's
	text   []byte  // of its configuration, to detect a change
}

// EqualExceptWeight says whether two pools are the same in all but their weight, which can change while one runs.
func (p *Pool) EqualExceptWeight(q *Pool) bool {
	return p.Name == q.Name && bytes.Equal(p.text, q.text)
}

// Route is a rule as the file has it.
type Route struct {
	Host, Path, Prefix, Method, Class, Pool string
}

// poolsFile is the content of the file.
type poolsFile struct {
	Pools     map[string]poolEntry
	Routes    []Route
	Bulkheads *bool `toml:"walls"`
}

// poolEntry is a pool in the file.
type poolEntry struct {
	Config string // name of its configuration file
	Weight *float64
}

// routeHeader matches where a rule begins in the file.
var routeHeader = regexp.MustCompile(`(?m)^[ \t]*\[\[[ \t]*routes[ \t]*\]\]`)

// ReadPools reads the operator's file of pools (TOML) and the configuration of each, named relative to the
// file. Unknown keys, pools and classes, rules that tie or can never match: the error names line and field.
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

// parsePools parses a pools file; read reads the configuration file of a pool.
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

// parsePool reads and checks one pool. An error begins with the field that it is about.
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
	if _, err := policy.New(pool.Config.Policy, 0, nil); err != nil { // a Balancer that is not started makes no calls
		return nil, fmt.Errorf("config: %w", err)
	}
	return pool, nil
}

// parseRules adds to each route the line on which it begins.
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
