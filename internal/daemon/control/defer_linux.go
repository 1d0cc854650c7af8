package control

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// deferSeconds is how long the kernel withholds a connection on which nothing has arrived.
const deferSeconds = 5

// deferAccept sets TCP_DEFER_ACCEPT on the listener.
func deferAccept(_, _ string, raw syscall.RawConn) error {
	// If it is not supported, idle callers are evicted as those are that sent half a line.
	return raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_DEFER_ACCEPT, deferSeconds)
	})
}
