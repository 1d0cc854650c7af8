package config

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"caperarch/internal/mesh/errs"
)

// digestsOf returns the digests of updates. It fails the test if encoding and decoding an update changes its digest.
func digestsOf(t *testing.T, bodies ...string) map[digest]bool {
	t.Helper()
	found := make(map[digest]bool)
	for _, body := range bodies {
		change, err := ParseUpdate([]byte(body))
		if err != nil {
			t.Fatal(body, err)
		}
		received, err := DecodeChange(change.Encode())
		if err != nil || received.digest != change.digest {
			t.Fatal("the decoded change has another digest, want the same digest:", body, err)
		}
		found[change.digest] = true
	}
	return found
}

func TestDigestIsOfTheContent(t *testing.T) {
	Convey("White space, escapes and the order of keys do not change the digest", t, func() {
		So(digestsOf(t,
			`{"configVersion":3,"note":{"a":["<é","kK"],"b":[{},[],null,true,1e2]}}`,
			" {\n\"note\" : {\"b\":[ { } ,[ ],null, true,1e2], \"a\":[\"\\u003c\\u00e9\" ,\"kK\"]},\"configVersion\":3 }\t",
			`{"note":{"a":["\u003cé","\u006bK"],"b":[{},[],null,true,1e2]},"configVersion":3}`,
		), ShouldHaveLength, 1)
	})
	Convey("Different content, another form and keys of another case change the digest", t, func() {
		bodies := []string{
			`{"configVersion":3}`, `{"configVersion":4}`,
			`{"configVersion":3,"baseVersion":0}`, `{"configVersion":3,"n":1}`,
			`{"configVersion":3,"n":1.0}`, `{"configVersion":3,"n":"1"}`,
			`{"configVersion":3,"n":[]}`, `{"configVersion":3,"n":{}}`,
			`{"configVersion":3,"n":[[],[]]}`, `{"configVersion":3,"n":[[[]]]}`, `{"configVersion":3,"n":["a","b"]}`,
			`{"configVersion":3,"n":["ab"]}`, `{"configVersion":3,"n":["b","a"]}`, `{"configVersion":3,"n":{"a":"b"}}`,
			`{"configVersion":3,"n":null}`, `{"configVersion":3,"n":false}`, `{"configVersion":3,"n":"null"}`,
			`{"configVersion":3,"ConfigVersion":4}`, `{"ConfigVersion":4,"configVersion":3}`,
		}
		So(digestsOf(t, bodies...), ShouldHaveLength, len(bodies))
		replace, _ := ParseReplace([]byte(`{"configVersion":3,"resources":[]}`))
		update, _ := ParseUpdate([]byte(`{"configVersion":3,"resources":[]}`))
		So(replace.digest, ShouldNotEqual, update.digest)
	})
	Convey("An invalid body is rejected with an error of the right kind", t, func() {
		nested := func(depth int) string {
			return `{"configVersion":3,"n":` + strings.Repeat("[", depth) + strings.Repeat("]", depth) + `}`
		}
		_, err := ParseUpdate([]byte(nested(maxNesting)))
		So(err, ShouldBeNil)
		for body, kind := range map[string]errs.Kind{
			nested(maxNesting + 1): errs.Invalid,
			nested(20000):          errs.Malformed,
			`{"configVersion":3,"n":{"a":1,"b":2,"\u0061":1}}`: errs.Invalid,
			`{"configVersion":9007199254740992}`:               errs.Invalid,
			`{"configVersion":9223372036854775808}`:            errs.Invalid,
			`{"configVersion":-1}`:                             errs.Invalid,
			`{"configVersion":1e3}`:                            errs.Invalid,
			`{"configVersion":3,"baseVersion":-1}`:             errs.Invalid,
			`{"configVersion":3,"n":"` + "\xff" + `"}`:         errs.Malformed,
			``:                      errs.Malformed,
			`null`:                  errs.Invalid,
			`[]`:                    errs.Invalid,
			`3 4`:                   errs.Malformed,
			`{"configVersion":3}{}`: errs.Malformed,
		} {
			_, err := ParseUpdate([]byte(body))
			SoMsg(body[:min(len(body), 60)], errs.KindOf(err), ShouldEqual, kind)
		}
	})
}
