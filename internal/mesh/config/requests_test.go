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
	Convey("A request rejected ahead of its base stays rejected after the base is applied, also after Decode", t, func() {
		snapshot, outcome, err := applyBody(Empty(), body(9, 7))
		So([]any{outcome, errs.KindOf(err)}, ShouldResemble, []any{Rejected, errs.Stale})
		snapshot, outcome, _ = applyBody(snapshot, body(7, 0))
		So(outcome, ShouldEqual, Applied)
		text, err := snapshot.Encode()
		So(err, ShouldBeNil)
		decoded, err := Decode(text)
		So(err, ShouldBeNil)
		for _, current := range []*Snapshot{snapshot, decoded} {
			_, outcome, err = applyBody(current, body(9, 7))
			So([]any{outcome, errs.KindOf(err)}, ShouldResemble, []any{Rejected, errs.Stale})
			next, outcome, _ := applyBody(current, strings.Replace(body(9, 7), "}", `,"note":1}`, 1))
			So(outcome, ShouldEqual, Applied) // another request with the same version
			So(next.requests.rejectedAhead, ShouldBeEmpty)
		}
	})
	Convey("When the log is full, a further rejection is Undetermined and recorded requests stay rejected", t, func() {
		snapshot := Empty()
		for i := range int64(maxRejectedAhead) {
			snapshot, _, _ = applyBody(snapshot, body(2*maxRejectedAhead, 1+i))
		}
		full, outcome, err := applyBody(snapshot, body(2*maxRejectedAhead, maxRejectedAhead+1))
		So([]any{outcome, errs.KindOf(err), full}, ShouldResemble, []any{Undetermined, errs.Undetermined, snapshot})
		_, outcome, err = applyBody(snapshot, body(2*maxRejectedAhead, 5))
		So([]any{outcome, errs.KindOf(err)}, ShouldResemble, []any{Rejected, errs.Stale})
	})
}

func TestInvalidRequestLogIsRejected(t *testing.T) {
	Convey("An invalid request log is rejected; without a request log, all earlier requests are unknown", t, func() {
		snapshot, _, _ := applyBody(Empty(), `{"configVersion":3,"baseVersion":0}`)
		snapshot, _, _ = applyBody(snapshot, `{"configVersion":5,"baseVersion":3}`)
		text, _ := snapshot.Encode()
		_, err := Decode(text)
		So(err, ShouldBeNil)
		for _, corruption := range [][2]string{
			{`"applied":[3,5]`, `"applied":[3,4]`}, {`"applied":[3,5]`, `"applied":[5,3]`},
			{`"applied":[3,5]`, `"applied":[5,5]`},
			{`"applied":[3,5]`, `"applied":[5]`}, {`"applied":[3,5]`, `"applied":[-3,5]`},
			{`"applied":[3,5]`, `"applied":[3,"5"]`},
			{`"forgotten":0`, `"forgotten":3`}, {`"forgotten":0`, `"forgotten":-1`}, {`"forgotten":0`, `"forgotten":1e99`},
			{`"digests":"`, `"digests":"AAAA`}, {`"digests":"`, `"refusedBases":[7],"digests":"`},
			{`"configVersion":5`, `"configVersion":6`},
		} {
			So(string(text), ShouldContainSubstring, corruption[0])
			_, err := Decode([]byte(strings.Replace(string(text), corruption[0], corruption[1], 1)))
			SoMsg(corruption[1], errs.KindOf(err), ShouldEqual, errs.Invalid)
		}
		_, err = Decode([]byte(strings.Replace(string(text), `"digests":"`, `"digests":"*`, 1)))
		So(errs.KindOf(err), ShouldEqual, errs.Malformed)
		withoutLog, err := Decode([]byte(`{"document":` + string(snapshot.Document()) + `}`))
		So(err, ShouldBeNil)
		_, outcome, _ := applyBody(withoutLog, `{"configVersion":3,"baseVersion":0}`)
		So(outcome, ShouldEqual, Undetermined)
		_, outcome, _ = applyBody(withoutLog, `{"configVersion":6,"baseVersion":5}`)
		So(outcome, ShouldEqual, Applied)
	})
}
