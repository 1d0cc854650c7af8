package route

import "strings"

// Request holds the fields of a request that rules match. Host and Path are in the normal form that the functions Host
// and Path return.
type Request struct {
	Host, Path, Method, Class string
}

// Match returns the rule that applies to a request, or nil if no rule matches. It looks up one exact host and at most
// as many wildcards as the longest wildcard of the table has labels. For each of these it looks up at most as many
// prefixes as the longest prefix has segments.
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

// matchSuffix returns the rule of the longest matching wildcard that has a rule for a request, or nil.
func (t *Table) matchSuffix(q Request) *Rule {
	// Skip the first labels of a host that has more labels than the longest wildcard of the table.
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

// match returns the rule of one host pattern that applies to a request, or nil if none matches.
func (p *pathRules) match(q Request) *Rule {
	if p.hasExact {
		if r := firstMatch(p.exact[q.Path], q); r != nil {
			return r
		}
	}
	// Look up the longest prefix first, and the empty prefix, which matches every path, last.
	var ends [maxDepth + 1]int // ends of the prefixes of the path, as indices into it
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

// firstMatch returns the first rule of a list that matches a request's method and class, or nil.
func firstMatch(list []*Rule, q Request) *Rule {
	for _, r := range list {
		if (r.Method == "" || r.Method == q.Method) && (r.Class == "" || r.Class == q.Class) {
			return r
		}
	}
	return nil
}
