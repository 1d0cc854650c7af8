package headers

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"caperarch/internal/mesh/config"
	"caperarch/internal/proxy/call"
	"caperarch/internal/proxy/h1"
	"caperarch/policy"
)

// signedResponse returns an upstream's response with a signature, a load and the given fields. The fields are
// alternating names and values; the value "-" removes a field.
func signedResponse(status int, fields ...string) *http.Response {
	h := http.Header{Signature: {"3e1b.07"}, Load: {"3,1,8"}}
	for i := 0; i < len(fields); i += 2 {
		if fields[i+1] == "-" {
			h.Del(fields[i])
			continue
		}
		h.Set(fields[i], fields[i+1])
	}
	return &http.Response{StatusCode: status, Header: h}
}

// describe returns a response's status and fields as text, for failure messages.
func describe(res *http.Response) string { return fmt.Sprint(res.StatusCode, " ", res.Header) }

// requestHead returns the head of a request with the given fields, which are alternating names and values.
func requestHead(fields ...string) *h1.Head {
	h := new(h1.Head)
	for i := 0; i < len(fields); i += 2 {
		h.Fields = append(h.Fields, h1.Field{Name: fields[i], Value: fields[i+1]})
	}
	return h
}

func TestClassifyResponses(t *testing.T) {
	cases := []struct {
		res  *http.Response
		want policy.Ending
	}{
		{signedResponse(200), policy.Served},
		{signedResponse(204), policy.Served},
		{signedResponse(304, Signature, "-"), policy.Served},
		{signedResponse(400, Signature, "-"), policy.Served},
		{signedResponse(404), policy.Served},
		{signedResponse(200, Signature, "-"), policy.ConnectionLost},
		{signedResponse(206, Signature, "-"), policy.ConnectionLost},
		{signedResponse(200, "Content-Encoding", "gzip"), policy.ConnectionLost},
		{signedResponse(408), policy.ConnectionLost},
		{signedResponse(429), policy.ConnectionLost},
		{signedResponse(503), policy.ConnectionLost},
		{signedResponse(503, NotExecuted, "1"), policy.NotProcessed},
		{signedResponse(421, Instance, "i-02d9e6b4"), policy.NotProcessed},
		{signedResponse(500), policy.Errored},
		{signedResponse(502), policy.Errored},
		{signedResponse(504, Signature, "-"), policy.Errored},
		{signedResponse(0), policy.ConnectionLost},
		{signedResponse(20), policy.ConnectionLost},
		{signedResponse(99), policy.ConnectionLost},
		{signedResponse(101), policy.ConnectionLost},
		{signedResponse(600), policy.ConnectionLost},
		{signedResponse(999), policy.ConnectionLost},
	}
	Convey("An upstream's response proves that the request was executed, that it was not executed, or neither", t, func() {
		for _, c := range cases {
			ending, load := ClassifyUpstreamResponse(c.res)
			SoMsg(describe(c.res), ending, ShouldEqual, c.want)
			So(load, ShouldResemble, policy.Load{Has: policy.HasInFlight | policy.HasQueued, InFlight: 4, Queued: 1})
		}
	})
	Convey("A gate's own response is classified by its outcome field, a forwarded response as the upstream's", t, func() {
		for _, c := range cases {
			SetGateLoad(c.res.Header, FormatLoad(5, 2, 9))
			ending, load := ClassifyGateResponse(c.res)
			SoMsg(describe(c.res), ending, ShouldEqual, c.want)
			So(load.InFlight, ShouldEqual, 7)
			StripGateFields(c.res.Header)
			So(c.res.Header[gateLoadField], ShouldBeNil)
		}
		for notExecuted, want := range map[bool]policy.Ending{true: policy.GateRejected, false: policy.ConnectionLost} {
			for _, status := range []int{200, 400, 421, 503, 504} {
				fields := GateResponseFields("9c41", notExecuted, FormatLoad(1, 0, 1))
				res := &http.Response{StatusCode: status, Header: fields}
				ending, load := ClassifyGateResponse(res)
				So(ending, ShouldEqual, want)
				So(load.InFlight, ShouldEqual, 1)
				So(res.Header[NotExecuted] != nil, ShouldEqual, want == policy.GateRejected)
				So(MatchesAttempt(&call.Message{Header: http.Header{AttemptID: {"9c41"}}}, res), ShouldBeTrue)
			}
		}
		// An upstream sets the outcome field, which only gates may set.
		forged := signedResponse(200, outcomeField, outcomeNotExecuted)
		SetGateLoad(forged.Header, FormatLoad(0, 0, 1))
		ending, _ := ClassifyGateResponse(forged)
		So(ending, ShouldEqual, policy.Served)
		for _, other := range []string{"served", "TURNED", "turned,turned"} {
			ending, _ := ClassifyGateResponse(signedResponse(200, outcomeField, other))
			So(ending, ShouldEqual, policy.ConnectionLost)
		}
	})
	Convey("A response belongs to a request only if it contains the request's id exactly once", t, func() {
		m := &call.Message{Header: http.Header{AttemptID: {"9c41"}}}
		for _, ids := range [][]string{nil, {}, {""}, {"9c42"}, {"9C41"}, {"9c41", "9c41"}, {"9c42", "9c41"}} {
			other := http.Header{AttemptID: ids}
			So(MatchesAttempt(m, &http.Response{Header: other}), ShouldBeFalse)
			So(MatchesAttempt(&call.Message{Header: other}, &http.Response{Header: m.Header}), ShouldBeFalse)
		}
		So(MatchesAttempt(&call.Message{Header: http.Header{}}, &http.Response{Header: http.Header{}}), ShouldBeFalse)
		So(MatchesAttempt(m, &http.Response{Header: http.Header{AttemptID: {"9c41"}}}), ShouldBeTrue)
	})
}

func TestFieldsAreStrippedAndParsedInBounds(t *testing.T) {
	Convey("Fields that only sidecars may set are removed in any spelling, and other fields stay", t, func() {
		text := "POST /x HTTP/1.1\r\nHost: a\r\nX-Other: 1\r\n"
		for _, name := range []string{
			attemptTermsField, SendIDField, gateLoadField, outcomeField, Target, Tenant, Caller, APIKey,
		} {
			text += strings.ToLower(name) + ": a\r\n" + strings.ToUpper(name) + ": b\r\n" + name + ":\r\n"
		}
		var h h1.Head
		n, err := new(h1.Parser).Parse([]byte(text+"\r\n"), &h)
		So(err, ShouldBeNil)
		So(n, ShouldEqual, len(text)+2)
		So(DuplicateField(&h, AttemptID, APIKey), ShouldEqual, APIKey)
		So(DuplicateField(&h, AttemptID, "X-Other"), ShouldEqual, "")
		fields := h.EndToEnd()
		StripInternal(fields)
		So(fields, ShouldResemble, http.Header{"X-Other": {"1"}})
	})
	Convey("Malformed attempt terms, loads and timeouts are rejected, and parsed values are in bounds", t, func() {
		for _, text := range []string{
			"", "1", "1,2", "a,2,1", "1,a,1", "-1,2,1", "1,-2,1", "1.5,2,1",
			"1,99999999999999999999,1", "99999999999999999999,1,1",
		} {
			_, ok := ParseAttemptTerms(requestHead(attemptTermsField, text))
			So(ok, ShouldBeFalse)
			So(ParseLoad(strings.Replace(text, "1.5", "1,x", 1)).InFlight, ShouldBeGreaterThanOrEqualTo, 0)
		}
		_, ok := ParseAttemptTerms(requestHead())
		So(ok, ShouldBeFalse)
		for text, want := range map[string]time.Duration{
			"1000": time.Second, "2.5": 2500 * time.Microsecond, "1e9": maxTimeout, "600000": maxTimeout,
		} {
			got, ok := ParseTimeout(text)
			So(ok, ShouldBeTrue)
			So(got, ShouldEqual, want)
		}
		for _, text := range []string{"", "0", "-1", "NaN", "x", "1 s", "1,5", "1e999"} {
			_, ok := ParseTimeout(text)
			So(ok, ShouldBeFalse)
		}
		for text, want := range map[string]int{"3,0,8": 8, "3,0": 0, "3,0,x": 0, "3,0,-8": 0, "": 0} {
			So(ParseSlots(text), ShouldEqual, want)
		}
		So([]policy.Load{ParseLoad("3,x,8"), ParseLoad("3,-1,8"), ParseLoad("3,1")}, ShouldResemble, make([]policy.Load, 3))
	})
	Convey("A latency target with a very large number is neither negative nor above the maximum", t, func() {
		for _, target := range []string{
			"600001", "9223372036854", "9223372036855", "10000000000000", "9223372036854775807",
		} {
			terms, _ := ParseAttemptTerms(requestHead(attemptTermsField, "1,"+target+",1"))
			So(terms.LatencyTarget, ShouldBeBetweenOrEqual, 0, maxTimeout)
		}
	})
	Convey("A load with very large numbers is not negative", t, func() {
		So(ParseLoad("9223372036854775807,9223372036854775807,1").InFlight, ShouldBeGreaterThanOrEqualTo, 0)
	})
	Convey("A timeout that rounds to zero is rejected, and does not count as unlimited", t, func() {
		got, ok := ParseTimeout("1e-9")
		So(ok && got <= 0, ShouldBeFalse)
	})
}

// The ids of one process have the same sender and increasing numbers, and two processes have different senders.
func TestSendIDsAreUnique(t *testing.T) {
	source, otherSource := NewSendIDSource(), NewSendIDSource()
	other, _ := ParseSendID(requestHead(SendIDField, otherSource.Next()))
	previous := SendID{}
	for range 100 {
		got, ok := ParseSendID(requestHead(SendIDField, source.Next()))
		sameSender := previous.Number == 0 || got.Sender == previous.Sender
		if !ok || got.Number <= previous.Number || !sameSender || got.Sender == other.Sender {
			t.Fatalf("%+v follows %+v, want a higher number and the same sender, other than in %+v", got, previous, other)
		}
		previous = got
	}
	for _, text := range []string{
		"", ".", "1", "1.", ".1", "x.1", "1.x", "1.-1", "1.2.3", "10000000000000000.1", "1.18446744073709551616",
	} {
		if got, ok := ParseSendID(requestHead(SendIDField, text)); ok {
			t.Errorf("malformed id %q is parsed as %+v, want a failure", text, got)
		}
	}
}

// Attempt terms survive an encoding and decoding to the millisecond, whatever the field contained before.
func TestAttemptTermsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		targetMs := rapid.IntRange(0, 600_000).Draw(t, "latency target in ms")
		terms := AttemptTerms{
			Priority:      rapid.IntRange(0, 9).Draw(t, "priority"),
			LatencyTarget: time.Duration(targetMs) * time.Millisecond,
			Idempotent:    rapid.Bool().Draw(t, "idempotent"),
		}
		fields := http.Header{attemptTermsField: {"9,9,1", "9,9,1"}}
		terms.Set(fields)
		values := fields[attemptTermsField]
		if got, ok := ParseAttemptTerms(requestHead(attemptTermsField, values[0])); len(values) != 1 || !ok || got != terms {
			t.Fatalf("%+v is encoded as %q and parsed as %+v", terms, values, got)
		}
		if StripSidecarFields(fields); len(fields) > 0 {
			t.Fatalf("remaining fields %v, want none", fields)
		}
	})
}

func TestConfigVersionFields(t *testing.T) {
	Convey("Configuration versions survive an encoding and decoding, and malformed versions are rejected", t, func() {
		for _, c := range []AttemptConfig{
			{AdmittedVersion: 7}, {AdmittedVersion: 7, APIKeyDigest: config.DigestKey("k")},
		} {
			fields := http.Header{}
			c.Set(fields)
			got, ok := ParseAttemptConfig(requestHead(
				configField, fields.Get(configField), keyDigestField, fields.Get(keyDigestField)))
			So(ok, ShouldBeTrue)
			So(got, ShouldResemble, c)
			StripSidecarFields(fields)
			So(fields, ShouldBeEmpty)
		}
		for _, text := range []string{"", "0", "-1", "x", "7,", "7,x", "7,0", "99999999999999999999"} {
			_, ok := ParseAttemptConfig(requestHead(configField, text))
			So(ok, ShouldBeFalse)
		}
		fields := http.Header{configField: {"12"}} // set by an upstream
		SetConfigVersion(fields, 0)
		So(fields, ShouldBeEmpty)
		So(ConfigVersion(fields), ShouldEqual, 0)
		SetConfigVersion(fields, 12)
		So(ConfigVersion(fields), ShouldEqual, 12)
		StripGateFields(fields)
		So(fields, ShouldBeEmpty)
	})
	Convey("A gate's rejection by a newer configuration is recognised by its status", t, func() {
		res := &http.Response{StatusCode: StatusConfigOutdated, Header: GateResponseFields("9c41", true, FormatLoad(1, 0, 1))}
		ending, _ := ClassifyGateResponse(res)
		So(ending, ShouldEqual, ConfigOutdated)
		res.StatusCode = http.StatusServiceUnavailable
		ending, _ = ClassifyGateResponse(res)
		So(ending, ShouldEqual, policy.GateRejected)
		res.Header = http.Header{} // a 409 of the upstream
		res.StatusCode = StatusConfigOutdated
		ending, _ = ClassifyGateResponse(res)
		So(ending, ShouldEqual, policy.Served)
	})
}
