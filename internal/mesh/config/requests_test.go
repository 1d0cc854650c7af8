package config

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"caperarch/internal/mesh/errs"
)

func TestDigest(t *testing.T) {
	digestsOf := func(t *testing.T, bodies ...string) map[digest]bool {
		found := make(map[digest]bool)
		for _, body := range bodies {
			change, err := ParseUpdate([]byte(body))
			if err != nil {
				t.Fatal(body, err)
			}
			passedOn, err := DecodeChange(change.Encode())
			if err != nil || passedOn.digest != change.digest {
				t.Fatal("the digest changes on its way:", body, err)
			}
			found[change.digest] = true
		}
		return found
	}
	Convey("Space, escapes and the order of keys make no other order", t, func() {
		So(digestsOf(t,
			`{"configVersion":3,"note":{"a":["<é","kK"],"b":[{},[],null,true,1e2]}}`,
			" {\n\"note\" : {\"b\":[ { } ,[ ],null, true,1e2], \"a\":[\"\\u003c\\u00e9\" ,\"kK\"]},\"configVersion\":3 }\t",
			`{"note":{"a":["\u003cé","\u006bK"],"b":[{},[],null,true,1e2]},"configVersion":3}`,
		), ShouldHaveLength, 1)
	})
	Convey("Any other content does, and so do the form and keys that one reader could take for the same", t, func() {
		bodies := []string{
			`{"configVersion":3}`, `{"configVersion":4}`, `{"configVersion":3,"baseVersion":0}`, `{"configVersion":3,"n":1}`,
			`{"configVersion":3,"n":1.0}`, `{"configVersion":3,"n":"1"}`, `{"configVersion":3,"n":[]}`, `{"configVersion":3,"n":{}}`,
			`{"configVersion":3,"n":[[],[]]}`, `{"configVersion":3,"n":[[[]]]}`, `{"configVersion":3,"n":["a","b"]}`,
			`{"configVersion":3,"n":["ab"]}`, `{"configVersion":3,"n":["b","a"]}`, `{"configVersion":3,"n":{"a":"b"}}`,
			`{"configVersion":3,"n":null}`, `{"configVersion":3,"n":false}`, `{"configVersion":3,"n":"null"}`,
			`{"configVersion":3,"ConfigVersion":4}`, `{"ConfigVersion":4,"configVersion":3}`,
		}
		So(digestsOf(t, bodies...), ShouldHaveLength, len(bodies))
		whole, _ := ParseReplace([]byte(`{"configVersion":3,"resources":[]}`))
		part, _ := ParseUpdate([]byte(`{"configVersion":3,"resources":[]}`))
		So(whole.digest, ShouldNotEqual, part.digest)
	})
	Convey("Bad bodies are refused with their kind", t, func() {
		nested := func(depth int) string {
			return `{"configVersion":3,"n":` + strings.Repeat("[", depth) + strings.Repeat("]", depth) + `}`
		}
		_, err := ParseUpdate([]byte(nested(maxNesting)))
		So(err, ShouldBeNil)
		for body, kind := range map[string]errs.Kind{
			nested(maxNesting + 1): errs.Invalid, nested(20000): errs.Malformed, `{"configVersion":3,"n":{"a":1,"b":2,"\u0061":1}}`: errs.Invalid,
			`{"configVersion":9007199254740992}`: errs.Invalid, `{"configVersion":9223372036854775808}`: errs.Invalid, `{"configVersion":-1}`: errs.Invalid,
			`{"configVersion":1e3}`: errs.Invalid, `{"configVersion":3,"baseVersion":-1}`: errs.Invalid, `{"configVersion":3,"n":"` + "\xff" + `"}`: errs.Malformed,
			``: errs.Malformed, `null`: errs.Invalid, `[]`: errs.Invalid, `3 4`: errs.Malformed, `{"configVersion":3}{}`: errs.Malformed,
		} {
			_, err := ParseUpdate([]byte(body))
			SoMsg(body[:min(len(body), 60)], errs.KindOf(err), ShouldEqual, kind)
		}
	})
}

func TestRefusedAhead(t *testing.T) {
	order := func(version, base int64) string {
		return fmt.Sprintf(`{"configVersion":%d,"baseVersion":%d}`, version, base)
	}
	Convey("An order that was refused because its base had not come stays refused once it comes, also through a snapshot", t, func() {
		c, outcome, err := put(Empty(), order(9, 7))
		So([]any{outcome, errs.KindOf(err)}, ShouldResemble, []any{Rejected, errs.Stale})
		c, outcome, _ = put(c, order(7, 0))
		So(outcome, ShouldEqual, Applied)
		text, err := c.Encode()
		So(err, ShouldBeNil)
		decoded, err := Decode(text)
		So(err, ShouldBeNil)
		for _, held := range []*Snapshot{c, decoded} {
			_, outcome, err = put(held, order(9, 7))
			So([]any{outcome, errs.KindOf(err)}, ShouldResemble, []any{Rejected, errs.Stale})
			next, outcome, _ := put(held, strings.Replace(order(9, 7), "}", `,"note":1}`, 1))
			So(outcome, ShouldEqual, Applied) // another order under its number
			So(next.requests.rejectedAhead, ShouldBeEmpty)
		}
	})
	Convey("Where no more can be remembered there is no clear refusal, and what is remembered stays so", t, func() {
		c := Empty()
		for i := range int64(maxRejectedAhead) {
			c, _, _ = put(c, order(2*maxRejectedAhead, 1+i))
		}
		full, outcome, err := put(c, order(2*maxRejectedAhead, maxRejectedAhead+1))
		So([]any{outcome, errs.KindOf(err), full}, ShouldResemble, []any{Undetermined, errs.Undetermined, c})
		_, outcome, err = put(c, order(2*maxRejectedAhead, 5))
		So([]any{outcome, errs.KindOf(err)}, ShouldResemble, []any{Rejected, errs.Stale})
	})
}

func TestRecordOfOrders(t *testing.T) {
	Convey("A record that is damaged is refused with its kind; a document without one has forgotten all its orders", t, func() {
		c, _, _ := put(Empty(), `{"configVersion":3,"baseVersion":0}`)
		c, _, _ = put(c, `{"configVersion":5,"baseVersion":3}`)
		text, _ := c.Encode()
		_, err := Decode(text)
		So(err, ShouldBeNil)
		for _, damage := range [][2]string{
			{`"applied":[3,5]`, `"applied":[3,4]`}, {`"applied":[3,5]`, `"applied":[5,3]`}, {`"applied":[3,5]`, `"applied":[5,5]`},
			{`"applied":[3,5]`, `"applied":[5]`}, {`"applied":[3,5]`, `"applied":[-3,5]`}, {`"applied":[3,5]`, `"applied":[3,"5"]`},
			{`"forgotten":0`, `"forgotten":3`}, {`"forgotten":0`, `"forgotten":-1`}, {`"forgotten":0`, `"forgotten":1e99`},
			{`"digests":"`, `"digests":"AAAA`}, {`"digests":"`, `"refusedBases":[7],"digests":"`},
			{`"configVersion":5`, `"configVersion":6`},
		} {
			So(string(text), ShouldContainSubstring, damage[0])
			_, err := Decode([]byte(strings.Replace(string(text), damage[0], damage[1], 1)))
			SoMsg(damage[1], errs.KindOf(err), ShouldEqual, errs.Invalid)
		}
		_, err = Decode([]byte(strings.Replace(string(text), `"digests":"`, `"digests":"*`, 1)))
		So(errs.KindOf(err), ShouldEqual, errs.Malformed)
		plain, err := Decode([]byte(`{"document":` + string(c.Document()) + `}`))
		So(err, ShouldBeNil)
		_, outcome, _ := put(plain, `{"configVersion":3,"baseVersion":0}`)
		So(outcome, ShouldEqual, Undetermined)
		_, outcome, _ = put(plain, `{"configVersion":6,"baseVersion":5}`)
		So(outcome, ShouldEqual, Applied)
	})
}
