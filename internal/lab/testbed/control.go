package testbed

import (
	"io"
	"net"
	"time"
)

// FreeAddress returns a loopback address with a port that is not in use.
func FreeAddress(t TB) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen on a free loopback port: %v", err)
	}
	defer l.Close()
	return l.Addr().String()
}

// Operate sends a line to a control address and returns the complete response.
func Operate(address, line string) (string, error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return "", err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(MaxWait))
	if _, err := io.WriteString(c, line+"\n"); err != nil {
		return "", err
	}
	raw, err := io.ReadAll(c)
	return string(raw), err
}
