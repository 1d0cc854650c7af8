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

// echoRequest is the request of /echo: the kind of the error to return, or the text to return.
type echoRequest struct{ Kind, Fill string }

// echoResponse is the response of all handlers of the test server.
type echoResponse struct{ Fill string }

// maxTestBody is the body limit of the test server in bytes.
const maxTestBody = 600 << 10

// fixture is a running test server with a client.
type fixture struct {
	handler http.Handler
	url     string
	client  *http.Client
}

// newFixture starts a test server with three handlers. /echo returns the request's Fill, or an error of the request's
// Kind. /ignore accepts any body. /get serves GET requests.
func newFixture(t *testing.T) *fixture {
	t.Helper()
	mux := http.NewServeMux()
	Handle(mux, "/echo", maxTestBody, func(_ *http.Request, request *echoRequest) (*echoResponse, error) {
		if request.Kind != "" {
			return nil, errs.Wrap(errs.New(errs.Busy, "below"), errs.ParseKind(request.Kind), "above")
		}
		return &echoResponse{request.Fill}, nil
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

// address returns the server's host and port.
func (f *fixture) address() string { return strings.TrimPrefix(f.url, "http://") }

// call posts a request to a path of the server.
func (f *fixture) call(path string, request *echoRequest) (*echoResponse, error) {
	return Call[echoRequest, echoResponse](context.Background(), f.client, f.url+path, request)
}

// sendRaw sends the bytes of text, closes the sending side of the connection, and returns the response.
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

// postRaw posts a body with the given Content-Length, which may differ from the length of the body.
func (f *fixture) postRaw(t *testing.T, path, body string, length int) (*http.Response, string) {
	t.Helper()
	return f.sendRaw(t, "POST "+path+" HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: "+
		strconv.Itoa(length)+"\r\n\r\n"+body)
}

func TestErrorsKeepTheirKind(t *testing.T) {
	f := newFixture(t)
	Convey("Call returns an error of the outermost kind that the handler returned, with its message", t, func() {
		for k := errs.Invalid; k <= errs.Internal; k++ {
			_, err := f.call("/echo", &echoRequest{Kind: k.String()})
			So(errs.KindOf(err), ShouldEqual, k)
			So(err.Error(), ShouldContainSubstring, "answers "+strconv.Itoa(k.Status())+": above: below")
		}
	})
}

func TestLargeBodies(t *testing.T) {
	f := newFixture(t)
	Convey("A body larger than the first buffer is received in full, a body over the limit is TooLarge", t, func() {
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
	Convey("A truncated body or one with trailing text is Malformed, a value of the wrong type is Invalid", t, func() {
		for _, c := range []struct{ body, missing, kind string }{
			{`{"Fill":"a"}`, "rest", "Unreadable"}, // the Content-Length includes four bytes that are never sent
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
	Convey("Without a request type an empty body is accepted; HandleGet serves GET, Handle only POST", t, func() {
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
	Convey("A closed port or an ended context is Unreachable, an error response without a kind is Internal", t, func() {
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
