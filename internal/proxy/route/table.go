package route

import (
	"fmt"
	"slices"
	"strings"
)

// Bounds of a table.
const (
	maxRules = 10_000
	maxDepth = 32 // segments of a rule's path: what is looked up for a request goes with the deepest
)

// Rule says which requests go to a pool. An empty field matches everything. Of all rules that match a request
// the most specific one counts, whatever their order in the file; see Compile.
type Rule struct {
	Line   int    // in the operator's file, for errors
	Host   string // a name, or "*." and a name for all that end in it (not that name itself)
	Path   string // exactly this path
	Prefix string // this path and all below it: whole segments
	Method string
	Class  string
	Pool   string
}

func (r *Rule) String() string {
	var parts []string
	for _, p := range [][2]string{{"host", r.Host}, {"path", r.Path}, {"prefix", r.Prefix}, {"method", r.Method}, {"class", r.Class}} {
		if p[1] != "" {
			parts = append(parts, p[0]+" "+p[1])
		}
	}
	if len(parts) == 0 {
		return "everything"
	}
	return strings.Join(parts, ", ")
}

// Request is what of a request counts for its route. Host and Path are in the form that Host and Path return.
type Request struct {
	Host, Path, Method, Class string
}

// Table is a compiled set of rules. It does not change any more and may be used from any goroutine.
type Table struct {
	exact           map[string]*pathRules // by host
	suffix          map[string]*pathRules // by what stands behind "*."
	anyHost         *pathRules
	maxSuffixLabels int // labels of the longest key of below
}

// pathRules are the rules of one host pattern.
type pathRules struct {
	exact             map[string][]*Rule
	prefix            map[string][]*Rule // "" matches every path
	maxPrefixSegments int                // segments of the longest prefix
	hasExact          bool
}

// Methods are those that requests come with (the protocol page).
var Methods = []string{"GET", "POST"}

// Pools tells what pools there are and of which classes their requests can be.
type Pools map[string][]string

// Compile checks rules and makes a table of them. The most specific rule wins, by the first of these that
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
		r := rules[i] // a copy, in normal form
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
				return nil, fmt.Errorf("line %d: route to %q: it ties with line %d, to %q: both are for %v", r.Line, r.Pool, other.Line, other.Pool, &r)
			}
		}
		list[key] = append(list[key], &r)
	}
	for _, p := range t.allHosts() {
		for _, list := range p.ruleLists() {
			slices.SortStableFunc(list, func(a, b *Rule) int { return precedence(a) - precedence(b) })
			if err := checkReachable(list, pools); err != nil {
				return nil, err
			}
		}
	}
	return t, nil
}

// precedence orders the rules of one host and path: those with a method first, then those with a class.
func precedence(r *Rule) int {
	n := 0
	if r.Method == "" {
		n += 2
	}
	if r.Class == "" {
		n++
	}
	return n
}

// normalize brings a rule into normal form, or says why it is none or can never match.
func (r *Rule) normalize(pools Pools) error {
	classes, known := pools[r.Pool]
	if !known {
		return fmt.Errorf("there is no pool of that name")
	}
	if r.Path != "" && r.Prefix != "" {
		return fmt.Errorf("it has both path and prefix")
	}
	if r.Host != "" {
		name, wild := strings.CutPrefix(r.Host, "*.")
		if strings.Contains(name, ":") && !strings.HasPrefix(name, "[") {
			return fmt.Errorf("host %q: rules have no port, and an IPv6 literal stands in brackets", r.Host)
		}
		host, err := Host(name)
		if err != nil {
			return fmt.Errorf("host %q: %w", r.Host, err)
		}
		if r.Host = host; wild {
			r.Host = "*." + host
		}
	}
	for _, p := range []*string{&r.Path, &r.Prefix} {
		if *p == "" {
			continue
		}
		path, err := Path(*p)
		if err != nil {
			return fmt.Errorf("path %q can never match: %w", *p, err)
		}
		if strings.Count(path, "/") > maxDepth {
			return fmt.Errorf("path %q has more than %d segments", *p, maxDepth)
		}
		*p = path
	}
	if r.Prefix = strings.TrimSuffix(r.Prefix, "/"); r.Method != "" && !slices.Contains(Methods, r.Method) {
		return fmt.Errorf("method %q can never match: requests come with %s", r.Method, strings.Join(Methods, " or "))
	}
	if r.Class != "" && !slices.Contains(classes, r.Class) {
		return fmt.Errorf("class %q can never match: it is none of that pool's (%s)", r.Class, strings.Join(classes, ", "))
	}
	// The class is the first part of the path (the protocol page): a rule that names both must agree.
	path := r.Path + r.Prefix
	if first, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/"); first != "" {
		if r.Class != "" && r.Class != first {
			return fmt.Errorf("it can never match: paths of class %q begin with /%s, not /%s", r.Class, r.Class, first)
		}
		if !slices.Contains(classes, first) {
			return fmt.Errorf("path %q can never match: %q, its first part, is no class of that pool (%s)", path, first, strings.Join(classes, ", "))
		}
	}
	return nil
}

// checkReachable finds a rule that others of the same host and path leave nothing to.
func checkReachable(list []*Rule, pools Pools) error {
	for i, r := range list {
		covered := 0
		for _, method := range Methods {
			if r.Method != "" && r.Method != method {
				covered++
				continue
			}
			if slices.ContainsFunc(list[:i], func(o *Rule) bool {
				return (o.Method == "" || o.Method == method) && (o.Class == "" || o.Class == r.Class)
			}) {
				covered++
			}
		}
		if covered == len(Methods) {
			return fmt.Errorf("line %d: route to %q: it can never match: more specific rules take all of %v", r.Line, r.Pool, r)
		}
	}
	return nil
}

func newPathRules() *pathRules {
	return &pathRules{exact: make(map[string][]*Rule), prefix: make(map[string][]*Rule)}
}

// rulesOf is where the rules of a host pattern go.
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

func (p *pathRules) ruleLists() (lists [][]*Rule) {
	for _, in := range []map[string][]*Rule{p.exact, p.prefix} {
		for _, list := range in {
			lists = append(lists, list)
		}
	}
	return lists
}

// Match returns the rule that a request takes, or nil. It looks up one host, at most as many wildcards as the
// longest in the table has labels and, for each of them, at most as many prefixes as the deepest has segments.
func (t *Table) Match(q Request) *Rule {
	if p := t.exact[q.Host]; p != nil {
		if r := p.match(q); r != nil {
			return r
		}
	}
	if t.maxSuffixLabels > 0 {
		// From the longest wildcard that there is: labels before it are passed over first.
		rest := q.Host
		for skip := strings.Count(rest, ".") - t.maxSuffixLabels; skip > 0; skip-- {
			_, rest, _ = strings.Cut(rest, ".")
		}
		if rest == q.Host {
			_, rest, _ = strings.Cut(rest, ".")
		}
		for ; rest != ""; _, rest, _ = strings.Cut(rest, ".") {
			if p := t.suffix[rest]; p != nil {
				if r := p.match(q); r != nil {
					return r
				}
			}
		}
	}
	if t.anyHost != nil {
		return t.anyHost.match(q)
	}
	return nil
}

func (p *pathRules) match(q Request) *Rule {
	if p.hasExact {
		if r := firstMatch(p.exact[q.Path], q); r != nil {
			return r
		}
	}
	// Prefixes from the deepest that there is down to "", which every path has.
	ends := [maxDepth + 1]int{}
	n := 0
	for i := 1; i < len(q.Path) && n < p.maxPrefixSegments; i++ {
		if q.Path[i] == '/' {
			ends[n] = i
			n++
		}
	}
	if n < p.maxPrefixSegments && len(q.Path) > 1 && q.Path[len(q.Path)-1] != '/' {
		ends[n] = len(q.Path)
		n++
	}
	for ; n > 0; n-- {
		if r := firstMatch(p.prefix[q.Path[:ends[n-1]]], q); r != nil {
			return r
		}
	}
	return firstMatch(p.prefix[""], q)
}

// firstMatch returns the first rule of a list that a request's method and class match.
func firstMatch(list []*Rule, q Request) *Rule {
	for _, r := range list {
		if (r.Method == "" || r.Method == q.Method) && (r.Class == "" || r.Class == q.Class) {
			return r
		}
	}
	return nil
}
