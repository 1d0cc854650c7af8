package httpclient

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sys/unix"
)

func TestConnectionsTimeOut(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(server.Close)
	client := New(time.Second)
	t.Cleanup(client.CloseIdleConnections)
	Convey("A connection of the client has the configured TCP_USER_TIMEOUT and keep-alive probe count", t, func() {
		transport := client.Transport.(*http.Transport)
		address := strings.TrimPrefix(server.URL, "http://")
		c, err := transport.DialContext(context.Background(), "tcp", address)
		So(err, ShouldBeNil)
		defer c.Close()
		control, err := c.(syscall.Conn).SyscallConn()
		So(err, ShouldBeNil)
		var timeout, probes int
		So(control.Control(func(fd uintptr) {
			timeout, _ = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
			probes, _ = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPCNT)
		}), ShouldBeNil)
		So(timeout, ShouldEqual, defaultUserTimeout.Milliseconds())
		So(probes, ShouldEqual, keepAliveCount)
	})
}
