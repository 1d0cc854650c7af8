package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
)

// panicTB is a testbed.TB for a program: a fatal error panics.
type panicTB struct{}

// Helper does nothing, as a program has no test log.
func (panicTB) Helper() {}

// Fatalf panics with the formatted message.
func (panicTB) Fatalf(format string, args ...any) { panic(fmt.Sprintf(format, args...)) }

// Cleanup ignores the function: the caller releases its resources itself.
func (panicTB) Cleanup(func()) {}

// cleanups is a testbed.TB for a program. It runs the functions registered with Cleanup at the end of a measurement or
// when the program is terminated. Its methods are safe for concurrent use.
type cleanups struct {
	panicTB
	*pendingCleanups
}

// pendingCleanups holds the registered functions.
type pendingCleanups struct {
	mu    sync.Mutex // guards the fields below
	ended bool
	all   []func()
}

func newCleanups() cleanups {
	if terminating.Load() {
		select {} // the program is terminating
	}
	c := cleanups{pendingCleanups: new(pendingCleanups)}
	openCleanups.Store(c, true)
	return c
}

// openCleanups is the set of cleanups that have not run. An interrupted measurement must leave no process behind:
// about a hundred leftover processes once ran alongside the next measurement.
var openCleanups sync.Map

// terminating is set once the program has received a termination signal. No new cleanups are then created.
var terminating atomic.Bool

// cleanUpOnSignal runs all cleanups and exits with status 1 on SIGTERM or SIGINT.
func cleanUpOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		terminating.Store(true)
		openCleanups.Range(func(c, _ any) bool {
			c.(cleanups).end()
			return true
		})
		os.Exit(1)
	}()
}

// Cleanup registers f to run at the end. If the end has already begun, f runs at once, so that a process started
// concurrently with the end is not left behind.
func (c cleanups) Cleanup(f func()) {
	c.mu.Lock()
	if !c.ended {
		c.all = append(c.all, f)
		c.mu.Unlock()
		return
	}
	c.mu.Unlock()
	f()
}

// end runs the registered functions, the last one first. Further calls do nothing.
func (c cleanups) end() {
	if _, still := openCleanups.LoadAndDelete(c); !still {
		return
	}
	c.mu.Lock()
	c.ended = true
	all := c.all
	c.mu.Unlock()
	for i := len(all) - 1; i >= 0; i-- {
		all[i]()
	}
}
