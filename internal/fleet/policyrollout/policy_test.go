package policyrollout

import (
	"math"
	"reflect"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

const text = `out = ["s-9", "s-1"]
[tenants.north]
share = 0.5
quota = 80.0
[limits]
attempts = 2
[retry]
free = 5.0
`

func settings() *Settings {
	return &Settings{
		Tenants: map[string]int{"north": 0, "south": 1, "west": 2},
		Limits: Limits{
			Share:             []float64{0.6, 0.3, 0.1},
			Quota:             []float64{100, 50, math.Inf(1)},
			Attempts:          3,
			Open:              100,
			Queue:             20,
			RetryFree:         10,
			RetryShare:        0.1,
			DisabledUpstreams: []string{"s-5"},
		},
		Max: Limits{Open: 200},
	}
}

func TestResolve(t *testing.T) {
	p, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	s := settings()
	got, err := p.Resolve(s)
	want := &Limits{
		Share:             []float64{0.5, 0.3, 0.1},
		Quota:             []float64{80, 50, math.Inf(1)},
		Attempts:          2,
		Open:              100,
		Queue:             20,
		RetryFree:         5,
		RetryShare:        0.1,
		DisabledUpstreams: []string{"s-1", "s-5", "s-9"},
	}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%+v, %v; want %+v", got, err, want)
	}
	if !reflect.DeepEqual(s, settings()) {
		t.Error("the settings were changed")
	}
	for change, says := range map[string]string{
		"[tenants.east]\nshare = 0.1": "tenants.east", "[limits]\nopen = 201": "limits.open",
	} {
		p, err := Parse([]byte(change))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := p.Resolve(settings()); err == nil || !strings.Contains(err.Error(), says) {
			t.Errorf("%q: %v, want an error that names %s", change, err, says)
		}
	}
	// A tenant that is given more takes it from those that are not named.
	p, err = Parse([]byte("[tenants.north]\nshare = 0.9"))
	if err != nil {
		t.Fatal(err)
	}
	if got, err = p.Resolve(settings()); err != nil || math.Abs(got.Share[1]-0.075) > 1e-9 ||
		math.Abs(got.Share[2]-0.025) > 1e-9 {
		t.Errorf("%+v, %v", got, err)
	}
}

func TestBadPolicies(t *testing.T) {
	for bad, says := range map[string]string{
		"[tenants.north]\nshare = 1.5":                               "tenants.north.share",
		"[tenants.north]\nshare = 0.7\n[tenants.south]\nshare = 0.7": "add up",
		"[tenants.north]\nquota = -1.0":                              "tenants.north.quota",
		"[tenants.north]\nquota = nan":                               "tenants.north.quota",
		"[tenants.north]\nquota = 1e9":                               "tenants.north.quota",
		"[tenants.north]\nqouta = 1.0":                               "line 2",
		"[limits]\nattempts = 0":                                     "limits.attempts",
		"[limits]\nopen = 1000000000":                                "limits.open",
		"[limits]\nopen = 99999999999999999999":                      "line 2",
		"[retry]\nshare = 2.0":                                       "retry.share",
		"out = [\"a\", \"a\"]":                                       "out[1]",
		"out = [\"\"]":                                               "out[0]",
		"out = 3":                                                    "line 1",
		"# a\nout = [\"\xff\"]":                                      "line 2",
		strings.Repeat("#", MaxTextBytes+1):                          "65537 bytes",
		"[limits]\nattempts = 2\n[limits]\nattempts = 3":             "line 3",
	} {
		if p, err := Parse([]byte(bad)); err == nil || !strings.Contains(err.Error(), says) {
			t.Errorf("%.60q: %+v, %v; want an error that names %s", bad, p, err, says)
		}
	}
	if _, err := Parse(nil); err != nil {
		t.Errorf("an empty policy leaves all to the settings: %v", err)
	}
}

func drawLimits(t *rapid.T, name string) *Limits {
	n := rapid.IntRange(0, 4).Draw(t, name+" tenants")
	l := &Limits{
		Attempts:   rapid.IntRange(1, 5).Draw(t, name+" attempts"),
		Open:       rapid.IntRange(1, 5).Draw(t, name+" open"),
		Queue:      rapid.IntRange(0, 5).Draw(t, name+" queue"),
		RetryFree:  float64(rapid.IntRange(0, 4).Draw(t, name+" free")),
		RetryShare: float64(rapid.IntRange(0, 4).Draw(t, name+" part")) / 4,
	}
	for range n {
		l.Share = append(l.Share, float64(rapid.IntRange(0, 4).Draw(t, name+" share"))/16)
		l.Quota = append(l.Quota, []float64{1, 2, 3, math.Inf(1)}[rapid.IntRange(0, 3).Draw(t, name+" quota")])
	}
	if out := rapid.SliceOfNDistinct(
		rapid.SampledFrom([]string{"a", "b", "c"}), 0, 3, rapid.ID,
	).Draw(t, name+" out"); len(out) > 0 {
		slices.Sort(out)
		l.DisabledUpstreams = out
	}
	return l
}

// equal takes what has no figure for what it stands for.
func equal(a, b *Limits) bool { return len(Looser(a, b)) == 0 && len(Looser(b, a)) == 0 }

// Stricter is idempotent, commutative and associative, never looser than either, and no stricter
// than it has to be.
func TestStricterIsAMeet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawLimits(t, "a"), drawLimits(t, "b"), drawLimits(t, "c")
		ab := Stricter(a, b)
		switch {
		case !equal(Stricter(a, a), a):
			t.Fatal("not idempotent")
		case !equal(ab, Stricter(b, a)):
			t.Fatal("not commutative")
		case !equal(Stricter(ab, c), Stricter(a, Stricter(b, c))):
			t.Fatal("not associative")
		case Looser(ab, a) != nil || Looser(ab, b) != nil:
			t.Fatalf("looser than one of both: %v, %v", Looser(ab, a), Looser(ab, b))
		case Looser(c, a) == nil && Looser(c, b) == nil && Looser(c, ab) != nil:
			t.Fatalf("what keeps to both is looser than it: %v", Looser(c, ab))
		}
	})
}

func TestDiff(t *testing.T) {
	old, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	new, err := Parse(
		[]byte(
			"out = [\"s-1\"]\n[tenants.north]\nshare = 0.4\n[tenants.south]\nshare = 0.2\n[limits]\nattempts = 2\n[retry]\nfree = 5.0\n",
		),
	)
	if err != nil {
		t.Fatal(err)
	}
	want := []string{
		"- out s-9 = out, the settings hold again", "- tenants.north.quota = 80, the settings hold again", "~ tenants.north.share: 0.5 to 0.4", "+ tenants.south.share = 0.2",
	}
	if got := Diff(old, new); !slices.Equal(got, want) {
		t.Errorf("%q", got)
	}
	if got := Diff(old, old); got != nil {
		t.Errorf("of one: %q", got)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(text))
	f.Fuzz(func(t *testing.T, raw []byte) {
		p, err := Parse(raw)
		if err != nil {
			if strings.TrimSpace(err.Error()) == "" {
				t.Fatal("an error without a word")
			}
			return
		}
		if l, err := p.Resolve(settings()); err == nil {
			sum := 0.0
			for _, v := range l.Share {
				sum += v
			}
			if sum > 1+1e-6 || !equal(Stricter(l, l), l) {
				t.Fatalf("%+v", l)
			}
		}
	})
}

// What stands in a log is read as it was written, or not at all.
func FuzzStep(f *testing.F) {
	for _, s := range []Step{
		{Kind: Started}, {Kind: Proposed, Ref: Ref{Version: 3}, Base: 2, Sidecar: 7},
		{Kind: Aborted, Ref: Ref{Version: 1}, Reason: strings.Repeat("é", 40)},
		{Kind: Offered, Ref: Ref{Version: 9}},
	} {
		raw, err := s.Encode()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		s, err := DecodeStep(raw)
		if err != nil {
			return
		}
		again, err := s.Encode()
		if err != nil {
			t.Fatalf("%+v can't be written: %v", s, err)
		}
		if x, err := DecodeStep(again); err != nil || x.Kind != s.Kind || x.Ref != s.Ref || x.Sidecar != s.Sidecar {
			t.Fatalf("%+v became %+v, %v", s, x, err)
		}
		var state State
		for i := range uint64(3) {
			state.Apply(i, s)
		}
	})
}
