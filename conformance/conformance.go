// Package conformance is the one list of cases that every way to a decision module must pass: the daemon, the
// plug-in's client, its RoundTripper, its gRPC connection and whatever comes later. The cases are
// written against Subject and never ask which one they have.
package conformance

import (
	"context"
	"testing"
	"time"

	"caperarch/internal/lab/testbed"
)

// Kind is how a call ended for its caller.
type Kind string

// The kinds. Invalid: the call could not be used as it was, and nothing was sent. Gone: the caller gave up.
const (
	Served  Kind = "served"
	Refused Kind = "refused"
	Failed  Kind = "failed"
	Invalid Kind = "invalid"
	Gone    Kind = "gone"
)

// Call is one call.
type Call struct {
	ID, Class, Tenant, Key, Body string
	Timeout                      time.Duration
}

// Answer is what its caller got.
type Answer struct {
	Kind       Kind
	Body       string
	RetryAfter time.Duration
	Detail     string // of an error, for people

	Took time.Duration // set by the suite, as At
	At   time.Time
}

// Client is a running subject.
type Client interface {
	// Call carries a call out and waits for its one answer. Gone is for a ctx that ended first.
	Call(ctx context.Context, c Call) Answer
	// Close ends the subject as its operator would: what is held is answered first.
	Close() error
}

// Subject is one way to a decision module.
type Subject interface {
	// Node starts a stand-in server that the subject can send to.
	Node(t testbed.TB, id string, l *testbed.ArrivalLog) *testbed.Node
	// Open starts the subject with a configuration file's text.
	Open(t *testing.T, config string) Client
}

// Case is one case of the list.
type Case struct {
	Name string
	Run  func(t *testing.T, w *World)
}

// Run runs the whole list against a subject.
func Run(t *testing.T, s Subject) {
	for _, c := range Cases() {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			w := &World{T: t, subject: s, ArrivalLog: new(testbed.ArrivalLog), calls: make(map[string]*made)}
			c.Run(t, w)
			w.check()
		})
	}
}
