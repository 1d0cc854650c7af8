package main

import (
	"sync"
	"sync/atomic"
	"testing"
)

// Guards against a cleanup that is lost or runs twice if several goroutines register cleanups concurrently with the
// end.
func TestCleanupsFromManyGoroutines(t *testing.T) {
	c := newCleanups()
	var starters sync.WaitGroup
	var done atomic.Int64
	const each, goroutines = 100, 8
	for range goroutines {
		starters.Go(func() {
			for range each {
				c.Cleanup(func() { done.Add(1) })
			}
		})
	}
	c.end()
	starters.Wait()
	c.end()
	if done.Load() != each*goroutines {
		t.Errorf("%d cleanups ran, want %d", done.Load(), each*goroutines)
	}
}
