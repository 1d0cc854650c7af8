package route

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

var testPools = Pools{"ledger": {"reading", "entry"}, "meters": {"reading", "meter"}}

func TestHostIsNormalizedOrRejected(t *testing.T) {
	for value, want := range map[string]string{
		"ledger.example.org": "ledger.example.org", "Ledger.EXAMPLE.org:8080": "ledger.example.org",
		"ledger.example.org.": "ledger.example.org", "ledger.example.org.:80": "ledger.example.org",
		"[::1]": "::1", "[0:0::0:1]:80": "::1", "127.0.0.1:9": "127.0.0.1", "a:": "a",
	} {
		if got, err := Host(value); err != nil || got != want {
			t.Errorf("host %q is normalized to %q, error %v, want %q", value, got, err, want)
		}
	}
	for _, value := range []string{
		"", ".", ":80", "a..b", ".a", "a b", "a/b", "a:b", "a:123456", "::1", "[::1", "[::1]x", "[fe80::1%25eth0]",
		"[127.0.0.1]", "a@b", "a,b",
		"a\x00", "é.example.org", strings.Repeat("a", maxHostLength+1), "a:80:80", "[::1]:x",
	} {
		if got, err := Host(value); err == nil {
			t.Errorf("host %q is normalized to %q, want an error", value, got)
		}
	}
}

func TestPathIsNormalizedOrRejected(t *testing.T) {
	for raw, want := range map[string]string{
		"/": "/", "/a": "/a", "/a/": "/a/", "/a/b.c": "/a/b.c", "/%61%2D": "/a-", "/a%20b": "/a%20b",
		"/a%c3%A9": "/a%C3%A9", "/...": "/...", "/.a": "/.a", "/a%3fb": "/a%3Fb",
	} {
		if got, err := Path(raw); err != nil || got != want {
			t.Errorf("path %q is normalized to %q, error %v, want %q", raw, got, err, want)
		}
	}
	for _, raw := range []string{
		"", "a", "//", "//a", "/a//b", "/a//", "/.", "/..", "/a/./b", "/a/../b", "/a/..", "/a/.", "/%2e%2E/b",
		"/.%2e", "/a%2fb", "/a%5cb", "/a\\b", "/a%00",
		"/%", "/%2", "/%zz", "/%252e", "/" + strings.Repeat("a", maxPathLength),
	} {
		if got, err := Path(raw); err == nil {
			t.Errorf("path %q is normalized to %q, want an error", raw, got)
		}
	}
}

// The most specific rule applies, regardless of the order of the rules.
func TestMostSpecificRuleApplies(t *testing.T) {
	rules := []Rule{
		{Pool: "ledger"},
		{Pool: "meters", Host: "meters.example.org"},
		{Pool: "meters", Host: "*.example.org", Prefix: "/reading"},
		{Pool: "ledger", Host: "*.meters.example.org"},
		{Pool: "meters", Path: "/reading/7"},
		{Pool: "meters", Prefix: "/reading/7"},
		{Pool: "meters", Method: "GET"},
		{Pool: "ledger", Method: "GET", Class: "entry"},
		{Pool: "meters", Class: "meter"},
		{Pool: "ledger", Host: "[::1]"},
	}
	for i := range rules {
		rules[i].Line = i + 1
	}
	for _, c := range []struct {
		q    Request
		line int
	}{
		{Request{"other.org", "/entry", "POST", "entry"}, 1},
		{Request{"meters.example.org", "/reading/7", "POST", "reading"}, 2},
		{Request{"a.example.org", "/reading", "POST", "reading"}, 3},
		{Request{"a.example.org", "/reading/9", "POST", "reading"}, 3},
		{Request{"a.example.org", "/readings", "POST", "x"}, 1},
		{Request{"a.b.meters.example.org", "/reading", "POST", "reading"}, 4},
		{Request{"example.org", "/reading/7", "POST", "reading"}, 5},
		{Request{"example.org", "/reading/7/8", "POST", "reading"}, 6},
		{Request{"example.org", "/reading/77", "POST", "reading"}, 1},
		{Request{"example.org", "/look", "GET", "look"}, 7},
		{Request{"example.org", "/entry", "GET", "entry"}, 8},
		{Request{"example.org", "/meter", "POST", "meter"}, 9},
		{Request{"::1", "/meter", "POST", "meter"}, 10},
	} {
		for range 5 {
			rand.Shuffle(len(rules), func(i, j int) { rules[i], rules[j] = rules[j], rules[i] })
			table, err := Compile(rules, testPools)
			if err != nil {
				t.Fatal(err)
			}
			if r := table.Match(c.q); r == nil || r.Line != c.line {
				t.Errorf("%+v matches rule %v, want the rule of line %d", c.q, r, c.line)
			}
		}
	}
	table, err := Compile(rules[:0], testPools)
	if err != nil || table.Match(Request{"a", "/entry", "GET", "entry"}) != nil {
		t.Errorf("Compile of no rules returns error %v, or the empty table matches a request", err)
	}
}

// Compile rejects unusable rules with errors that name the line of the rule.
func TestUnusableRulesAreErrorsWithTheirLine(t *testing.T) {
	for name, c := range map[string]struct {
		rules    []Rule
		wantText string
	}{
		"unknown pool": {[]Rule{{Line: 3, Pool: "no"}}, "no pool"},
		"tie": {[]Rule{
			{Line: 1, Pool: "ledger", Host: "A.org"}, {Line: 3, Pool: "meters", Host: "a.org."},
		}, "ties with line 1"},
		"tie of paths": {[]Rule{
			{Line: 1, Pool: "ledger", Prefix: "/entry/"}, {Line: 3, Pool: "ledger", Prefix: "/%65ntry"},
		}, "ties with line 1"},
		"path and prefix":   {[]Rule{{Line: 3, Pool: "ledger", Path: "/entry", Prefix: "/entry"}}, "both"},
		"dot segment":       {[]Rule{{Line: 3, Pool: "ledger", Prefix: "/entry/../reading"}}, "never match"},
		"method":            {[]Rule{{Line: 3, Pool: "ledger", Method: "PUT"}}, "never match"},
		"class":             {[]Rule{{Line: 3, Pool: "ledger", Class: "meter"}}, "never match"},
		"class and path":    {[]Rule{{Line: 3, Pool: "ledger", Class: "reading", Prefix: "/entry"}}, "never match"},
		"class not in pool": {[]Rule{{Line: 3, Pool: "ledger", Prefix: "/meter"}}, "never match"},
		"host with port":    {[]Rule{{Line: 3, Pool: "ledger", Host: "a.org:80"}}, "no port"},
		"malformed host":    {[]Rule{{Line: 3, Pool: "ledger", Host: "a b"}}, "host"},
		"inner wildcard":    {[]Rule{{Line: 3, Pool: "ledger", Host: "a.*.org"}}, "host"},
		"deep":              {[]Rule{{Line: 3, Pool: "ledger", Path: "/entry" + strings.Repeat("/a", maxDepth)}}, "segments"},
		"all methods taken": {[]Rule{
			{Line: 1, Pool: "ledger", Method: "GET"}, {Line: 2, Pool: "ledger", Method: "POST"},
			{Line: 3, Pool: "meters"},
		}, "more specific"},
	} {
		_, err := Compile(c.rules, testPools)
		if err == nil || !strings.Contains(err.Error(), c.wantText) || !strings.Contains(err.Error(), "line 3") {
			t.Errorf("%s: error %v, want an error that contains %q and names line 3", name, err, c.wantText)
		}
	}
}

// referenceMatch is the simplest implementation of Match: it compares all rules that match, in the documented order.
func referenceMatch(rules []Rule, q Request) *Rule {
	var best *Rule
	var bestKey []int
	for i := range rules {
		r := &rules[i]
		key := make([]int, 4)
		if name, wild := strings.CutPrefix(r.Host, "*."); wild {
			if !strings.HasSuffix(q.Host, "."+name) {
				continue
			}
			key[0] = 1 + strings.Count(name, ".")
		} else if r.Host != "" {
			if r.Host != q.Host {
				continue
			}
			key[0] = 1 << 20
		}
		switch {
		case r.Path != "":
			if r.Path != q.Path {
				continue
			}
			key[1] = 1 << 20
		case r.Prefix != "":
			if q.Path != r.Prefix && !strings.HasPrefix(q.Path, r.Prefix+"/") {
				continue
			}
			key[1] = 1 + strings.Count(r.Prefix, "/")
		}
		if r.Method != "" {
			if r.Method != q.Method {
				continue
			}
			key[2] = 1
		}
		if r.Class != "" {
			if r.Class != q.Class {
				continue
			}
			key[3] = 1
		}
		if best == nil || isLess(bestKey, key) {
			best, bestKey = r, key
		}
	}
	return best
}

// isLess reports whether a precedes b in lexicographic order.
func isLess(a, b []int) bool {
	for i := range a {
		if a[i] != b[i] {
			return a[i] < b[i]
		}
	}
	return false
}

// FuzzMatch compares Match with referenceMatch. The fuzzer provides a seed, from which the test generates a table and
// requests, and one more host and path.
func FuzzMatch(f *testing.F) {
	for seed := range uint64(20) {
		f.Add(seed, "a.b.org", "/reading/a/b")
	}
	f.Add(uint64(7), "[::1]:80", "/entry/%61//")
	f.Add(uint64(8), "A.B.ORG.", "/reading/%2e%2e/x")
	f.Fuzz(func(t *testing.T, seed uint64, hostText, pathText string) {
		rng := rand.New(rand.NewPCG(seed, 0))
		pickOne := func(of ...string) string { return of[rng.IntN(len(of))] }
		var rules []Rule
		for line := range 1 + rng.IntN(30) {
			r := Rule{
				Line: line, Pool: pickOne("ledger", "meters"),
				Host: pickOne("", "a.org", "b.org", "*.org", "*.b.org", "a.b.org", "*.a.b.org"),
			}
			first := pickOne("reading", pickOne(testPools[r.Pool]...))
			path := "/" + first + pickOne("", "/a", "/a/b", "/a/b/c", "/b")
			switch rng.IntN(3) {
			case 0:
				r.Path = path + pickOne("", "/")
			case 1:
				r.Prefix = path
			}
			r.Method = pickOne("", "", "GET", "POST")
			if rng.IntN(3) == 0 {
				r.Class = first
			}
			if _, err := Compile(append(rules[:len(rules):len(rules)], r), testPools); err == nil {
				rules = append(rules, r)
			}
		}
		table, err := Compile(rules, testPools)
		if err != nil {
			t.Fatal(err)
		}
		hosts := []string{"a.org", "b.org", "x.b.org", "a.b.org", "x.a.b.org", "org", "other"}
		paths := []string{"/reading", "/reading/", "/reading/a/b/c/d", "/entry/a", "/meter/a/b", "/", "/readings"}
		if h, err := Host(hostText); err == nil {
			hosts = append(hosts, h)
		}
		if p, err := Path(pathText); err == nil {
			paths = append(paths, p)
			if again, err := Path(p); err != nil || again != p {
				t.Errorf("path %q is normalized to %q, and that to %q, error %v; want no further change", pathText, p, again, err)
			}
			for _, part := range strings.Split(strings.TrimSuffix(p[1:], "/"), "/") {
				if part == "." || part == ".." || strings.Contains(part, "\\") || part == "" && p != "/" {
					t.Errorf("path %q is normalized to %q, want an error", pathText, p)
				}
			}
		}
		for _, host := range hosts {
			for _, path := range paths {
				for _, method := range Methods {
					class, _, _ := strings.Cut(path[1:], "/")
					q := Request{host, path, method, class}
					got, want := table.Match(q), referenceMatch(rules, q)
					if (got == nil) != (want == nil) || got != nil && got.Line != want.Line {
						t.Errorf("seed %d: %+v matches rule %v, want %v", seed, q, got, want)
					}
				}
			}
		}
	})
}

func BenchmarkMatch(b *testing.B) {
	for _, n := range []int{1, 10, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var rules []Rule
			for i := range n {
				rules = append(rules, Rule{Line: i, Pool: "ledger", Host: fmt.Sprintf("h%d.example.org", i), Prefix: "/reading"})
			}
			table, err := Compile(rules, testPools)
			if err != nil {
				b.Fatal(err)
			}
			q := Request{fmt.Sprintf("h%d.example.org", n-1), "/reading/scale/7", "POST", "reading"}
			b.ReportAllocs()
			for b.Loop() {
				if table.Match(q) == nil {
					b.Fatal("no rule matches the request")
				}
			}
		})
	}
}
