package main

import (
	"sync"
	"sync/atomic"
	"testing"
)

// What is started from several goroutines, also beside the end, is given back once.
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
		t.Errorf("%d of %d were given back", done.Load(), each*goroutines)
	}
}
