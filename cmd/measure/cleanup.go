package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
)

// panics is a testbed.TB for a program: what can't go on ends it.
type panics struct{}

// Helper marks nothing: a program has no test log.
func (panics) Helper() {}

// Fatalf ends the program.
func (panics) Fatalf(format string, args ...any) { panic(fmt.Sprintf(format, args...)) }

// Cleanup keeps nothing: whoever starts something ends it.
func (panics) Cleanup(func()) {}

// cleanups is a testbed.TB for a program that gives back what one part of it took. Its methods may be called from
// any goroutine.
type cleanups struct {
	panics
	*pendingCleanups
}

// pendingCleanups is what is to be done at the end.
type pendingCleanups struct {
	mu    sync.Mutex // guards the fields below
	ended bool
	all   []func()
}

func newCleanups() cleanups {
	if ending.Load() {
		select {} // the program is about to end
	}
	c := cleanups{pendingCleanups: new(pendingCleanups)}
	open.Store(c, true)
	return c
}

// open are those whose end has not come. A measurement that is called off must leave no process
// behind: a hundred of one went on beside the next.
var open sync.Map

// ending says that the program was told to end: nothing new is begun.
var ending atomic.Bool

// endOnSignal gives everything back when the program is told to end.
func endOnSignal() {
	told := make(chan os.Signal, 1)
	signal.Notify(told, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-told
		ending.Store(true)
		open.Range(func(c, _ any) bool {
			c.(cleanups).end()
			return true
		})
		os.Exit(1)
	}()
}

// Cleanup has something done at the end: at once where that has come, as what is started beside the end must not be
// left behind.
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

func (c cleanups) end() {
	if _, still := open.LoadAndDelete(c); !still {
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
