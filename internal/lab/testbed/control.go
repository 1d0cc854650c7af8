package testbed

import (
	"io"
	"net"
	"time"
)

// FreeAddress is a loopback address that nobody listens on now.
func FreeAddress(t TB) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("a free address: %v", err)
	}
	defer l.Close()
	return l.Addr().String()
}

// Operate calls a control address and returns all that it answers.
func Operate(address, line string) (string, error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return "", err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(Generous))
	if _, err := io.WriteString(c, line+"\n"); err != nil {
		return "", err
	}
	raw, err := io.ReadAll(c)
	return string(raw), err
}
