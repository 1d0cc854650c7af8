//go:build !linux

package control

import "syscall"

// deferAccept does nothing: TCP_DEFER_ACCEPT is specific to Linux.
func deferAccept(_, _ string, _ syscall.RawConn) error { return nil }
