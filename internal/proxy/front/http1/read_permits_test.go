package http1

import (
	"slices"
	"sync"
	"testing"
	"time"

	"caperarch/internal/proxy/clock"
)

// A connection of a target with little traffic gets the next permit however many connections of an overloaded target
// wait for one, and all permits are released in the end.
func TestReadPermitsAreFair(t *testing.T) {
	f := New(Config{ConnLimits: NewConnLimits(192, 128)}, clock.New())
	overloaded, lowTraffic := new(Target), new(Target)
	f.ShareAmong([]*Target{overloaded, lowTraffic}, []float64{1, 1})
	stop := make(chan struct{})
	var load sync.WaitGroup
	for range 200 {
		load.Go(func() {
			c := &conn{front: f, target: overloaded}
			for {
				select {
				case <-stop:
					return
				default:
				}
				c.acquirePermit()
				for begun := time.Now(); time.Since(begun) < 50*time.Microsecond; {
				}
				c.releasePermit()
			}
		})
	}
	c := &conn{front: f, target: lowTraffic}
	var waits []time.Duration
	for range 50 {
		time.Sleep(time.Millisecond)
		begun := time.Now()
		c.acquirePermit()
		waits = append(waits, time.Since(begun))
		c.releasePermit()
	}
	close(stop)
	load.Wait()
	permits := f.readPermits.Load()
	if n := permits.queue.Waiting(); n != 0 {
		t.Errorf("%d connections still wait for a permit, want 0", n)
	}
	// In arrival order each wait would take 200 x 50 µs = 10 ms.
	slices.Sort(waits)
	if median := waits[len(waits)/2]; median > 3*time.Millisecond {
		t.Errorf("the target with little traffic waited %v for a permit in the median, want at most 3ms", median)
	}
	c.acquirePermit()
	c.acquirePermit() // a second call returns at once: the connection holds a permit
	c.releasePermit()
	c.releasePermit()
}
