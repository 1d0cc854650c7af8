package control

import (
	"context"
	"net"
)

// Listen listens for control calls. Where the system supports it, a connection is accepted only once it has sent
// something: idle callers cost no descriptor.
func Listen(address string) (net.Listener, error) {
	cfg := net.ListenConfig{Control: deferAccept}
	cfg.SetMultipathTCP(false) // its sockets do not support TCP_DEFER_ACCEPT
	return cfg.Listen(context.Background(), "tcp", address)
}
