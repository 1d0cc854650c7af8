package handover

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Listen listens on an address that another process of this sidecar may listen on too, now or later. If steered, new
// connections all go to the process that came last; else the system spreads them, and a process that leaves has to
// empty its queue.
func Listen(address string) (l net.Listener, steered bool, err error) {
	cfg := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		// If the option is not supported no second process can listen here, and the first one serves all the same.
		return raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) })
	}}
	cfg.SetMultipathTCP(false) // its sockets accept no BPF program, and no host here has two paths
	l, err = cfg.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, false, err
	}
	return l, steer(l) == nil, nil
}

// steer makes the group of sockets on this address select its second one. The first belongs to the older
// process. In a group of one there is no second, and the kernel falls back to selecting by hash, which finds
// the only one. When the older process leaves, the last socket takes its index.
func steer(l net.Listener) error {
	if steeringDisabled {
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

// steeringDisabled makes tests run without steering, as where the system does not support it.
var steeringDisabled bool
