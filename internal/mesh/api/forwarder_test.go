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
	Convey("A request goes from a member that can't decide to the next, and a rejection is final", t, func() {
		var members []*fakeOperators
		closed := httptest.NewServer(nil)
		closed.Close()
		addresses := []string{strings.TrimPrefix(closed.URL, "http://")}
		for range 3 {
			member := new(fakeOperators)
			members = append(members, member)
			addresses = append(addresses, startOperators(t, member))
		}
		front := newForwarder(t, addresses...)
		members[0].err = errs.New(errs.NotLeader, "another leads")
		body := `{"configVersion": 7,  "x":"<&>"}`
		status, answer := replace(front, body)
		So([]any{status, answer}, ShouldResemble, []any{200, `{"configVersion":7}`})
		status, answer = call(front, "POST", "/api/configuration/update", body)
		So([]any{status, answer}, ShouldResemble, []any{200, `{"configVersion":7}`})
		status, answer = call(front, "GET", "/api/configuration/describe", "")
		So([]any{status, answer}, ShouldResemble, []any{200, `{"configVersion":7}`})
		So(members[1].requests, ShouldResemble, []string{"replace " + body, "update " + body, "describe"})
		So(members[2].requests, ShouldBeEmpty)

		for _, kind := range []errs.Kind{errs.Stale, errs.Invalid} {
			members[1].err = errs.New(kind, "no")
			status, _ = replace(front, body)
			So(status, ShouldEqual, kind.Status())
		}
		So(members[2].requests, ShouldBeEmpty)
		for _, member := range members {
			member.err = errs.New(errs.NoQuorum, "no")
		}
		status, _ = replace(front, body)
		So(status, ShouldEqual, 503)
		So(members[2].requests, ShouldHaveLength, 1)
		status, _ = replace(front, strings.Repeat(" ", MaxChangeBytes+1))
		So(status, ShouldEqual, 413)
		status, _ = call(newForwarder(t), "GET", "/api/configuration/describe", "")
		So(status, ShouldEqual, 503)
	})
}

func TestForwarderPassesOnOnlyVerdicts(t *testing.T) {
	Convey("What is no verdict on the request neither rejects nor acknowledges it, and the next is asked", t, func() {
		// The first member answers with status and answer, or with an error if answer names a kind.
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
		next := new(fakeOperators)
		front := newForwarder(t, strings.TrimPrefix(first.URL, "http://"), startOperators(t, next))

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
			next.err = nil
			got, _ := replace(front, `{"configVersion":7}`)
			So([]any{row, got}, ShouldResemble, []any{row, 200}) // by the next
			next.err = errs.New(errs.Malformed, "cut short on its way")
			got, _ = replace(front, `{"configVersion":7}`)
			So([]any{row, got}, ShouldResemble, []any{row, 502})
		}
		next.err = nil
		for _, noDocument := range []string{"", "{}", "[]", `{"status":"ok"}`} {
			status, answer = 200, noDocument
			got, document := call(front, "GET", "/api/configuration/describe", "")
			So([]any{noDocument, got, document}, ShouldResemble, []any{noDocument, 200, `{"configVersion":7}`})
		}
		before := len(next.requests)
		for _, body := range []string{"", "{", "\xff", "[]", "{}", `{"configVersion":"7"}`} {
			got, _ := replace(front, body)
			So([]any{body, got}, ShouldResemble, []any{body, 400})
		}
		So(next.requests, ShouldHaveLength, before)
	})
}

func TestBodyIsReadInFullFirst(t *testing.T) {
	Convey("A body that is cut short reaches no handler", t, func() {
		mux := http.NewServeMux()
		handler := new(fakeOperators)
		RegisterOperatorRoutes(mux, handler)
		w := httptest.NewRecorder()
		body := io.MultiReader(strings.NewReader("{"), cutShort{})
		mux.ServeHTTP(w, httptest.NewRequest("POST", "/api/configuration/replace", body))
		So(w.Code, ShouldEqual, 400)
		So(handler.requests, ShouldBeEmpty)
	})
}

// cutShort is the end of a body that is cut short.
type cutShort struct{}

func (cutShort) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
