package api

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"caperarch/internal/mesh/errs"
	"caperarch/internal/mesh/rpc"
)

func TestForwarderTriesMembersInOrder(t *testing.T) {
	Convey("A request that one core machine can't decide is sent to the next, and a rejection is final", t, func() {
		var machines []*fakeOperators
		closed := httptest.NewServer(nil)
		closed.Close()
		addresses := []string{strings.TrimPrefix(closed.URL, "http://")}
		for range 3 {
			machine := new(fakeOperators)
			machines = append(machines, machine)
			addresses = append(addresses, startOperators(t, machine))
		}
		forwarder := newForwarder(t, addresses...)
		machines[0].err = errs.New(errs.NotLeader, "another member leads")
		body := `{"configVersion": 7,  "x":"<&>"}`
		status, answer := replace(forwarder, body)
		So([]any{status, answer}, ShouldResemble, []any{200, `{"configVersion":7}`})
		status, answer = call(forwarder, "POST", "/api/configuration/update", body)
		So([]any{status, answer}, ShouldResemble, []any{200, `{"configVersion":7}`})
		status, answer = call(forwarder, "GET", "/api/configuration/describe", "")
		So([]any{status, answer}, ShouldResemble, []any{200, `{"configVersion":7}`})
		So(machines[1].requests, ShouldResemble, []string{"replace " + body, "update " + body, "describe"})
		So(machines[2].requests, ShouldBeEmpty)

		for _, kind := range []errs.Kind{errs.Stale, errs.Invalid} {
			machines[1].err = errs.New(kind, "no")
			status, _ = replace(forwarder, body)
			So(status, ShouldEqual, kind.Status())
		}
		So(machines[2].requests, ShouldBeEmpty)
		for _, machine := range machines {
			machine.err = errs.New(errs.NoQuorum, "no")
		}
		status, _ = replace(forwarder, body)
		So(status, ShouldEqual, 503)
		So(machines[2].requests, ShouldHaveLength, 1)
		status, _ = replace(forwarder, strings.Repeat(" ", MaxChangeBytes+1))
		So(status, ShouldEqual, 413)
		status, _ = call(newForwarder(t), "GET", "/api/configuration/describe", "")
		So(status, ShouldEqual, 503)
	})
}

func TestForwarderIgnoresInconclusiveResponses(t *testing.T) {
	Convey("An inconclusive response settles nothing, and the request goes to the next machine", t, func() {
		// The first core machine answers with status and answer, or with an error if answer is the name
		// of an error kind.
		var status int
		var answer string
		first := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if kind := errs.ParseKind(answer); kind != errs.Internal {
				rpc.WriteError(w, errs.New(kind, "no"))
				return
			}
			w.WriteHeader(status)
			_, _ = io.WriteString(w, answer)
		}))
		defer first.Close()
		second := new(fakeOperators)
		forwarder := newForwarder(t, strings.TrimPrefix(first.URL, "http://"), startOperators(t, second))

		for _, row := range []struct {
			status int
			answer string
		}{
			{200, "{}"},
			{200, `{"configVersion":6}`},
			{200, "null"},
			{200, "[]"},
			{204, ""},
			{307, ""},
			{400, ""},
			{404, ""},
			{409, ""},
			{412, "no"},
			{421, ""},
			{500, ""},
			{0, "Unreadable"},
			{0, "Unknown"},
			{0, "Undecided"},
			{0, "Late"},
			{0, "Busy"},
		} {
			status, answer = row.status, row.answer
			second.err = nil
			got, _ := replace(forwarder, `{"configVersion":7}`)
			So([]any{row, got}, ShouldResemble, []any{row, 200}) // from the second core machine
			second.err = errs.New(errs.Malformed, "body truncated on its way")
			got, _ = replace(forwarder, `{"configVersion":7}`)
			So([]any{row, got}, ShouldResemble, []any{row, 502})
		}
		second.err = nil
		for _, invalid := range []string{"", "{}", "[]", `{"status":"ok"}`} {
			status, answer = 200, invalid
			got, document := call(forwarder, "GET", "/api/configuration/describe", "")
			So([]any{invalid, got, document}, ShouldResemble, []any{invalid, 200, `{"configVersion":7}`})
		}
		before := len(second.requests)
		for _, body := range []string{"", "{", "\xff", "[]", "{}", `{"configVersion":"7"}`} {
			got, _ := replace(forwarder, body)
			So([]any{body, got}, ShouldResemble, []any{body, 400})
		}
		So(second.requests, ShouldHaveLength, before)
	})
}

func TestBodyIsReadInFullBeforeHandling(t *testing.T) {
	Convey("A truncated body reaches no handler", t, func() {
		mux := http.NewServeMux()
		handler := new(fakeOperators)
		RegisterOperatorRoutes(mux, handler)
		w := httptest.NewRecorder()
		body := io.MultiReader(strings.NewReader("{"), truncated{})
		mux.ServeHTTP(w, httptest.NewRequest("POST", "/api/configuration/replace", body))
		So(w.Code, ShouldEqual, 400)
		So(handler.requests, ShouldBeEmpty)
	})
}

// truncated is a reader that fails as at the end of a truncated body.
type truncated struct{}

func (truncated) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
