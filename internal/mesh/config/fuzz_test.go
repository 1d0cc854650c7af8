package config

import (
	"testing"

	"caperarch/internal/mesh/errs"
)

// checkChange checks what holds for any bytes: an error is of a kind that says that the body is at
// fault, and a change that was parsed keeps its digest and content on its way and in a snapshot.
func checkChange(t *testing.T, change *Change, err error) {
	t.Helper()
	if err != nil {
		if kind := errs.KindOf(err); kind != errs.Invalid && kind != errs.Malformed {
			t.Fatalf("an error of kind %v: %v", kind, err)
		}
		return
	}
	received, err := DecodeChange(change.Encode())
	if err != nil || received.digest != change.digest ||
		received.Version() != change.Version() || received.Base() != change.Base() {
		t.Fatalf("%q is another change on its way: %v", change.Encode(), err)
	}
	base := &Snapshot{
		version:  change.base,
		table:    Empty().table,
		requests: requestLog{forgottenUpTo: change.base},
	}
	next, outcome, _ := base.Apply(change)
	if outcome != Applied {
		return
	}
	text, err := next.Encode()
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := Decode(text)
	if err != nil {
		t.Fatalf("a snapshot that can't be read back: %v", err)
	}
	if _, outcome, _ := decoded.Apply(received); outcome != Duplicate {
		t.Fatalf("an applied change is not recognised again: %d", outcome)
	}
}

func addSeeds(f *testing.F) {
	for _, body := range []string{
		example, `{}`, `null`, `[]`, `"`, `{"configVersion":1}`, `{"configVersion":1,"configVersion":1}`,
		`{"configVersion":1,"CONFIGVERSION":2,"resources":[]}`,
		`{"configVersion":9,"baseVersion":7,"upsert":{"resources":[]},"remove":{"routes":["r-old"],"limits":["x"]}}`,
		`{"configVersion":1,"resources":[{"resourceType":"limits","metadata":{"name":"\ud800\u0000"},` +
			`"specification":{"maxHeaderBytes":1e3}}]}`,
		`{"form":"replace","body":{"configVersion":1,"resources":[]}}`,
		`{"form":"update","body":{"configVersion":1}}`,
		`{"form":"other","body":{}}`,
		`{"form":"update"}`,
	} {
		f.Add([]byte(body))
		f.Add([]byte(body)[:len(body)/2])
	}
}

func FuzzParseReplace(f *testing.F) {
	addSeeds(f)
	f.Fuzz(func(t *testing.T, body []byte) {
		change, err := ParseReplace(body)
		checkChange(t, change, err)
	})
}

func FuzzParseUpdate(f *testing.F) {
	addSeeds(f)
	f.Fuzz(func(t *testing.T, body []byte) {
		change, err := ParseUpdate(body)
		checkChange(t, change, err)
		if version, versionErr := ParseVersion(body); err == nil && (versionErr != nil || version != change.Version()) {
			t.Fatalf("version %d, %v instead of %d", version, versionErr, change.Version())
		}
	})
}

func FuzzDecodeChange(f *testing.F) {
	addSeeds(f)
	f.Fuzz(func(t *testing.T, text []byte) {
		change, err := DecodeChange(text)
		checkChange(t, change, err)
	})
}

func FuzzDecodeSnapshot(f *testing.F) {
	snapshot, _, _ := applyBody(Empty(), example)
	text, err := snapshot.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Add([]byte(`{"document":{"configVersion":3,"resources":[]},` +
		`"orders":{"applied":[3],"digests":"AAAAAAAAAAAAAAAA","refusedBases":[3],"refused":"AAAAAAAAAAAAAAAA"}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		decoded, err := Decode(text)
		if err != nil {
			if kind := errs.KindOf(err); kind != errs.Invalid && kind != errs.Malformed {
				t.Fatalf("an error of kind %v: %v", kind, err)
			}
			return
		}
		again, err := decoded.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Decode(again); err != nil {
			t.Fatalf("a snapshot that can't be read back: %v", err)
		}
	})
}
