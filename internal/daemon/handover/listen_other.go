//go:build !linux

package handover

import "net"

// Listen listens on an address that no other process can share: on systems other than Linux a process can't be replaced
// while it serves.
func Listen(address string) (l net.Listener, steered bool, err error) {
	l, err = net.Listen("tcp", address)
	return l, false, err
}
