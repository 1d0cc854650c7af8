package rpc

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"caperarch/internal/mesh/errs"
	"caperarch/internal/mesh/httpclient"
	"caperarch/meshapi"
)

type echoRequest struct{ Kind, Fill string }

type echoResponse struct{ Fill string }

// maxTestBody is the limit of the test server's bodies.
const maxTestBody = 600 << 10

// fixture is a server of three handlers, and a client.
type fixture struct {
	handler http.Handler
	url     string
	client  *http.Client
}

// newFixture starts the server: /echo answers with the request's Fill, or with an error of its
// Kind; /ignore takes any body; /get takes none.
func newFixture(t *testing.T) *fixture {
	t.Helper()
	mux := http.NewServeMux()
	Handle(mux, "/echo", maxTestBody, func(_ *http.Request, q *echoRequest) (*echoResponse, error) {
		if q.Kind != "" {
			return nil, errs.Wrap(errs.New(errs.Busy, "below"), errs.ParseKind(q.Kind), "above")
		}
		return &echoResponse{q.Fill}, nil
	})
	Handle(mux, "/ignore", maxTestBody, func(*http.Request, *struct{}) (*echoResponse, error) {
		return &echoResponse{"ignored"}, nil
	})
	HandleGet(mux, "/get", func(*http.Request) (*echoResponse, error) { return &echoResponse{"got"}, nil })
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	client := httpclient.New(time.Second)
	t.Cleanup(client.CloseIdleConnections)
	return &fixture{handler: mux, url: server.URL, client: client}
}

// address is the server's host and port.
func (f *fixture) address() string { return strings.TrimPrefix(f.url, "http://") }

// call sends a request to a path of the server.
func (f *fixture) call(path string, request *echoRequest) (*echoResponse, error) {
	return Call[echoRequest, echoResponse](context.Background(), f.client, f.url+path, request)
}

// sendRaw sends bytes as they are, closes its side of the connection and returns the response.
func (f *fixture) sendRaw(t *testing.T, text string) (*http.Response, string) {
	t.Helper()
	c, err := net.Dial("tcp", f.address())
	So(err, ShouldBeNil)
	defer c.Close()
	_, err = io.WriteString(c, text)
	So(err, ShouldBeNil)
	So(c.(*net.TCPConn).CloseWrite(), ShouldBeNil)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	So(err, ShouldBeNil)
	body, err := io.ReadAll(response.Body)
	So(err, ShouldBeNil)
	So(response.ContentLength, ShouldEqual, len(body))
	return response, string(body)
}

// postRaw posts a body under an announced length of its own.
func (f *fixture) postRaw(t *testing.T, path, body string, length int) (*http.Response, string) {
	t.Helper()
	return f.sendRaw(t, "POST "+path+" HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: "+
		strconv.Itoa(length)+"\r\n\r\n"+body)
}

func TestErrorsKeepTheirKind(t *testing.T) {
	f := newFixture(t)
	Convey("Every kind comes back through Call as the outermost one, with its message", t, func() {
		for k := errs.Invalid; k <= errs.Internal; k++ {
			_, err := f.call("/echo", &echoRequest{Kind: k.String()})
			So(errs.KindOf(err), ShouldEqual, k)
			So(err.Error(), ShouldContainSubstring, "answers "+strconv.Itoa(k.Status())+": above: below")
		}
	})
}

func TestLargeBodies(t *testing.T) {
	f := newFixture(t)
	Convey("A body larger than the first buffer passes in full both ways; one over the limit is TooLarge", t, func() {
		fill := strings.Repeat("caperarch ", 50<<10)
		response, err := f.call("/echo", &echoRequest{Fill: fill})
		So(err, ShouldBeNil)
		So(response.Fill == fill, ShouldBeTrue)
		_, err = f.call("/echo", &echoRequest{Fill: fill + fill})
		So(errs.KindOf(err), ShouldEqual, errs.TooLarge)
		chunked := httptest.NewRequest("POST", "/", io.MultiReader(strings.NewReader(fill)))
		body, err := ReadBody(chunked, int64(len(fill)))
		So(err, ShouldBeNil)
		So(string(body) == fill, ShouldBeTrue)
		chunked = httptest.NewRequest("POST", "/", io.MultiReader(strings.NewReader(fill)))
		_, err = ReadBody(chunked, int64(len(fill))-1)
		So(errs.KindOf(err), ShouldEqual, errs.TooLarge)
	})
}

func TestMalformedAndInvalidBodies(t *testing.T) {
	f := newFixture(t)
	Convey("Bodies that are cut short, followed by more or of the wrong type are told apart", t, func() {
		for _, c := range []struct{ body, missing, kind string }{
			{`{"Fill":"a"}`, "rest", "Unreadable"}, // The length promises four bytes that never come.
			{`{"Fill":"a"} x`, "", "Unreadable"},
			{`{"Fill":`, "", "Unreadable"},
			{``, "", "Unreadable"},
			{`{"Fill":7}`, "", "Invalid"},
		} {
			response, body := f.postRaw(t, "/echo", c.body, len(c.body)+len(c.missing))
			So(response.StatusCode, ShouldEqual, 400)
			So(response.Header.Get(meshapi.ErrorKindHeader), ShouldEqual, c.kind)
			So(body, ShouldContainSubstring, `"kind":"`+c.kind+`"`)
		}
	})
	Convey("A handler without a request type takes an empty body, HandleGet takes GET, and Handle only POST", t, func() {
		response, body := f.postRaw(t, "/ignore", "", 0)
		So(response.StatusCode, ShouldEqual, 200)
		So(body, ShouldEqual, `{"Fill":"ignored"}`)
		_, body = f.sendRaw(t, "GET /get HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
		So(body, ShouldEqual, `{"Fill":"got"}`)
		response, _ = f.sendRaw(t, "GET /echo HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
		So(response.StatusCode, ShouldEqual, 405)
	})
}

func TestCallsWithoutResponse(t *testing.T) {
	f := newFixture(t)
	Convey("A closed port and a call past its context are Unreachable; a peer that names no kind is Internal", t, func() {
		closed := httptest.NewServer(f.handler)
		closed.Close()
		_, err := Call[echoRequest, echoResponse](context.Background(), f.client, closed.URL+"/echo", &echoRequest{})
		So(errs.KindOf(err), ShouldEqual, errs.Unreachable)
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		_, err = Call[echoRequest, echoResponse](ended, f.client, f.url+"/echo", &echoRequest{})
		So(errs.KindOf(err), ShouldEqual, errs.Unreachable)
		_, err = f.call("/nothing", &echoRequest{})
		So(errs.KindOf(err), ShouldEqual, errs.Internal)
	})
}
