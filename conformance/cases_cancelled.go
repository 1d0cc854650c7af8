package conformance

import (
	"context"
	"testing"
	"time"

	"caperarch/internal/lab/testbed"
)

// cancelled is about callers that give up.
func cancelled(add func(string, func(*testing.T, *World))) {
	for effect, class := range classes {
		add("caller gone/attempt out/"+effect, func(t *testing.T, w *World) {
			w.Start(nil, 0, 0, 0)
			arrived := make(chan struct{}, 9)
			w.Script(func(testbed.Arrival) testbed.Act {
				arrived <- struct{}{}
				return testbed.Hang
			})
			ctx, cancel := context.WithCancel(context.Background())
			c := w.Usable(class)
			answered := make(chan Answer, 1)
			go func() { answered <- w.DoContext(ctx, c) }()
			testbed.Wait(t, "the attempt", arrived)
			begun := time.Now()
			cancel()
			if a := testbed.Wait(t, "its end", answered); a.Kind != Gone {
				t.Errorf("%+v, want gone", a)
			}
			if took := time.Since(begun); took > 2*time.Second {
				t.Errorf("the caller waited %v for its own cancel", took)
			}
			w.Script(testbed.Always(testbed.Serve))
			for range 5 {
				w.Want("look", Served) // its slot is free again, and nothing of it goes out
			}
			if n := len(w.ArrivalLog.Of(c.ID)); n != 1 {
				t.Errorf("%d attempts, want 1", n)
			}
		})
	}
	add("caller gone/still waiting", callerGoneWhileQueued)
}

// callerGoneWhileQueued shows that a call whose caller gave up in the queue is never sent.
func callerGoneWhileQueued(t *testing.T, w *World) {
	w.Start(nil) // no node at all: it waits in the queue
	ctx, cancel := context.WithCancel(context.Background())
	c := w.Usable("entry")
	answered := make(chan Answer, 1)
	go func() { answered <- w.DoContext(ctx, c) }()
	time.Sleep(50 * time.Millisecond)
	cancel()
	if a := testbed.Wait(t, "its end", answered); a.Kind != Gone {
		t.Errorf("%+v, want gone", a)
	}
	time.Sleep(100 * time.Millisecond) // its end crosses the loopback, and the client's own goroutine closes it
	n := w.subject.Node(t, "s-late", w.ArrivalLog)
	w.Discovery.Set(n, "ready")
	testbed.Until(t, "the node to take part", func() bool { return w.Do(w.Usable("look")).Kind == Served })
	if got := w.ArrivalLog.Of(c.ID); len(got) > 0 {
		t.Errorf("it went out: %+v", got)
	}
}
