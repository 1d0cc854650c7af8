package http1

import (
	"slices"
	"sync"
	"testing"
	"time"

	"caperarch/internal/proxy/clock"
)

// However many connections of a flooded pool want to be read, one of a quiet pool's is read next; all permits come
// back.
func TestReadPermitsAreFair(t *testing.T) {
	f := New(Config{ConnLimits: NewConnLimits(192, 128)}, clock.New())
	flooded, quiet := new(Target), new(Target)
	f.ShareAmong([]*Target{flooded, quiet}, []float64{1, 1})
	stop := make(chan struct{})
	var flood sync.WaitGroup
	for range 200 {
		flood.Go(func() {
			c := &conn{front: f, target: flooded}
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
	c := &conn{front: f, target: quiet}
	var waits []time.Duration
	for range 50 {
		time.Sleep(time.Millisecond)
		begun := time.Now()
		c.acquirePermit()
		waits = append(waits, time.Since(begun))
		c.releasePermit()
	}
	close(stop)
	flood.Wait()
	g := f.readPermits.Load()
	if n := g.queue.Waiting(); n != 0 {
		t.Errorf("%d still wait", n)
	}
	// In the order of asking it would be 200 x 50 µs = 10 ms each time.
	slices.Sort(waits)
	if median := waits[len(waits)/2]; median > 3*time.Millisecond {
		t.Errorf("the quiet one waited %v in the median", median)
	}
	c.acquirePermit()
	c.acquirePermit() // a second one passes: it has its permit
	c.releasePermit()
	c.releasePermit()
}
