package conformance

import (
	"context"
	"testing"
	"time"

	"caperarch/internal/lab/testbed"
)

// cancelledCalls tests calls that their callers cancel.
func cancelledCalls(add func(string, func(*testing.T, *Fixture))) {
	for effect, class := range classes {
		add("caller cancels/attempt in flight/"+effect, func(t *testing.T, f *Fixture) {
			f.Start(nil, 0, 0, 0)
			arrived := make(chan struct{}, 9)
			f.Script(func(testbed.Arrival) testbed.Act {
				arrived <- struct{}{}
				return testbed.Hang
			})
			ctx, cancel := context.WithCancel(context.Background())
			c := f.NewCall(class)
			answered := make(chan Answer, 1)
			go func() { answered <- f.DoContext(ctx, c) }()
			testbed.Wait(t, "the attempt to arrive", arrived)
			start := time.Now()
			cancel()
			if a := testbed.Wait(t, "the answer of the cancelled call", answered); a.Kind != CallerGone {
				t.Errorf("answer %+v, want kind CallerGone", a)
			}
			if took := time.Since(start); took > 2*time.Second {
				t.Errorf("the cancelled call returned after %v, want at most 2 s", took)
			}
			f.Script(testbed.Always(testbed.Serve))
			for range 5 {
				f.Expect("look", Served) // the cancelled call has released its slot and is not retried
			}
			if n := len(f.ArrivalLog.Of(c.ID)); n != 1 {
				t.Errorf("the cancelled call had %d attempts, want 1", n)
			}
		})
	}
	add("caller cancels/still queued", callerGoneWhileQueued)
}

// callerGoneWhileQueued checks that a call is never sent if its caller cancels it while it is queued.
func callerGoneWhileQueued(t *testing.T, f *Fixture) {
	f.Start(nil) // without nodes, the call waits in the queue
	ctx, cancel := context.WithCancel(context.Background())
	c := f.NewCall("entry")
	answered := make(chan Answer, 1)
	go func() { answered <- f.DoContext(ctx, c) }()
	time.Sleep(50 * time.Millisecond)
	cancel()
	if a := testbed.Wait(t, "the answer of the cancelled call", answered); a.Kind != CallerGone {
		t.Errorf("answer %+v, want kind CallerGone", a)
	}
	time.Sleep(100 * time.Millisecond) // time for the subject to receive the cancellation and remove the call
	n := f.subject.Node(t, "s-late", f.ArrivalLog)
	f.Discovery.Set(n, "ready")
	testbed.Until(t, "the new node to serve a call", func() bool { return f.Do(f.NewCall("look")).Kind == Served })
	if got := f.ArrivalLog.Of(c.ID); len(got) > 0 {
		t.Errorf("the cancelled call was sent: %+v, want no attempt", got)
	}
}
