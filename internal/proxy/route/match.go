package route

import "strings"

// Request holds the fields of a request that its route depends on. Host and Path are in the normal form that the
// functions Host and Path return.
type Request struct {
	Host, Path, Method, Class string
}

// Match returns the rule that applies to a request, or nil. It looks up one host, at most as many wildcards as
// the longest in the table has labels and, for each of them, at most as many prefixes as the longest has
// segments.
func (t *Table) Match(q Request) *Rule {
	if p := t.exact[q.Host]; p != nil {
		if r := p.match(q); r != nil {
			return r
		}
	}
	if t.maxSuffixLabels > 0 {
		if r := t.matchSuffix(q); r != nil {
			return r
		}
	}
	if t.anyHost != nil {
		return t.anyHost.match(q)
	}
	return nil
}

// matchSuffix returns the rule of the longest wildcard that has one for a request, or nil.
func (t *Table) matchSuffix(q Request) *Rule {
	// Begin with the longest wildcard in the table: skip the labels before it.
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
	return nil
}

// match returns the rule of one host pattern that applies to a request, or nil.
func (p *pathRules) match(q Request) *Rule {
	if p.hasExact {
		if r := firstMatch(p.exact[q.Path], q); r != nil {
			return r
		}
	}
	// The longest prefixes first, down to "", which every path has.
	var ends [maxDepth + 1]int // where the path's prefixes end
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
