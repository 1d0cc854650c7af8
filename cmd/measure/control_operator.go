package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	// operatorTimeout is how long an operator waits for an answer before it goes on to the next machine.
	operatorTimeout = time.Second
	// operatorBackoff is between an acknowledgement and the next change, and between a failure and the
	// next try.
	operatorBackoff = 50 * time.Millisecond
)

// acknowledgement is when a change was acknowledged, and when the attempt began that was.
type acknowledgement struct{ sent, answered time.Time }

// operator sends numbered changes, one after another: each goes to one machine after another, the same
// again, until it is acknowledged.
type operator struct {
	// send sends the change of a number to a machine, within ctx.
	send func(ctx context.Context, machine int, number int64) error
	// machines is how many there are, number the newest change that was acknowledged.
	machines int
	number   int64
	// interval is between an acknowledgement and the next change.
	interval time.Duration

	mu    sync.Mutex
	acks  []acknowledgement
	woken chan struct{}
}

func newOperator(machines int, number int64,
	send func(ctx context.Context, machine int, number int64) error) *operator {
	return &operator{send: send, machines: machines, number: number, interval: operatorBackoff,
		woken: make(chan struct{})}
}

// goOn sends changes until the function that it returns is called.
func (o *operator) goOn() (stop func()) {
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

// change has one change acknowledged, from a machine on, and returns the machine that did it.
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

func (o *operator) acknowledged(a acknowledgement) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.number++
	o.acks = append(o.acks, a)
	close(o.woken)
	o.woken = make(chan struct{})
}

// next is how long after a moment the first change was acknowledged by an attempt that began behind it.
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
			return 0, fmt.Errorf("no change was acknowledged for %v", meshStartTimeout)
		}
	}
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// until asks every 5 ms until a condition holds.
func until(what string, holds func() bool) error {
	for end := time.Now().Add(meshStartTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return nil
		}
	}
	return fmt.Errorf("%s: not within %v", what, meshStartTimeout)
}
