package handover

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Listen listens on an address that other processes of this sidecar may share. If steered is true, the kernel passes
// all new connections to the process that started last. If steered is false, the kernel distributes new connections
// among the processes, and a leaving process has to accept the connections that are already in its queue.
func Listen(address string) (l net.Listener, steered bool, err error) {
	cfg := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		// An error is ignored: without the option, the first process serves, but no second process can listen on the
		// address.
		return raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) })
	}}
	cfg.SetMultipathTCP(false) // multipath TCP sockets accept no BPF program, and the hosts have only one path
	l, err = cfg.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, false, err
	}
	return l, steer(l) == nil, nil
}

// steer attaches a BPF program that selects the second socket of the group of sockets on this address for new
// connections. The first socket belongs to the older process, the second socket to the successor. In a group of one
// socket the index is out of range, and the kernel falls back to selection by hash, which selects the only socket. When
// the older process closes its socket, the last socket of the group takes the index of the closed socket.
func steer(l net.Listener) error {
	if steeringDisabled {
		return syscall.ENOPROTOOPT
	}
	raw, err := l.(*net.TCPListener).SyscallConn()
	if err != nil {
		return err
	}
	selectSecond := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 1}}
	program := unix.SockFprog{Len: uint16(len(selectSecond)), Filter: &selectSecond[0]}
	var optionErr error
	if err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_REUSEPORT_CBPF, &program)
	}); err != nil {
		return err
	}
	return optionErr
}

// steeringDisabled is set by tests to simulate a kernel that does not support steering.
var steeringDisabled bool
