package config

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"caperarch/internal/mesh/errs"
)

func TestRequestRejectedAheadStaysRejected(t *testing.T) {
	body := func(version, base int64) string {
		return fmt.Sprintf(`{"configVersion":%d,"baseVersion":%d}`, version, base)
	}
	Convey("A request rejected ahead of its base stays rejected once that comes, also through a snapshot", t, func() {
		c, outcome, err := applyBody(Empty(), body(9, 7))
		So([]any{outcome, errs.KindOf(err)}, ShouldResemble, []any{Rejected, errs.Stale})
		c, outcome, _ = applyBody(c, body(7, 0))
		So(outcome, ShouldEqual, Applied)
		text, err := c.Encode()
		So(err, ShouldBeNil)
		decoded, err := Decode(text)
		So(err, ShouldBeNil)
		for _, held := range []*Snapshot{c, decoded} {
			_, outcome, err = applyBody(held, body(9, 7))
			So([]any{outcome, errs.KindOf(err)}, ShouldResemble, []any{Rejected, errs.Stale})
			next, outcome, _ := applyBody(held, strings.Replace(body(9, 7), "}", `,"note":1}`, 1))
			So(outcome, ShouldEqual, Applied) // another request under its number
			So(next.requests.rejectedAhead, ShouldBeEmpty)
		}
	})
	Convey("Where no more can be remembered there is no clear rejection, and what is remembered stays so", t, func() {
		c := Empty()
		for i := range int64(maxRejectedAhead) {
			c, _, _ = applyBody(c, body(2*maxRejectedAhead, 1+i))
		}
		full, outcome, err := applyBody(c, body(2*maxRejectedAhead, maxRejectedAhead+1))
		So([]any{outcome, errs.KindOf(err), full}, ShouldResemble, []any{Undetermined, errs.Undetermined, c})
		_, outcome, err = applyBody(c, body(2*maxRejectedAhead, 5))
		So([]any{outcome, errs.KindOf(err)}, ShouldResemble, []any{Rejected, errs.Stale})
	})
}

func TestDamagedRequestLogIsRejected(t *testing.T) {
	Convey("A damaged request log is rejected; a document without one has forgotten all its requests", t, func() {
		c, _, _ := applyBody(Empty(), `{"configVersion":3,"baseVersion":0}`)
		c, _, _ = applyBody(c, `{"configVersion":5,"baseVersion":3}`)
		text, _ := c.Encode()
		_, err := Decode(text)
		So(err, ShouldBeNil)
		for _, damage := range [][2]string{
			{`"applied":[3,5]`, `"applied":[3,4]`}, {`"applied":[3,5]`, `"applied":[5,3]`},
			{`"applied":[3,5]`, `"applied":[5,5]`},
			{`"applied":[3,5]`, `"applied":[5]`}, {`"applied":[3,5]`, `"applied":[-3,5]`},
			{`"applied":[3,5]`, `"applied":[3,"5"]`},
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
		_, outcome, _ := applyBody(plain, `{"configVersion":3,"baseVersion":0}`)
		So(outcome, ShouldEqual, Undetermined)
		_, outcome, _ = applyBody(plain, `{"configVersion":6,"baseVersion":5}`)
		So(outcome, ShouldEqual, Applied)
	})
}
