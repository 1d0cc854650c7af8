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

// mostPools bounds a file: each pool has an engine, a watch on discovery and a part of the descriptors.
const maxPools = 100

// Pools is the operator's file of pools and routes, checked whole.
type Pools struct {
	Path      string
	List      []*Pool // in order of their names
	Table     *route.Table
	Bulkheads bool // what pools have in common is divided; off, the first to come has it
}

// Pool is one of them.
type Pool struct {
	Name   string
	Weight float64 // its part of what pools have in common, against the others'
	Config *Config // its own discovery, list, classes, tenants; limits and listen are the process's
	text   []byte  // of its configuration, to know a changed one by
}

// EqualExceptWeight says whether two pools are the same in all but their weight, which can change while one runs.
func (p *Pool) EqualExceptWeight(q *Pool) bool {
	return p.Name == q.Name && bytes.Equal(p.text, q.text)
}

// Route is a rule of the file, as written.
type Route struct {
	Host, Path, Prefix, Method, Class, Pool string
}

type poolsFile struct {
	Pools map[string]struct {
		Config string
		Weight *float64
	}
	Routes    []Route
	Bulkheads *bool `toml:"walls"`
}

// routeHead is where a rule begins in the file.
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
		entry := file.Pools[name]
		pool := &Pool{Name: name, Weight: 1}
		if entry.Weight != nil {
			pool.Weight = *entry.Weight
		}
		if !(pool.Weight > 0) || pool.Weight > 1e6 {
			return nil, fmt.Errorf("pools.%s.weight: %v is not within 0 and 1e6", name, pool.Weight)
		}
		var err error
		if pool.text, err = read(entry.Config); err != nil {
			return nil, fmt.Errorf("pools.%s.config: %w", name, err)
		}
		if pool.Config, err = ParseClient(pool.text); err != nil {
			return nil, fmt.Errorf("pools.%s.config: %w", name, err)
		}
		if pool.Config.Discovery == "" {
			return nil, fmt.Errorf("pools.%s.config: discovery is missing", name)
		}
		if _, err := policy.New(pool.Config.Policy, 0, nil); err != nil { // one that is never started calls nothing
			return nil, fmt.Errorf("pools.%s.config: %w", name, err)
		}
		classes[name] = slices.Sorted(maps.Keys(pool.Config.Classes))
		p.List = append(p.List, pool)
	}
	heads := routeHeader.FindAllIndex(raw, -1)
	if len(heads) != len(file.Routes) {
		return nil, fmt.Errorf("routes: write each as a [[routes]] table, so that errors can name its line")
	}
	var rules []route.Rule
	for i, r := range file.Routes {
		line := 1 + bytes.Count(raw[:heads[i][0]], []byte("\n"))
		rules = append(rules, route.Rule{
			Line: line, Host: r.Host, Path: r.Path, Prefix: r.Prefix, Method: r.Method, Class: r.Class, Pool: r.Pool,
		})
	}
	if len(rules) == 0 {
		return nil, errors.New("routes: there are none, so nothing would reach a pool")
	}
	var err error
	p.Table, err = route.Compile(rules, classes)
	return p, err
}
