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
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sys/unix"

	"caperarch/internal/mesh/errs"
)

type asked struct{ Kind, Fill string }

type told struct{ Fill string }

func TestDesk(t *testing.T) {
	const limit = 600 << 10
	mux := http.NewServeMux()
	Handle(mux, "/ask", limit, func(_ *http.Request, q *asked) (*told, error) {
		if q.Kind != "" {
			return nil, errs.Wrap(errs.New(errs.Busy, "below"), errs.ParseKind(q.Kind), "above")
		}
		return &told{q.Fill}, nil
	})
	Handle(mux, "/leave", limit, func(*http.Request, *struct{}) (*told, error) { return &told{"left"}, nil })
	HandleGet(mux, "/get", func(*http.Request) (*told, error) { return &told{"got"}, nil })
	server := httptest.NewServer(mux)
	defer server.Close()
	client := NewClient(time.Second)
	defer client.CloseIdleConnections()
	address := strings.TrimPrefix(server.URL, "http://")

	// raw sends bytes as they are, ends its side and gives the answer.
	raw := func(text string) (*http.Response, string) {
		c, err := net.Dial("tcp", address)
		So(err, ShouldBeNil)
		defer c.Close()
		_, err = io.WriteString(c, text)
		So(err, ShouldBeNil)
		So(c.(*net.TCPConn).CloseWrite(), ShouldBeNil)
		answer, err := http.ReadResponse(bufio.NewReader(c), nil)
		So(err, ShouldBeNil)
		body, err := io.ReadAll(answer.Body)
		So(err, ShouldBeNil)
		So(answer.ContentLength, ShouldEqual, len(body))
		return answer, string(body)
	}
	post := func(path, body string, length int) (*http.Response, string) {
		return raw("POST " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: " +
			strconv.Itoa(length) + "\r\n\r\n" + body)
	}

	Convey("Every kind comes back through Call as it was said last, with its message", t, func() {
		for k := errs.Invalid; k <= errs.Internal; k++ {
			_, err := Call[asked, told](context.Background(), client, server.URL+"/ask", &asked{Kind: k.String()})
			So(errs.KindOf(err), ShouldEqual, k)
			So(err.Error(), ShouldContainSubstring, "answers "+strconv.Itoa(k.Status())+": above: below")
		}
	})
	Convey("A body larger than the first buffer goes both ways whole; one over the limit is TooLarge", t, func() {
		fill := strings.Repeat("caperarch ", 50<<10)
		a, err := Call[asked, told](context.Background(), client, server.URL+"/ask", &asked{Fill: fill})
		So(err, ShouldBeNil)
		So(a.Fill == fill, ShouldBeTrue)
		_, err = Call[asked, told](context.Background(), client, server.URL+"/ask", &asked{Fill: fill + fill})
		So(errs.KindOf(err), ShouldEqual, errs.TooLarge)
		chunked := httptest.NewRequest("POST", "/", io.MultiReader(strings.NewReader(fill)))
		body, err := ReadBody(chunked, int64(len(fill)))
		So(err, ShouldBeNil)
		So(string(body) == fill, ShouldBeTrue)
		chunked = httptest.NewRequest("POST", "/", io.MultiReader(strings.NewReader(fill)))
		_, err = ReadBody(chunked, int64(len(fill))-1)
		So(errs.KindOf(err), ShouldEqual, errs.TooLarge)
	})
	Convey("Bodies that are cut short, followed by more or of the wrong type are told apart", t, func() {
		for _, c := range []struct{ body, more, kind string }{
			{`{"Fill":"a"}`, "rest", "Unreadable"}, // The length promises four bytes that never come.
			{`{"Fill":"a"} x`, "", "Unreadable"},
			{`{"Fill":`, "", "Unreadable"},
			{``, "", "Unreadable"},
			{`{"Fill":7}`, "", "Invalid"},
		} {
			answer, body := post("/ask", c.body, len(c.body)+len(c.more))
			So(answer.StatusCode, ShouldEqual, 400)
			So(answer.Header.Get(kindHeader), ShouldEqual, c.kind)
			So(body, ShouldContainSubstring, `"kind":"`+c.kind+`"`)
		}
		answer, body := post("/leave", "", 0)
		So(answer.StatusCode, ShouldEqual, 200)
		So(body, ShouldEqual, `{"Fill":"left"}`)
		_, body = raw("GET /get HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
		So(body, ShouldEqual, `{"Fill":"got"}`)
		answer, _ = raw("GET /ask HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
		So(answer.StatusCode, ShouldEqual, 405)
	})
	Convey("A dead port and a call whose time is out are Unreachable; a peer that names no kind is Internal", t, func() {
		gone := httptest.NewServer(mux)
		gone.Close()
		_, err := Call[asked, told](context.Background(), client, gone.URL+"/ask", &asked{})
		So(errs.KindOf(err), ShouldEqual, errs.Unreachable)
		over, cancel := context.WithCancel(context.Background())
		cancel()
		_, err = Call[asked, told](over, client, server.URL+"/ask", &asked{})
		So(errs.KindOf(err), ShouldEqual, errs.Unreachable)
		_, err = Call[asked, told](context.Background(), client, server.URL+"/nothing", &asked{})
		So(errs.KindOf(err), ShouldEqual, errs.Internal)
	})
	Convey("A connection of the client gives up on a silent peer after the user timeout", t, func() {
		c, err := client.Transport.(*http.Transport).DialContext(context.Background(), "tcp", address)
		So(err, ShouldBeNil)
		defer c.Close()
		control, err := c.(syscall.Conn).SyscallConn()
		So(err, ShouldBeNil)
		var timeout, probes int
		So(control.Control(func(fd uintptr) {
			timeout, _ = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
			probes, _ = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPCNT)
		}), ShouldBeNil)
		So(timeout, ShouldEqual, userTimeout.Milliseconds())
		So(probes, ShouldEqual, keepAliveCount)
	})
}
