// Package testbed has the stand-ins that tests, the demo and measurements run against, all on loopback: records
// nodes that fail on command, discovery, a log of what arrived. Nothing that ships imports it.
package testbed

import "time"

// Generous bounds every wait: what waits does so for events, and only a broken program waits this long.
const Generous = 20 * time.Second

// TB is the part of testing.TB that the rig needs; the demo and measurements bring their own.
type TB interface {
	Helper()
	Fatalf(format string, args ...any)
	Cleanup(func())
}

// Wait returns what comes on a channel.
func Wait[T any](t TB, what string, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(Generous):
		t.Fatalf("waited in vain for %s", what)
		panic("not reached")
	}
}

// Until waits until something holds that nothing tells of.
func Until(t TB, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(Generous); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited in vain for %s", what)
		}
	}
}
