package route

import (
	"fmt"
	"slices"
	"strings"
)

// Bounds of a table.
const (
	maxRules = 10_000
	maxDepth = 32 // segments of a rule's path: bounds the look-ups for a request
)

// Table is a compiled set of rules. It is immutable and safe for concurrent use.
type Table struct {
	exact           map[string]*pathRules // by host
	suffix          map[string]*pathRules // of wildcards, by the text after "*."
	anyHost         *pathRules            // nil: no rule is without a host
	maxSuffixLabels int                   // labels of the longest key of suffix
}

// pathRules are the rules of one host pattern.
type pathRules struct {
	exact             map[string][]*Rule
	prefix            map[string][]*Rule // "" matches every path
	maxPrefixSegments int                // segments of the longest prefix
	hasExact          bool
}

// Compile checks rules and returns a table of them. The most specific rule wins, by the first of these that
// two rules differ in: an exact host over a wildcard, a longer wildcard over a shorter one, any wildcard
// over no host; an exact path over a prefix, a longer prefix over a shorter one, any prefix over no path;
// a method over none; a class over none. Errors name the line: two rules that tie, a rule that can never
// match, an unknown pool.
func Compile(rules []Rule, pools Pools) (*Table, error) {
	if len(rules) > maxRules {
		return nil, fmt.Errorf("routes: %d rules, %d at most", len(rules), maxRules)
	}
	t := &Table{exact: make(map[string]*pathRules), suffix: make(map[string]*pathRules)}
	for i := range rules {
		r := rules[i] // a copy, to be normalized
		if err := r.normalize(pools); err != nil {
			return nil, fmt.Errorf("line %d: route to %q: %w", r.Line, r.Pool, err)
		}
		p := t.rulesOf(r.Host)
		list, key := p.exact, r.Path
		if r.Path == "" {
			list, key = p.prefix, r.Prefix
			p.maxPrefixSegments = max(p.maxPrefixSegments, strings.Count(key, "/"))
		} else {
			p.hasExact = true
		}
		for _, other := range list[key] {
			if other.Method == r.Method && other.Class == r.Class {
				return nil, fmt.Errorf("line %d: route to %q: it ties with line %d, to %q: both are for %v",
					r.Line, r.Pool, other.Line, other.Pool, &r)
			}
		}
		list[key] = append(list[key], &r)
	}
	for _, p := range t.allHosts() {
		for _, list := range p.ruleLists() {
			slices.SortStableFunc(list, func(a, b *Rule) int { return precedence(a) - precedence(b) })
			if err := checkReachable(list); err != nil {
				return nil, err
			}
		}
	}
	return t, nil
}

// newPathRules makes an empty set.
func newPathRules() *pathRules {
	return &pathRules{exact: make(map[string][]*Rule), prefix: make(map[string][]*Rule)}
}

// rulesOf returns the rules of a host pattern, a new set where there is none yet.
func (t *Table) rulesOf(pattern string) *pathRules {
	if pattern == "" {
		if t.anyHost == nil {
			t.anyHost = newPathRules()
		}
		return t.anyHost
	}
	in := t.exact
	if name, wild := strings.CutPrefix(pattern, "*."); wild {
		in, pattern = t.suffix, name
		t.maxSuffixLabels = max(t.maxSuffixLabels, strings.Count(name, ".")+1)
	}
	if in[pattern] == nil {
		in[pattern] = newPathRules()
	}
	return in[pattern]
}

// allHosts returns the rules of all host patterns, in no order.
func (t *Table) allHosts() (all []*pathRules) {
	for _, in := range []map[string]*pathRules{t.exact, t.suffix} {
		for _, p := range in {
			all = append(all, p)
		}
	}
	if t.anyHost != nil {
		all = append(all, t.anyHost)
	}
	return all
}

// ruleLists returns the rules of each path and prefix, in no order of these.
func (p *pathRules) ruleLists() (lists [][]*Rule) {
	for _, in := range []map[string][]*Rule{p.exact, p.prefix} {
		for _, list := range in {
			lists = append(lists, list)
		}
	}
	return lists
}
