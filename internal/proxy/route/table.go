package route

import (
	"fmt"
	"slices"
	"strings"
)

// Limits on a table.
const (
	maxRules = 10_000
	maxDepth = 32 // segments of a rule's path or prefix; it limits the look-ups for a request
)

// Table is a compiled set of routing rules. It is immutable and safe for concurrent use.
type Table struct {
	exact           map[string]*pathRules // by host name
	suffix          map[string]*pathRules // wildcards, by the text after "*."
	anyHost         *pathRules            // rules without a host; nil: there are none
	maxSuffixLabels int                   // number of labels of the longest key of suffix
}

// pathRules are the rules of one host pattern.
type pathRules struct {
	exact             map[string][]*Rule
	prefix            map[string][]*Rule // the key "" matches every path
	maxPrefixSegments int                // number of segments of the longest prefix
	hasExact          bool
}

// Compile validates rules and returns a table of them. Of all rules that match a request the most specific rule
// applies. The first difference of two rules in this order decides which is more specific:
//   - host: an exact host before a wildcard, a longer wildcard before a shorter one, a wildcard before no host;
//   - path: an exact path before a prefix, a longer prefix before a shorter one, a prefix before no path;
//   - method: a method before no method;
//   - class: a class before no class.
//
// Two rules that tie, a rule that can never match and an unknown pool are errors, which name the rule's line.
func Compile(rules []Rule, pools Pools) (*Table, error) {
	if len(rules) > maxRules {
		return nil, fmt.Errorf("routes: %d rules, want at most %d", len(rules), maxRules)
	}
	t := &Table{exact: make(map[string]*pathRules), suffix: make(map[string]*pathRules)}
	for i := range rules {
		r := rules[i] // normalize changes the copy
		if err := r.normalize(pools); err != nil {
			return nil, fmt.Errorf("line %d: route to %q: %w", r.Line, r.Pool, err)
		}
		p := t.rulesFor(r.Host)
		list, key := p.exact, r.Path
		if r.Path == "" {
			list, key = p.prefix, r.Prefix
			p.maxPrefixSegments = max(p.maxPrefixSegments, strings.Count(key, "/"))
		} else {
			p.hasExact = true
		}
		for _, other := range list[key] {
			if other.Method == r.Method && other.Class == r.Class {
				return nil, fmt.Errorf("line %d: route to %q: it ties with line %d, to %q: both match %v",
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

// newPathRules returns an empty set of rules.
func newPathRules() *pathRules {
	return &pathRules{exact: make(map[string][]*Rule), prefix: make(map[string][]*Rule)}
}

// rulesFor returns the rules of a host pattern, which it adds to the table if needed.
func (t *Table) rulesFor(pattern string) *pathRules {
	if pattern == "" {
		if t.anyHost == nil {
			t.anyHost = newPathRules()
		}
		return t.anyHost
	}
	byHost := t.exact
	if name, wild := strings.CutPrefix(pattern, "*."); wild {
		byHost, pattern = t.suffix, name
		t.maxSuffixLabels = max(t.maxSuffixLabels, strings.Count(name, ".")+1)
	}
	if byHost[pattern] == nil {
		byHost[pattern] = newPathRules()
	}
	return byHost[pattern]
}

// allHosts returns the rules of all host patterns, in no particular order.
func (t *Table) allHosts() (all []*pathRules) {
	for _, byHost := range []map[string]*pathRules{t.exact, t.suffix} {
		for _, p := range byHost {
			all = append(all, p)
		}
	}
	if t.anyHost != nil {
		all = append(all, t.anyHost)
	}
	return all
}

// ruleLists returns one list of rules for each path and prefix, in no particular order.
func (p *pathRules) ruleLists() (lists [][]*Rule) {
	for _, byPath := range []map[string][]*Rule{p.exact, p.prefix} {
		for _, list := range byPath {
			lists = append(lists, list)
		}
	}
	return lists
}
