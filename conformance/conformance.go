// Package conformance is the test suite that every front end of the load balancer must pass: the daemon, and the
// client, the RoundTripper and the gRPC connection of the plug-in. The cases use the interface Subject only and do not
// depend on the front end under test.
package conformance

import (
	"context"
	"testing"
	"time"

	"caperarch/internal/lab/testbed"
)

// Kind is the kind of answer that a caller received.
type Kind string

// The kinds of answers. Invalid: the call is not valid and was not sent. CallerGone: the caller cancelled the call.
const (
	Served     Kind = "served"
	Refused    Kind = "refused"
	Failed     Kind = "failed"
	Invalid    Kind = "invalid"
	CallerGone Kind = "gone"
)

// Call describes a call that a case sends through the subject.
type Call struct {
	ID, Class, Tenant, Key, Body string
	Timeout                      time.Duration
}

// Answer is the outcome of a call for its caller.
type Answer struct {
	Kind       Kind
	Body       string
	RetryAfter time.Duration
	Detail     string // text of an error, for test messages

	Took time.Duration // time from the call to its answer; set by the suite
	At   time.Time     // time of the answer; set by the suite
}

// Client sends calls through a running subject.
type Client interface {
	// Call sends a call and waits for its final answer. The kind is CallerGone if ctx ends first.
	Call(ctx context.Context, c Call) Answer
	// Close shuts the subject down gracefully: calls in flight are answered first.
	Close() error
}

// Subject is a front end of the load balancer under test.
type Subject interface {
	// Node starts a test server that speaks the subject's protocol and records its requests in the arrival log.
	Node(t testbed.TB, id string, l *testbed.ArrivalLog) *testbed.Node
	// Open starts the subject with the text of a configuration file.
	Open(t *testing.T, config string) Client
}

// Case is a named test case of the suite.
type Case struct {
	Name string
	Run  func(t *testing.T, f *Fixture)
}

// Run runs all cases against a subject.
func Run(t *testing.T, s Subject) {
	for _, c := range Cases() {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			f := &Fixture{T: t, subject: s, ArrivalLog: new(testbed.ArrivalLog), calls: make(map[string]*callRecord)}
			c.Run(t, f)
			f.checkRules()
		})
	}
}
