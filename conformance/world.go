package conformance

import (
	"caperarch/internal/lab/testbed"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

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

// Load has a number of callers make calls of some classes, one after the other, until the function
// that it returns is called.
func (w *World) Load(callers int, classes ...string) (stop func()) {
	done := make(chan struct{})
	var all sync.WaitGroup
	for i := range callers {
		all.Go(func() {
			for n := i; ; n++ {
				select {
				case <-done:
					return
				default:
					w.Do(w.Usable(classes[n%len(classes)]))
					time.Sleep(2 * time.Millisecond) // a load, not all that the machine can do
				}
			}
		})
	}
	return sync.OnceFunc(func() {
		close(done)
		all.Wait()
	})
}
