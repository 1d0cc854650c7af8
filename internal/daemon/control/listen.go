package control

import (
	"context"
	"net"
)

// Listen listens where operators call. Where the system can, it hands a connection over only once it has said something: callers that say nothing cost no descriptor.
func Listen(address string) (net.Listener, error) {
	cfg := net.ListenConfig{Control: deferAccept}
	cfg.SetMultipathTCP(false) // its sockets do not defer
	return cfg.Listen(context.Background(), "tcp", address)
}
