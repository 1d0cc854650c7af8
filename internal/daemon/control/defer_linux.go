package control

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// deferFor is how long the kernel keeps a connection to itself that says nothing, in seconds.
const deferFor = 5

func deferAccept(_, _ string, raw syscall.RawConn) error {
	// Where it is refused, silent callers make room as those do that say half a line.
	return raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_DEFER_ACCEPT, deferFor) })
}
