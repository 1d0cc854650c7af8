package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	// operatorTimeout limits the wait for a response before the operator tries the next machine.
	operatorTimeout = time.Second
	// operatorBackoff is the pause between an acknowledgement and the next change, and between a failed attempt and the
	// next attempt.
	operatorBackoff = 50 * time.Millisecond
)

// acknowledgement holds the times at which the successful attempt of a change was sent and answered.
type acknowledgement struct{ sent, answered time.Time }

// operator sends numbered changes one after the other. It sends each change to one machine after the other until a
// machine acknowledges the change.
type operator struct {
	// send sends the change with a number to a machine.
	send func(ctx context.Context, machine int, number int64) error
	// machines is the number of machines, and number the number of the newest acknowledged change.
	machines int
	number   int64
	// interval is the pause between an acknowledgement and the next change.
	interval time.Duration

	mu    sync.Mutex // guards the fields below
	acks  []acknowledgement
	woken chan struct{} // closed and replaced at each acknowledgement
}

func newOperator(machines int, number int64,
	send func(ctx context.Context, machine int, number int64) error) *operator {
	return &operator{send: send, machines: machines, number: number, interval: operatorBackoff,
		woken: make(chan struct{})}
}

// startSending sends changes until the returned function is called.
func (o *operator) startSending() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() {
		for machine := 0; ctx.Err() == nil; {
			machine = o.change(ctx, machine)
			wait(ctx, o.interval)
		}
	})
	return func() {
		cancel()
		done.Wait()
	}
}

// change sends the next change, first to the given machine, until it is acknowledged. It returns the machine that
// acknowledged the change.
func (o *operator) change(ctx context.Context, machine int) int {
	for ; ctx.Err() == nil; machine = (machine + 1) % o.machines {
		sent := time.Now()
		within, cancel := context.WithTimeout(ctx, operatorTimeout)
		err := o.send(within, machine, o.number+1)
		cancel()
		if err == nil {
			o.acknowledged(acknowledgement{sent, time.Now()})
			return machine
		}
		wait(ctx, operatorBackoff)
	}
	return machine
}

// acknowledged records an acknowledgement and wakes callers of next.
func (o *operator) acknowledged(a acknowledgement) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.number++
	o.acks = append(o.acks, a)
	close(o.woken)
	o.woken = make(chan struct{})
}

// next waits for the first acknowledgement of an attempt sent at or after a time, and returns the time from then to the
// acknowledgement.
func (o *operator) next(after time.Time) (time.Duration, error) {
	bound := time.After(meshStartTimeout)
	for {
		o.mu.Lock()
		woken := o.woken
		for _, a := range o.acks {
			if !a.sent.Before(after) {
				o.mu.Unlock()
				return a.answered.Sub(after), nil
			}
		}
		o.acks = o.acks[:0]
		o.mu.Unlock()
		select {
		case <-woken:
		case <-bound:
			return 0, fmt.Errorf("no change was acknowledged within %v", meshStartTimeout)
		}
	}
}

// wait sleeps for d or until ctx ends.
func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// waitFor polls a condition every 5 ms until it holds or meshStartTimeout has passed.
func waitFor(what string, holds func() bool) error {
	for end := time.Now().Add(meshStartTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return nil
		}
	}
	return fmt.Errorf("waited for %s: timed out after %v", what, meshStartTimeout)
}
