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

// Fixture holds the nodes, the discovery service and the subject of a case. When the case ends, all calls that were
// sent through the fixture are checked against the four rules.
type Fixture struct {
	T          *testing.T
	ArrivalLog *testbed.ArrivalLog
	Nodes      []*testbed.Node
	Discovery  *testbed.Discovery
	subject    Subject
	client     Client
	lastID     atomic.Uint64

	mu     sync.Mutex
	calls  map[string]*callRecord      // by call ID
	drains map[*testbed.Node]time.Time // time from which a draining node must receive no calls
}

// callRecord is a call with the answer that its caller received.
type callRecord struct {
	call   Call
	answer Answer
}

// Start starts a node in each of the cells, then discovery and the subject. edit changes the settings of the subject;
// it may be nil.
func (f *Fixture) Start(edit func(settings map[string]any), cells ...int) {
	f.T.Helper()
	for i, cell := range cells {
		n := f.subject.Node(f.T, fmt.Sprintf("s-%d", i), f.ArrivalLog)
		n.Cell = cell
		f.Nodes = append(f.Nodes, n)
	}
	f.Discovery = testbed.NewDiscovery(f.T, f.Nodes...)
	f.Open(edit)
}

// ShortDeadlines sets the latency target of all classes to 600 ms and the deadline to 1.2 s, so that a case can wait
// until they expire.
func ShortDeadlines(settings map[string]any) {
	for _, c := range settings["classes"].([]any) {
		class := c.(map[string]any)
		class["aim_ms"], class["hard_limit_ms"] = 600.0, 1200.0
	}
}

// Open starts the subject with the nodes that have been started. edit changes its settings; it may be nil.
func (f *Fixture) Open(edit func(settings map[string]any)) {
	f.T.Helper()
	text := testbed.ConfigText(f.T, testbed.Known(f.Nodes...), func(file, settings map[string]any) {
		file["discovery"] = f.Discovery.Address
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
	f.client = f.subject.Open(f.T, text)
}

// Close shuts the subject down gracefully.
func (f *Fixture) Close() error { return f.client.Close() }

// NewID returns an ID that no other call of the case has.
func (f *Fixture) NewID() string { return "c" + strconv.FormatUint(f.lastID.Add(1), 10) }

// NewCall returns a valid call of a class.
func (f *Fixture) NewCall(class string) Call {
	c := Call{ID: f.NewID(), Class: class, Tenant: "north", Body: "41.5 kg", Timeout: 15 * time.Second}
	if class == "reading" {
		c.Key = "k-" + c.ID
	}
	return c
}

// Do sends a call and records its answer.
func (f *Fixture) Do(c Call) Answer { return f.DoContext(context.Background(), c) }

// DoContext sends a call with the context of its caller and records its answer.
func (f *Fixture) DoContext(ctx context.Context, c Call) Answer {
	start := time.Now()
	a := f.client.Call(ctx, c)
	a.At = time.Now()
	a.Took = a.At.Sub(start)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls[c.ID] = &callRecord{c, a}
	return a
}

// Expect sends a valid call of a class and reports an error if its answer has none of the kinds.
func (f *Fixture) Expect(class string, kinds ...Kind) (Call, Answer) {
	f.T.Helper()
	c := f.NewCall(class)
	a := f.Do(c)
	if !slices.Contains(kinds, a.Kind) {
		f.T.Errorf("class %s, call %s: answer %+v, want one of the kinds %v", class, c.ID, a, kinds)
	}
	if a.Kind == Served && a.Body != "done "+c.ID {
		f.T.Errorf("class %s, call %s: body %q, want the call's own ID", class, c.ID, a.Body)
	}
	return c, a
}

// Drain changes the lifecycle of a node in discovery to "draining" or "gone" and waits until the change is announced.
// Calls that arrive at the node later than the grace period after the announcement violate rule 3.
func (f *Fixture) Drain(n *testbed.Node, lifecycle string, grace time.Duration) {
	f.T.Helper()
	f.Discovery.Set(n, lifecycle)
	testbed.Until(f.T, "the drain to be announced", func() bool { return !f.Discovery.NotifiedAt(n).IsZero() })
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.drains == nil {
		f.drains = make(map[*testbed.Node]time.Time)
	}
	f.drains[n] = f.Discovery.NotifiedAt(n).Add(grace)
}

// Script sets the script of all nodes.
func (f *Fixture) Script(s testbed.Script) {
	for _, n := range f.Nodes {
		n.Do(s)
	}
}

// OnFirstArrival returns a script that applies act to the first arrival of each call ID and serves all later arrivals.
func OnFirstArrival(act testbed.Act) testbed.Script {
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

// decodeJSON decodes a JSON literal of the suite, for cases that replace lists in the settings.
func decodeJSON(text string) (v any) {
	if err := json.Unmarshal([]byte(text), &v); err != nil {
		panic(err) // the text is a literal of this package
	}
	return v
}

// StartLoad starts callers that each send calls of the classes in sequence, until the returned function is called.
func (f *Fixture) StartLoad(callers int, classes ...string) (stop func()) {
	done := make(chan struct{})
	var running sync.WaitGroup
	for i := range callers {
		running.Go(func() {
			for n := i; ; n++ {
				select {
				case <-done:
					return
				default:
					f.Do(f.NewCall(classes[n%len(classes)]))
					time.Sleep(2 * time.Millisecond) // limits the load to less than the capacity of the machine
				}
			}
		})
	}
	return sync.OnceFunc(func() {
		close(done)
		running.Wait()
	})
}
