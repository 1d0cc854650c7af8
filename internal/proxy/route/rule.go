package route

import (
	"fmt"
	"slices"
	"strings"
)

// Rule is a routing rule: requests that match all its conditions go to a pool. An empty condition matches every
// request. Of all rules that match a request the most specific rule applies, regardless of their order in the file;
// see Compile.
type Rule struct {
	Line   int    // line of the rule in the operator's file, for errors
	Host   string // host name, or "*." and a name: all hosts that end in "." and that name
	Path   string // the whole path
	Prefix string // first segments of the path, or all of them
	Method string
	Class  string
	Pool   string
}

// String returns the conditions of a rule, for errors and explanations.
func (r *Rule) String() string {
	var conditions []string
	for _, field := range []struct{ name, value string }{
		{"host", r.Host}, {"path", r.Path}, {"prefix", r.Prefix}, {"method", r.Method}, {"class", r.Class},
	} {
		if field.value != "" {
			conditions = append(conditions, field.name+" "+field.value)
		}
	}
	if len(conditions) == 0 {
		return "everything"
	}
	return strings.Join(conditions, ", ")
}

// Methods lists the methods that requests may have.
var Methods = []string{"GET", "POST"}

// Pools maps the name of each pool to the classes that its requests may have.
type Pools map[string][]string

// precedence returns the sort key of a rule among the rules of one host and path. Rules with a method come first; among
// rules that are equal in that, rules with a class come first.
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

// normalize converts a rule to the normal form. It returns an error if the rule is unusable or can never match.
func (r *Rule) normalize(pools Pools) error {
	classes, known := pools[r.Pool]
	if !known {
		return fmt.Errorf("there is no pool of that name")
	}
	if r.Path != "" && r.Prefix != "" {
		return fmt.Errorf("the rule has both path and prefix, want at most one")
	}
	if err := r.normalizeHost(); err != nil {
		return err
	}
	for _, path := range []*string{&r.Path, &r.Prefix} {
		if err := normalizePath(path); err != nil {
			return err
		}
	}
	r.Prefix = strings.TrimSuffix(r.Prefix, "/")
	if r.Method != "" && !slices.Contains(Methods, r.Method) {
		return fmt.Errorf("method %q can never match: requests have the method %s", r.Method, strings.Join(Methods, " or "))
	}
	return r.checkClass(classes)
}

// normalizeHost converts the rule's host, with or without a wildcard, to the normal form.
func (r *Rule) normalizeHost() error {
	if r.Host == "" {
		return nil
	}
	name, wildcard := strings.CutPrefix(r.Host, "*.")
	if strings.Contains(name, ":") && !strings.HasPrefix(name, "[") {
		return fmt.Errorf("host %q: want no port, and an IPv6 literal in brackets", r.Host)
	}
	host, err := Host(name)
	if err != nil {
		return fmt.Errorf("host %q: %w", r.Host, err)
	}
	r.Host = host
	if wildcard {
		r.Host = "*." + host
	}
	return nil
}

// normalizePath converts a rule's path or prefix to the normal form. An empty path stays empty.
func normalizePath(path *string) error {
	if *path == "" {
		return nil
	}
	normal, err := Path(*path)
	if err != nil {
		return fmt.Errorf("path %q can never match: %w", *path, err)
	}
	if strings.Count(normal, "/") > maxDepth {
		return fmt.Errorf("path %q has more than %d segments", *path, maxDepth)
	}
	*path = normal
	return nil
}

// checkClass returns an error if no request of the rule's pool can have the rule's class and path. classes are the
// classes of that pool. The first segment of a request's path is the request's class.
func (r *Rule) checkClass(classes []string) error {
	if r.Class != "" && !slices.Contains(classes, r.Class) {
		return fmt.Errorf("class %q can never match: the classes of the pool are %s", r.Class, strings.Join(classes, ", "))
	}
	path := r.Path + r.Prefix
	first := FirstSegment(path)
	if first == "" {
		return nil
	}
	if r.Class != "" && r.Class != first {
		return fmt.Errorf("the rule can never match: paths of class %q begin with /%s, not /%s", r.Class, r.Class, first)
	}
	if !slices.Contains(classes, first) {
		return fmt.Errorf("path %q can never match: its first segment %q is not one of the pool's classes, %s",
			path, first, strings.Join(classes, ", "))
	}
	return nil
}

// checkReachable returns an error if one of the rules of a host and path can never match, because the rules before it
// match all requests that it matches. The rules are in order of precedence.
func checkReachable(rules []*Rule) error {
	for i, r := range rules {
		covered := 0
		for _, method := range Methods {
			if r.Method != "" && r.Method != method {
				covered++
				continue
			}
			if slices.ContainsFunc(rules[:i], func(o *Rule) bool {
				return (o.Method == "" || o.Method == method) && (o.Class == "" || o.Class == r.Class)
			}) {
				covered++
			}
		}
		if covered == len(Methods) {
			return fmt.Errorf("line %d: route to %q: it can never match: more specific rules match all requests for %v",
				r.Line, r.Pool, r)
		}
	}
	return nil
}
