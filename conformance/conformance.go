// Package conformance is the one list of cases that every way to a decision module must pass: the daemon, the
// plug-in's client, its RoundTripper, its gRPC connection and whatever comes later. The cases are
// written against Subject and never ask which one they have.
package conformance

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
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

// slack is by how much an answer may come after its time, and an attempt after its request's answer, for
// want of CPU where several cases run at once.
const slack = 250 * time.Millisecond

// window is how long a cell drops the repeats of a key, as rig.Settings has it.
const window = 600 * time.Millisecond

// World is what a case plays in. Every call through it is held against the four rules when the case is over.
type World struct {
	T          *testing.T
	ArrivalLog *testbed.ArrivalLog
	Nodes      []*testbed.Node
	Discovery  *testbed.Discovery
	subject    Subject
	client     Client
	lastID     atomic.Uint64

	mu     sync.Mutex
	calls  map[string]*made // by id
	drains map[*testbed.Node]time.Time
}

type made struct {
	call   Call
	answer Answer
}

// Start starts nodes in the cells that are given and the subject, with settings as edit leaves them.
func (w *World) Start(edit func(settings map[string]any), cells ...int) {
	w.T.Helper()
	for i, cell := range cells {
		n := w.subject.Node(w.T, fmt.Sprintf("s-%d", i), w.ArrivalLog)
		n.Cell = cell
		w.Nodes = append(w.Nodes, n)
	}
	w.Discovery = testbed.NewDiscovery(w.T, w.Nodes...)
	w.Open(edit)
}

// Brief are aims and deadlines that a case can wait for: 600 ms and 1.2 s.
func Brief(settings map[string]any) {
	for _, c := range settings["classes"].([]any) {
		class := c.(map[string]any)
		class["aim_ms"], class["hard_limit_ms"] = 600.0, 1200.0
	}
}

// Open starts the subject.
func (w *World) Open(edit func(settings map[string]any)) {
	w.T.Helper()
	text := testbed.ConfigText(w.T, testbed.Known(w.Nodes...), func(file, settings map[string]any) {
		file["discovery"] = w.Discovery.Address
		methods := make(map[string]any)
		for _, class := range []string{"reading", "entry", "look"} {
			methods["/"+class] = map[string]any{"class": class}
			methods["/ledger.Ledger/"+class] = map[string]any{"class": class}
		}
		file["methods"] = methods
		if edit != nil {
			edit(settings)
		}
	})
	w.client = w.subject.Open(w.T, text)
}

// Close ends the subject.
func (w *World) Close() error { return w.client.Close() }

// NewID returns an id that no call has.
func (w *World) NewID() string { return "c" + strconv.FormatUint(w.lastID.Add(1), 10) }

// Usable returns a call of a class that can be used as it is.
func (w *World) Usable(class string) Call {
	c := Call{ID: w.NewID(), Class: class, Tenant: "north", Body: "41.5 kg", Timeout: 15 * time.Second}
	if class == "reading" {
		c.Key = "k-" + c.ID
	}
	return c
}

// Do carries a call out.
func (w *World) Do(c Call) Answer { return w.DoContext(context.Background(), c) }

// DoContext carries a call out under a context of its caller.
func (w *World) DoContext(ctx context.Context, c Call) Answer {
	begun := time.Now()
	a := w.client.Call(ctx, c)
	a.At = time.Now()
	a.Took = a.At.Sub(begun)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls[c.ID] = &made{c, a}
	return a
}

// Want carries a usable call of a class out and says if its answer is another.
func (w *World) Want(class string, kinds ...Kind) (Call, Answer) {
	w.T.Helper()
	c := w.Usable(class)
	a := w.Do(c)
	if !slices.Contains(kinds, a.Kind) {
		w.T.Errorf("%s %s: %+v, want %v", class, c.ID, a, kinds)
	}
	if a.Kind == Served && a.Body != "done "+c.ID {
		w.T.Errorf("%s %s: body %q of another call", class, c.ID, a.Body)
	}
	return c, a
}

// check holds everything that happened against the rules.
func (w *World) check() {
	w.T.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	settled := time.Now()
	byID := make(map[string][]testbed.Arrival)
	for _, r := range w.ArrivalLog.All() {
		byID[r.ID] = append(byID[r.ID], r)
	}
	for id, m := range w.calls {
		c, a := m.call, m.answer
		arrivals := byID[id]
		runs := testbed.Runs(arrivals)
		if a.Kind == "" {
			w.T.Errorf("rule 1: %s has no answer", id)
		}
		if c.Timeout > 0 && a.Kind != Invalid && a.Took > c.Timeout+slack {
			w.T.Errorf("rule 1: %s was answered after %v, it had %v", id, a.Took, c.Timeout)
		}
		for _, r := range arrivals {
			if r.At.After(a.At.Add(slack)) && a.At.Before(settled) {
				w.T.Errorf("rule 1: %s went out to %s %v after its answer", id, r.Node, r.At.Sub(a.At))
			}
			if c.Timeout > 0 && r.Timeout > c.Timeout+slack {
				w.T.Errorf("%s told %s of %v, it had %v", id, r.Node, r.Timeout, c.Timeout)
			}
		}
		if len(arrivals) > 3 {
			w.T.Errorf("%s had %d attempts, 3 at most", id, len(arrivals))
		}
		if a.Kind == Served && runs == 0 {
			w.T.Errorf("%s was served by nobody", id)
		}
		if a.Kind == Invalid && len(arrivals) > 0 && w.calls[id].call.Body != "twin" {
			w.T.Errorf("%s is invalid and was sent", id)
		}
		switch c.Class {
		case "entry":
			if runs > 1 {
				w.T.Errorf("rule 2: unsafe %s ran %d times", id, runs)
			}
			if a.Kind == Refused && runs > 0 {
				w.T.Errorf("rule 2: unsafe %s was refused and ran", id)
			}
		case "reading":
			if n := testbed.Effects(arrivals, window); n > 1 {
				w.T.Errorf("rule 2: keyed %s had %d effects", id, n)
			}
			if a.Kind == Refused && runs > 0 {
				w.T.Errorf("rule 2: keyed %s was refused and ran", id)
			}
		}
	}
	for n, since := range w.drains {
		for _, r := range w.ArrivalLog.All() {
			if r.Node == n.ID && r.At.After(since) {
				w.T.Errorf("rule 3: %s went to %s %v after its drain was told", r.ID, n.ID, r.At.Sub(since))
			}
		}
	}
}

// Drain has discovery say that a node drains or is gone, waits until that was told, and holds what comes there
// from grace later on against rule 3.
func (w *World) Drain(n *testbed.Node, lifecycle string, grace time.Duration) {
	w.T.Helper()
	w.Discovery.Set(n, lifecycle)
	testbed.Until(w.T, "the drain to be told", func() bool { return !w.Discovery.NotifiedAt(n).IsZero() })
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.drains == nil {
		w.drains = make(map[*testbed.Node]time.Time)
	}
	w.drains[n] = w.Discovery.NotifiedAt(n).Add(grace)
}

// Script has all nodes follow one.
func (w *World) Script(s testbed.Script) {
	for _, n := range w.Nodes {
		n.Do(s)
	}
}

// First is a script that does act with the first arrival of each id and serves the others.
func First(act testbed.Act) testbed.Script {
	var mu sync.Mutex
	seen := make(map[string]bool)
	return func(a testbed.Arrival) testbed.Act {
		mu.Lock()
		defer mu.Unlock()
		if seen[a.ID] {
			return testbed.Serve
		}
		seen[a.ID] = true
		return act
	}
}

// decode is the JSON of settings, for cases that change lists in it.
func decode(text string) (v any) {
	if err := json.Unmarshal([]byte(text), &v); err != nil {
		panic(err) // a literal of the suite
	}
	return v
}
