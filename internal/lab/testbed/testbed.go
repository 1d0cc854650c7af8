// Package testbed provides the servers that tests, the demo and measurements run against, all on loopback: upstream
// nodes that fail on command, a discovery service, and a log of the requests that arrived. Production code doesn't
// import the package.
package testbed

import "time"

// MaxWait bounds every wait. A wait ends with the event that it waits for; only a faulty program lets it reach this
// bound.
const MaxWait = 20 * time.Second

// TB is the part of testing.TB that the testbed needs. The demo and measurements have their own implementations.
type TB interface {
	Helper()
	Fatalf(format string, args ...any)
	Cleanup(func())
}

// Wait returns the next value from a channel. It fails the test if there is none within the bound.
func Wait[T any](t TB, what string, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(MaxWait):
		t.Fatalf("timed out after 20 s waiting for %s", what)
		panic("not reached")
	}
}

// Until polls until a condition holds. It fails the test if the condition doesn't hold within the bound.
func Until(t TB, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(MaxWait); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out after 20 s waiting for %s", what)
		}
	}
}
