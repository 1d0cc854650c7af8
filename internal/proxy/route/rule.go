package route

import (
	"fmt"
	"slices"
	"strings"
)

// Rule says which requests go to a pool. An empty field matches everything. Of all rules that match a request
// the most specific one applies, whatever their order in the file; see Compile.
type Rule struct {
	Line   int    // in the operator's file, for errors
	Host   string // a name, or "*." and a name for all that end in it (not that name itself)
	Path   string // exactly this path
	Prefix string // this path and all below it: whole segments
	Method string
	Class  string
	Pool   string
}

// String returns the conditions of a rule, for errors.
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

// Methods are the methods that requests may have.
var Methods = []string{"GET", "POST"}

// Pools maps the name of each pool to the classes that its requests can have.
type Pools map[string][]string

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

// normalize brings a rule into the normal form, or returns why it is unusable or can never match.
func (r *Rule) normalize(pools Pools) error {
	classes, known := pools[r.Pool]
	if !known {
		return fmt.Errorf("there is no pool of that name")
	}
	if r.Path != "" && r.Prefix != "" {
		return fmt.Errorf("it has both path and prefix")
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
		return fmt.Errorf("method %q can never match: requests come with %s", r.Method, strings.Join(Methods, " or "))
	}
	return r.checkClass(classes)
}

// normalizeHost brings the rule's host, with or without a wildcard, into the normal form.
func (r *Rule) normalizeHost() error {
	if r.Host == "" {
		return nil
	}
	name, wildcard := strings.CutPrefix(r.Host, "*.")
	if strings.Contains(name, ":") && !strings.HasPrefix(name, "[") {
		return fmt.Errorf("host %q: rules have no port, and an IPv6 literal stands in brackets", r.Host)
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

// normalizePath brings a rule's path or prefix into the normal form; "" stays.
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

// checkClass returns an error if the rule's class and path can't belong to a request of its pool, whose classes
// these are. The first segment of a request's path is its class.
func (r *Rule) checkClass(classes []string) error {
	if r.Class != "" && !slices.Contains(classes, r.Class) {
		return fmt.Errorf("class %q can never match: it is none of that pool's (%s)", r.Class, strings.Join(classes, ", "))
	}
	path := r.Path + r.Prefix
	first := FirstSegment(path)
	if first == "" {
		return nil
	}
	if r.Class != "" && r.Class != first {
		return fmt.Errorf("it can never match: paths of class %q begin with /%s, not /%s", r.Class, r.Class, first)
	}
	if !slices.Contains(classes, first) {
		return fmt.Errorf("path %q can never match: %q, its first part, is no class of that pool (%s)",
			path, first, strings.Join(classes, ", "))
	}
	return nil
}

// checkReachable returns an error if one of the rules of a host and path, in order of precedence, can never match
// since those before it match all of its requests.
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
			return fmt.Errorf("line %d: route to %q: it can never match: more specific rules take all of %v",
				r.Line, r.Pool, r)
		}
	}
	return nil
}
