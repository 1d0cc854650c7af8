package control

import (
	"context"
	"net"
)

// Listen listens for control calls. If the operating system supports TCP_DEFER_ACCEPT, Accept returns a connection only
// after the caller has sent data, so idle callers use no file descriptors.
func Listen(address string) (net.Listener, error) {
	cfg := net.ListenConfig{Control: deferAccept}
	cfg.SetMultipathTCP(false) // multipath TCP sockets do not support TCP_DEFER_ACCEPT
	return cfg.Listen(context.Background(), "tcp", address)
}
