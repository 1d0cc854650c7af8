package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

// controlTimeout limits the duration of a control call. The daemon is expected to respond within 1 s.
const controlTimeout = 5 * time.Second

// runControlCall makes a control call, prints the body of the response and returns the exit code.
func runControlCall(address, call string, out, log io.Writer) int {
	text, err := controlCall(address, call)
	if err != nil {
		fmt.Fprintf(log, "caperarch: %v\n", err)
		return 1
	}
	fmt.Fprint(out, text)
	return 0
}

// controlCall makes a control call and returns the body of the response without the status line and the EOF line. It
// returns an error if the daemon rejects the call.
func controlCall(address, call string) (string, error) {
	conn, err := net.DialTimeout("tcp", address, controlTimeout)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(controlTimeout))
	var raw []byte
	if _, err = io.WriteString(conn, call+"\n"); err == nil {
		raw, err = io.ReadAll(conn)
	}
	text, ok := strings.CutPrefix(string(raw), "200 ok\n")
	switch {
	case err != nil:
		return "", fmt.Errorf("%s: %w", address, err)
	case !ok:
		return "", fmt.Errorf("%s says: %s", address, strings.TrimSuffix(strings.TrimPrefix(text, "400 "), "\n"))
	}
	return strings.TrimSuffix(text, "EOF\n"), nil
}
