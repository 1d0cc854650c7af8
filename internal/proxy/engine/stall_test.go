package engine

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"caperarch/internal/proxy/call"
	"caperarch/internal/proxy/clock"
	"caperarch/policy"
)

// recordingTransport is a transport that records the sends. The test ends the attempts.
type recordingTransport struct {
	mu    sync.Mutex
	sends []recordedSend
}

type recordedSend struct {
	to     string
	limits call.Limits
	done   func(call.Result)
}

type recordingServer struct {
	r       *recordingTransport
	address string
}

type recordingAttempt struct{ done func(call.Result) }

func (a recordingAttempt) Cancel() { go a.done(call.Result{Ending: policy.Cancelled}) }

func (r *recordingTransport) Server(address string) call.Server { return recordingServer{r, address} }
func (r *recordingTransport) Counters() map[string]int          { return nil }

func (s recordingServer) Send(_ *call.Message, limits call.Limits, done func(call.Result)) call.Attempt {
	s.r.mu.Lock()
	defer s.r.mu.Unlock()
	var once sync.Once
	end := func(res call.Result) { once.Do(func() { done(res) }) }
	s.r.sends = append(s.r.sends, recordedSend{s.address, limits, end})
	return recordingAttempt{end}
}

func (recordingServer) Probe(done func(bool, policy.Load)) { go done(false, policy.Load{}) }
func (recordingServer) CloseIdle()                         {}
func (recordingServer) Deregister()                        {}

func (r *recordingTransport) all() []recordedSend {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]recordedSend(nil), r.sends...)
}

// runSuspendable runs a test in a synctest bubble, with a running engine whose clock the test can advance. A process
// that was suspended observes such a jump of the clock.
func runSuspendable(t *testing.T, run func(e *Engine, r *recordingTransport)) {
	t.Helper()
	runSuspendableWithClass(t, policy.Class{Effect: policy.NonIdempotent}, oneServerList(policy.Ready), run)
}

// runSuspendableWithClass is runSuspendable with a given class and server list.
func runSuspendableWithClass(
	t *testing.T, class policy.Class, servers call.ServerList, run func(e *Engine, r *recordingTransport),
) {
	t.Helper()
	class.LatencyTarget, class.Deadline, class.Value = 500*time.Millisecond, 2500*time.Millisecond, 1
	synctest.Test(t, func(t *testing.T) {
		r := new(recordingTransport)
		e, err := New(Config{
			Policy: policy.Config{
				Balancers: 1, MaxAttempts: 3, MayCancel: true, MaxRetryAfter: time.Second,
				Classes: []policy.Class{class},
			},
			Clock: clock.NewAdjustable(), Transport: r, Log: slog.New(slog.DiscardHandler), NoCounterLog: true,
		})
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			e.Run(ctx, servers)
		}()
		synctest.Wait()
		run(e, r)
		cancel()
		<-done
		synctest.Wait()
	})
}

func oneServerList(state policy.State) call.ServerList {
	return call.ServerList{
		Full:      true,
		Servers:   []policy.Server{{ID: 1, State: state, Weight: 1}},
		Addresses: map[policy.ServerID]string{1: "one"},
	}
}

// Guards against a request that is sent to a draining server after the process was suspended for 1.5 s. When the
// process resumes, a request and then a list in which the server drains arrive. The list must be applied first.
func TestListIsAppliedBeforeRequestsAfterSuspension(t *testing.T) {
	runSuspendable(t, func(e *Engine, r *recordingTransport) {
		e.Clock.Advance(1500 * time.Millisecond)
		reply := make(chan call.Answer, 2)
		e.Submit(policy.Request{}, &call.Message{}, e.Clock.Now()+2*time.Second, reply)
		time.Sleep(10 * time.Millisecond) // discovery's answer arrives shortly after the request
		e.UpdateServers(oneServerList(policy.Draining))
		if a := <-reply; a.Kind != call.Refused {
			t.Errorf("answer %+v, want refused, as the only server drains", a)
		}
		if sends := r.all(); len(sends) > 0 {
			t.Errorf("sent %+v to a draining server", sends)
		}
	})
}

// A request whose deadline passed while the process was suspended is not sent, and is answered once.
func TestNothingIsSentPastItsDeadlineAfterSuspension(t *testing.T) {
	runSuspendable(t, func(e *Engine, r *recordingTransport) {
		reply := make(chan call.Answer, 2)
		deadline := e.Clock.Now() + time.Second
		e.Clock.Advance(1500 * time.Millisecond)
		e.Submit(policy.Request{}, &call.Message{}, deadline, reply)
		if a := <-reply; a.Kind != call.Refused {
			t.Errorf("answer %+v, want refused, as nothing was sent", a)
		}
		time.Sleep(3 * time.Second)
		if sends := r.all(); len(sends) > 0 || len(reply) > 0 {
			t.Errorf("sent %+v, %d more answers, want none", sends, len(reply))
		}
	})
}

// With attempts in flight while the process is suspended, each request gets one answer, no non-idempotent request gets
// a second attempt, and the timers that are overdue afterwards share a call of the module.
func TestAttemptsInFlightDuringSuspensionAreNotRepeated(t *testing.T) {
	runSuspendable(t, func(e *Engine, r *recordingTransport) {
		replies := make(chan call.Answer, 100)
		for range 20 {
			e.Submit(policy.Request{}, &call.Message{}, e.Clock.Now()+time.Second, replies)
		}
		synctest.Wait()
		inFlight := len(r.all())
		if inFlight == 0 {
			t.Fatal("nothing was sent")
		}
		e.Clock.Advance(1500 * time.Millisecond)
		for _, s := range r.all() {
			s.done(call.Result{Ending: policy.TimedOut})
		}
		for range 20 {
			<-replies
		}
		time.Sleep(3 * time.Second)
		if n := len(r.all()); n != inFlight || len(replies) > 0 {
			t.Errorf("%d attempts sent after the suspension, %d before, want no more; %d answers too many",
				n, inFlight, len(replies))
		}
		flushed := make(chan int, 1)
		e.post(func(time.Duration) { flushed <- len(e.wakes) })
		if n := <-flushed; n > 4 {
			t.Errorf("%d timers are still set, want at most 4", n)
		}
	})
}

// Requests that are open when Run ends are answered: failed if an attempt was sent, refused otherwise.
func TestEndOfRunAnswersOpenRequests(t *testing.T) {
	for state, want := range map[policy.State]call.Kind{policy.Ready: call.Failed, policy.Draining: call.Refused} {
		synctest.Test(t, func(t *testing.T) {
			r := new(recordingTransport)
			e, err := New(Config{
				Policy: policy.Config{
					Balancers: 1, MaxAttempts: 3, MayCancel: true,
					Classes: []policy.Class{{
						LatencyTarget: time.Second, Deadline: 2 * time.Second, Effect: policy.NonIdempotent,
					}},
				},
				Clock: clock.New(), Transport: r, Log: slog.New(slog.DiscardHandler), NoCounterLog: true,
			})
			if err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithCancel(context.Background())
			go e.Run(ctx, oneServerList(state))
			reply := make(chan call.Answer, 2)
			e.Submit(policy.Request{}, &call.Message{}, e.Clock.Now()+2*time.Second, reply)
			synctest.Wait()
			cancel()
			if a := <-reply; a.Kind != want {
				t.Errorf("answer %+v, want %v", a, want)
			}
			e.Flush() // must not block after Run has returned
			e.Submit(policy.Request{}, &call.Message{}, 0, reply)
			synctest.Wait()
		})
	}
}
