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

// settings returns the settings of a sidecar with three tenants.
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

// Checks that a policy overrides the settings field by field, and that a policy which the sidecar can't apply
// is rejected with the name of the field.
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
		t.Errorf("limits are %+v, error %v; want %+v", got, err, want)
	}
	if !reflect.DeepEqual(s, settings()) {
		t.Error("Resolve has changed the settings")
	}
	for policyText, wantText := range map[string]string{
		"[tenants.east]\nshare = 0.1": "tenants.east", "[limits]\nopen = 201": "limits.open",
	} {
		p, err := Parse([]byte(policyText))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := p.Resolve(settings()); err == nil || !strings.Contains(err.Error(), wantText) {
			t.Errorf("policy %q: error %v, want an error that contains %s", policyText, err, wantText)
		}
	}
	// a larger share of one tenant reduces the shares of the tenants that the policy does not name
	p, err = Parse([]byte("[tenants.north]\nshare = 0.9"))
	if err != nil {
		t.Fatal(err)
	}
	if got, err = p.Resolve(settings()); err != nil || math.Abs(got.Share[1]-0.075) > 1e-9 ||
		math.Abs(got.Share[2]-0.025) > 1e-9 {
		t.Errorf("limits are %+v, error %v; want shares 0.075 and 0.025 of tenants 1 and 2", got, err)
	}
}

// Guards against accepting an invalid policy, and against errors that don't name the field or line.
func TestInvalidPolicies(t *testing.T) {
	for invalid, wantText := range map[string]string{
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
		if p, err := Parse([]byte(invalid)); err == nil || !strings.Contains(err.Error(), wantText) {
			t.Errorf("policy %.60q: parsed as %+v, error %v; want an error that contains %s", invalid, p, err, wantText)
		}
	}
	if _, err := Parse(nil); err != nil {
		t.Errorf("Parse of an empty policy: %v, want no error", err)
	}
}

// drawLimits draws random limits.
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

// equal reports whether two limits admit the same requests: a missing share or quota equals its default.
func equal(a, b *Limits) bool { return len(Looser(a, b)) == 0 && len(Looser(b, a)) == 0 }

// Checks that Stricter is a meet: idempotent, commutative, associative, never looser than either argument,
// and no stricter than necessary.
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
			t.Fatalf("Stricter is looser than an argument: %v, %v", Looser(ab, a), Looser(ab, b))
		case Looser(c, a) == nil && Looser(c, b) == nil && Looser(c, ab) != nil:
			t.Fatalf("limits that are as strict as both arguments are looser than Stricter: %v", Looser(c, ab))
		}
	})
}

// Checks the lines that operators see for added, removed and changed fields.
func TestDiff(t *testing.T) {
	old, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	new, err := Parse([]byte(`out = ["s-1"]
[tenants.north]
share = 0.4
[tenants.south]
share = 0.2
[limits]
attempts = 2
[retry]
free = 5.0
`))
	if err != nil {
		t.Fatal(err)
	}
	want := []string{
		"- out s-9 = out, the settings hold again",
		"- tenants.north.quota = 80, the settings hold again",
		"~ tenants.north.share: 0.5 to 0.4",
		"+ tenants.south.share = 0.2",
	}
	if got := Diff(old, new); !slices.Equal(got, want) {
		t.Errorf("unexpected Diff lines: %q", got)
	}
	if got := Diff(old, old); got != nil {
		t.Errorf("lines for equal policies are %q, want none", got)
	}
}

// Guards against panics, against errors without a text, and against limits whose shares add up to more than
// 1.
func FuzzParse(f *testing.F) {
	f.Add([]byte(text))
	f.Fuzz(func(t *testing.T, raw []byte) {
		p, err := Parse(raw)
		if err != nil {
			if strings.TrimSpace(err.Error()) == "" {
				t.Fatal("Parse returned an error without a text")
			}
			return
		}
		if l, err := p.Resolve(settings()); err == nil {
			sum := 0.0
			for _, v := range l.Share {
				sum += v
			}
			if sum > 1+1e-6 || !equal(Stricter(l, l), l) {
				t.Fatalf("limits are %+v, want a sum of shares of at most 1 and Stricter(l, l) equal to l", l)
			}
		}
	})
}

// Guards against a step that changes when it is decoded, encoded and decoded again, and against panics of
// Apply.
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
			t.Fatalf("decoded step %+v can't be encoded: %v", s, err)
		}
		if x, err := DecodeStep(again); err != nil || x.Kind != s.Kind || x.Ref != s.Ref || x.Sidecar != s.Sidecar {
			t.Fatalf("step %+v became %+v after encoding and decoding, error %v", s, x, err)
		}
		var state State
		for i := range uint64(3) {
			state.Apply(i, s)
		}
	})
}
