package config

import (
	"testing"

	"caperarch/internal/mesh/errs"
)

// checkChange checks the result of parsing arbitrary bytes. An error must be of kind Invalid or Malformed. A parsed
// change must keep its versions and its digest when it is encoded and decoded, and must be recognised as a duplicate
// after the snapshot that contains it was encoded and decoded.
func checkChange(t *testing.T, change *Change, err error) {
	t.Helper()
	if err != nil {
		if kind := errs.KindOf(err); kind != errs.Invalid && kind != errs.Malformed {
			t.Fatalf("error of kind %v, want Invalid or Malformed: %v", kind, err)
		}
		return
	}
	received, err := DecodeChange(change.Encode())
	if err != nil || received.digest != change.digest ||
		received.Version() != change.Version() || received.Base() != change.Base() {
		t.Fatalf("%q: the decoded change has other versions or another digest: %v", change.Encode(), err)
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
		t.Fatalf("an encoded snapshot can't be decoded: %v", err)
	}
	if _, outcome, _ := decoded.Apply(received); outcome != Duplicate {
		t.Fatalf("an applied change that is sent again has the outcome %d, want Duplicate", outcome)
	}
}

// addSeeds adds bodies and encoded changes to the corpus, each in full and cut in half.
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
			t.Fatalf("ParseVersion returns %d, %v, want %d", version, versionErr, change.Version())
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
				t.Fatalf("error of kind %v, want Invalid or Malformed: %v", kind, err)
			}
			return
		}
		encoded, err := decoded.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Decode(encoded); err != nil {
			t.Fatalf("an encoded snapshot can't be decoded: %v", err)
		}
	})
}
