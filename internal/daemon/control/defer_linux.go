package control

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// deferSeconds is how long, in seconds, the kernel withholds a connection on which no data has arrived.
const deferSeconds = 5

// deferAccept sets TCP_DEFER_ACCEPT on the listener.
func deferAccept(_, _ string, raw syscall.RawConn) error {
	// An error is ignored: without the option, idle callers are accepted, and the Server evicts them like callers
	// that have sent an incomplete line.
	return raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_DEFER_ACCEPT, deferSeconds)
	})
}
