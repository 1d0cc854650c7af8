package headers

import (
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"caperarch/internal/proxy/call"
	"caperarch/internal/proxy/h1"
	"caperarch/policy"
)

// answer is an answer with a stamp of an upstream and the fields given, as names and values in turn.
func answer(status int, fields ...string) *http.Response {
	h := http.Header{Signature: {"3e1b.07"}, Load: {"3,1,8"}}
	for i := 0; i < len(fields); i += 2 {
		if h.Set(fields[i], fields[i+1]); fields[i+1] == "-" {
			h.Del(fields[i])
		}
	}
	return &http.Response{StatusCode: status, Header: h}
}

func head(fields ...string) *h1.Head {
	h := new(h1.Head)
	for i := 0; i < len(fields); i += 2 {
		h.Fields = append(h.Fields, h1.Field{Name: fields[i], Value: fields[i+1]})
	}
	return h
}

func TestJudging(t *testing.T) {
	table := []struct {
		res  *http.Response
		want policy.Ending
	}{
		{answer(200), policy.Served},
		{answer(204), policy.Served},
		{answer(304, Signature, "-"), policy.Served},
		{answer(400, Signature, "-"), policy.Served},
		{answer(404), policy.Served},
		{answer(200, Signature, "-"), policy.Broken},
		{answer(206, Signature, "-"), policy.Broken},
		{answer(200, "Content-Encoding", "gzip"), policy.Broken},
		{answer(408), policy.Broken},
		{answer(429), policy.Broken},
		{answer(503), policy.Broken},
		{answer(503, NotExecuted, "1"), policy.TurnedAway},
		{answer(421, Instance, "i-02d9e6b4"), policy.TurnedAway},
		{answer(500), policy.Errored},
		{answer(502), policy.Errored},
		{answer(504, Signature, "-"), policy.Errored},
	}
	Convey("An upstream's answer proves that it ran, that it did not, or neither", t, func() {
		for _, c := range table {
			ending, load := ClassifyUpstreamResponse(c.res)
			So([]any{c.res.StatusCode, c.res.Header, ending}, ShouldResemble, []any{c.res.StatusCode, c.res.Header, c.want})
			So(load, ShouldResemble, policy.Load{Has: policy.HasInFlight | policy.HasQueued, InFlight: 4, Queued: 1})
		}
	})
	Convey("A gate's own answer proves by its verdict, one that it passes on as the upstream's would, and either tells the gate's load", t, func() {
		for _, c := range table {
			SetGateLoad(c.res.Header, FormatLoad(5, 2, 9))
			ending, load := ClassifyGateResponse(c.res)
			So([]any{c.res.StatusCode, c.res.Header, ending}, ShouldResemble, []any{c.res.StatusCode, c.res.Header, c.want})
			So(load.InFlight, ShouldEqual, 7)
			StripGateLoad(c.res.Header)
			So(c.res.Header[gateLoadField], ShouldBeNil)
		}
		for neverRan, want := range map[bool]policy.Ending{true: policy.Gated, false: policy.Broken} {
			for _, status := range []int{200, 400, 421, 503, 504} {
				res := &http.Response{StatusCode: status, Header: GateResponseFields("9c41", neverRan, FormatLoad(1, 0, 1))}
				ending, load := ClassifyGateResponse(res)
				So(ending, ShouldEqual, want)
				So(load.InFlight, ShouldEqual, 1)
				So(res.Header[NotExecuted] != nil, ShouldEqual, want == policy.Gated)
				So(MatchesAttempt(&call.Message{Header: http.Header{AttemptID: {"9c41"}}}, res), ShouldBeTrue)
			}
		}
		forged := answer(200, outcomeField, outcomeNotExecuted) // by an upstream: only a gate may say
		SetGateLoad(forged.Header, FormatLoad(0, 0, 1))
		ending, _ := ClassifyGateResponse(forged)
		So(ending, ShouldEqual, policy.Served)
		for _, other := range []string{"served", "TURNED", "turned,turned"} {
			ending, _ := ClassifyGateResponse(answer(200, outcomeField, other))
			So(ending, ShouldEqual, policy.Broken)
		}
	})
	Convey("An answer is a request's only with its very id, once", t, func() {
		m := &call.Message{Header: http.Header{AttemptID: {"9c41"}}}
		for _, ids := range [][]string{nil, {}, {""}, {"9c42"}, {"9C41"}, {"9c41", "9c41"}, {"9c42", "9c41"}} {
			So(MatchesAttempt(m, &http.Response{Header: http.Header{AttemptID: ids}}), ShouldBeFalse)
			So(MatchesAttempt(&call.Message{Header: http.Header{AttemptID: ids}}, &http.Response{Header: m.Header}), ShouldBeFalse)
		}
		So(MatchesAttempt(&call.Message{Header: http.Header{}}, &http.Response{Header: http.Header{}}), ShouldBeFalse)
		So(MatchesAttempt(m, &http.Response{Header: http.Header{AttemptID: {"9c41"}}}), ShouldBeTrue)
	})
}

func TestFields(t *testing.T) {
	Convey("What only sidecars may say is taken off however a client spells it, and the rest stays", t, func() {
		text := "POST /x HTTP/1.1\r\nHost: a\r\nX-Other: 1\r\n"
		for _, name := range []string{attemptTermsField, SendIDField, gateLoadField, outcomeField, Target, Tenant, Caller, Key} {
			text += strings.ToLower(name) + ": a\r\n" + strings.ToUpper(name) + ": b\r\n" + name + ":\r\n"
		}
		var h h1.Head
		n, err := new(h1.Parser).Parse([]byte(text+"\r\n"), &h)
		So(err, ShouldBeNil)
		So(n, ShouldEqual, len(text)+2)
		So(DuplicateField(&h, AttemptID, Key), ShouldEqual, Key)
		So(DuplicateField(&h, AttemptID, "X-Other"), ShouldEqual, "")
		fields := h.EndToEnd()
		StripInternal(fields)
		So(fields, ShouldResemble, http.Header{"X-Other": {"1"}})
	})
	Convey("Whatever stands in the terms of an attempt, a load or a time-out, what is read of it is in bounds", t, func() {
		for _, text := range []string{"", "1", "1,2", "a,2,1", "1,a,1", "-1,2,1", "1,-2,1", "1.5,2,1", "1,99999999999999999999,1", "99999999999999999999,1,1"} {
			_, ok := ParseAttemptTerms(head(attemptTermsField, text))
			So(ok, ShouldBeFalse)
			So(ParseLoad(strings.Replace(text, "1.5", "1,x", 1)).InFlight, ShouldBeGreaterThanOrEqualTo, 0)
		}
		_, ok := ParseAttemptTerms(head())
		So(ok, ShouldBeFalse)
		for text, want := range map[string]time.Duration{"1000": time.Second, "2.5": 2500 * time.Microsecond, "1e9": maxTimeout, "600000": maxTimeout} {
			got, ok := ParseTimeout(text)
			So(ok, ShouldBeTrue)
			So(got, ShouldEqual, want)
		}
		for _, text := range []string{"", "0", "-1", "NaN", "x", "1 s", "1,5", "1e999"} {
			_, ok := ParseTimeout(text)
			So(ok, ShouldBeFalse)
		}
		So([]int{ParseSlots("3,0,8"), ParseSlots("3,0"), ParseSlots("3,0,x"), ParseSlots("3,0,-8"), ParseSlots("")}, ShouldResemble, []int{8, 0, 0, 0, 0})
		So([]policy.Load{ParseLoad("3,x,8"), ParseLoad("3,-1,8"), ParseLoad("3,1")}, ShouldResemble, make([]policy.Load, 3))
	})
	Convey("No aim is negative or beyond the longest, however long its number", t, func() {
		for _, aim := range []string{"600001", "9223372036854", "9223372036855", "10000000000000", "9223372036854775807"} {
			v, _ := ParseAttemptTerms(head(attemptTermsField, "1,"+aim+",1"))
			So(v.LatencyTarget, ShouldBeBetweenOrEqual, 0, maxTimeout)
		}
	})
	Convey("No load is negative, however long its numbers", t, func() {
		So(ParseLoad("9223372036854775807,9223372036854775807,1").InFlight, ShouldBeGreaterThanOrEqualTo, 0)
	})
	Convey("A time-out of less than any time is none, and doesn't count as if nothing had been told", t, func() {
		got, ok := ParseTimeout("1e-9")
		So(ok && got <= 0, ShouldBeFalse)
	})
}

// TestSends: sends of a process are told apart, later ones have higher numbers, and those of two processes are not alike.
func TestSends(t *testing.T) {
	s, other := NewSendIDSource(), NewSendIDSource()
	last, _ := ParseSendID(head(SendIDField, other.Next()))
	before := SendID{}
	for range 100 {
		got, ok := ParseSendID(head(SendIDField, s.Next()))
		if !ok || got.Number <= before.Number || before.Number > 0 && got.Sender != before.Sender || got.Sender == last.Sender {
			t.Fatalf("%+v behind %+v, of another %+v", got, before, last)
		}
		before = got
	}
	for _, text := range []string{"", ".", "1", "1.", ".1", "x.1", "1.x", "1.-1", "1.2.3", "10000000000000000.1", "1.18446744073709551616"} {
		if got, ok := ParseSendID(head(SendIDField, text)); ok {
			t.Errorf("%q was taken for %+v", text, got)
		}
	}
}

// TestAttempt: the terms of an attempt are read as they were put, to the millisecond, whatever stood there.
func TestAttempt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := AttemptTerms{Priority: rapid.IntRange(0, 9).Draw(t, "rank"), LatencyTarget: time.Duration(rapid.IntRange(0, 600_000).Draw(t, "aim")) * time.Millisecond, Idempotent: rapid.Bool().Draw(t, "safe")}
		fields := http.Header{attemptTermsField: {"9,9,1", "9,9,1"}}
		v.Set(fields)
		if got, ok := ParseAttemptTerms(head(attemptTermsField, fields[attemptTermsField][0])); len(fields[attemptTermsField]) != 1 || !ok || got != v {
			t.Fatalf("%+v was put as %q and read as %+v", v, fields[attemptTermsField], got)
		}
		if StripSidecarFields(fields); len(fields) > 0 {
			t.Fatalf("left: %v", fields)
		}
	})
}
