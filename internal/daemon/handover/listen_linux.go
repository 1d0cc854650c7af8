package handover

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Listen listens on an address that another process of this sidecar may listen on too, now or later. Where the system lets it, new connections all go to the
// process that came last: steered says so. Else it gives some to each, and who leaves has to empty its queue.
func Listen(address string) (l net.Listener, steered bool, err error) {
	cfg := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		// Where the option is refused there is no second process on this address, and the first one serves all the same.
		return raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) })
	}}
	cfg.SetMultipathTCP(false) // its sockets take no program, and nobody here has two paths
	l, err = cfg.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, false, err
	}
	return l, steer(l) == nil, nil
}

// steer has the group of sockets on this address pick its second one. The first is the older process'; a group of one has no second, and the kernel
// falls back to picking by hash, which is the one there is. When the older leaves, its place is the last one's.
func steer(l net.Listener) error {
	if plain {
		return syscall.ENOPROTOOPT
	}
	raw, err := l.(*net.TCPListener).SyscallConn()
	if err != nil {
		return err
	}
	second := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 1}}
	program := unix.SockFprog{Len: uint16(len(second)), Filter: &second[0]}
	var failed error
	if err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_REUSEPORT_CBPF, &program)
	}); err != nil {
		return err
	}
	return failed
}

// plain has tests go without steering, as where it is refused.
var plain bool
