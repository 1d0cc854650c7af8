package conformance

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"caperarch/internal/lab/testbed"
)

// classes by effect, as rig.Settings has them.
var classes = map[string]string{"safe": "look", "keyed": "reading", "unsafe": "entry"}

// Cases is the list.
func Cases() []Case {
	var list []Case
	add := func(name string, run func(t *testing.T, w *World)) { list = append(list, Case{name, run}) }
	endings(add)
	unreachable(add)
	invalid(add)
	cells(add)
	walls(add)
	drains(add)
	goneClients(add)
	atOnce(add)
	whole(add)
	return list
}

// endings crosses every ending of a first attempt with every effect.
func endings(add func(string, func(*testing.T, *World))) {
	for effect, class := range classes {
		add("served/"+effect, func(t *testing.T, w *World) {
			w.Start(nil, 0, 0, 0)
			c, _ := w.Want(class, Served)
			if n := len(w.ArrivalLog.Of(c.ID)); n != 1 {
				t.Errorf("%d attempts, want 1", n)
			}
		})
		add("turned away/"+effect, func(t *testing.T, w *World) { // it never ran: any may go elsewhere
			w.Start(nil, 0, 0, 0)
			w.Script(First(testbed.Reject))
			c, _ := w.Want(class, Served)
			if n := len(w.ArrivalLog.Of(c.ID)); n != 2 {
				t.Errorf("%d attempts, want 2", n)
			}
		})
		// it may have run
		for _, act := range []testbed.Act{testbed.Fail, testbed.Busy, testbed.Reset, testbed.Truncate, testbed.Garbage} {
			add(act.String()+"/"+effect, func(t *testing.T, w *World) {
				w.Start(nil, 0, 0, 0)
				w.Script(First(act))
				want, attempts := Served, 2
				if effect == "unsafe" {
					want, attempts = Failed, 1
				}
				c, a := w.Want(class, want)
				if n := len(w.ArrivalLog.Of(c.ID)); n != attempts {
					t.Errorf("%d attempts, want %d", n, attempts)
				}
				if a.Took > 5*time.Second {
					t.Errorf("answered after %v, the ending was known at once", a.Took)
				}
			})
		}
		add("hang/"+effect, func(t *testing.T, w *World) {
			w.Start(Brief, 0, 0, 0)
			w.Script(testbed.Always(testbed.Hang))
			kinds := []Kind{Failed}
			if effect == "safe" {
				kinds = []Kind{Refused, Failed}
			}
			c := w.Usable(class)
			c.Timeout = 1200 * time.Millisecond
			if a := w.Do(c); a.Kind != kinds[0] && a.Kind != kinds[len(kinds)-1] {
				t.Errorf("%+v, want %v", a, kinds)
			}
		})
		add("every node fails/"+effect, func(t *testing.T, w *World) {
			w.Start(nil, 0, 0, 0, 0, 0)
			w.Script(testbed.Always(testbed.Fail))
			kinds := []Kind{Failed}
			if effect == "safe" {
				kinds = []Kind{Refused}
			}
			w.Want(class, kinds...)
		})
		add("every node turns away/"+effect, func(t *testing.T, w *World) {
			w.Start(nil, 0, 0, 0, 0, 0)
			w.Script(testbed.Always(testbed.Reject))
			c, a := w.Want(class, Refused)
			if n := len(w.ArrivalLog.Of(c.ID)); n < 2 || n > 3 {
				t.Errorf("%d attempts, want 2 or 3 of most_tries 3", n)
			}
			if a.RetryAfter <= 0 || a.RetryAfter > 1200*time.Millisecond {
				t.Errorf("retry after %v, want up to max_retry_after_ms", a.RetryAfter)
			}
		})
	}
}

// unreachable is about servers that nothing listens at any more: a call cannot have run there.
func unreachable(add func(string, func(*testing.T, *World))) {
	for effect, class := range classes {
		add("vanished/"+effect, func(t *testing.T, w *World) {
			w.Start(nil, 0, 0, 0)
			w.Want(class, Served)
			w.Nodes[0].Vanish()
			w.Nodes[1].Vanish()
			served := 0
			for range 8 { // each node has its turn; after failures the module may let in less for a while
				if _, a := w.Want(class, Served, Refused); a.Kind == Served {
					served++
				}
			}
			if served < 4 {
				t.Errorf("%d of 8 served, one node of three is there", served)
			}
		})
		add("reset between calls/"+effect, func(t *testing.T, w *World) { // on a connection that rests, nothing is lost
			w.Start(nil, 0)
			w.Want(class, Served)
			w.Nodes[0].BreakAll()
			testbed.Until(t, "the reset", func() bool { return w.Nodes[0].Open() == 0 })
			time.Sleep(20 * time.Millisecond) // it crosses the loopback
			w.Want(class, Served)
		})
	}
}

// invalid is about calls that can't be used: an error that says so, and nothing is sent.
func invalid(add func(string, func(*testing.T, *World))) {
	for name, c := range map[string]struct {
		class string
		edit  func(*Call)
	}{
		"unknown class":          {"look", func(c *Call) { c.Class = "nothing" }},
		"unknown tenant":         {"look", func(c *Call) { c.Tenant = "east" }},
		"no tenant":              {"look", func(c *Call) { c.Tenant = "" }},
		"keyed with no key":      {"reading", func(c *Call) { c.Key = "" }},
		"unsafe with a key":      {"entry", func(c *Call) { c.Key = "k" }},
		"a time-out out of hand": {"look", func(c *Call) { c.Timeout = 1000 * time.Hour }},
	} {
		add("invalid/"+name, func(t *testing.T, w *World) {
			w.Start(nil, 0, 0)
			call := w.Usable(c.class)
			c.edit(&call)
			if a := w.Do(call); a.Kind != Invalid || a.Detail == "" {
				t.Errorf("%+v, want invalid, with a word on why", a)
			}
			if n := w.ArrivalLog.Len(); n != 0 {
				t.Errorf("%d attempts", n)
			}
			w.Want(c.class, Served) // and the next is none the worse
		})
	}
	add("invalid/a body beyond what is held", func(t *testing.T, w *World) {
		// The daemon passes it on as it comes; a plug-in says that it can't, and sends nothing.
		w.Start(nil, 0, 0)
		call := w.Usable("entry")
		call.Body = strings.Repeat("x", 64<<10+1)
		a, n := w.Do(call), w.ArrivalLog.Len()
		if !(a.Kind == Served && n == 1 || a.Kind == Invalid && a.Detail != "" && n == 0) {
			t.Errorf("%+v, %d attempts", a, n)
		}
		w.Want("entry", Served)
	})
	add("invalid/an id that is open", func(t *testing.T, w *World) {
		w.Start(nil, 0, 0)
		release := make(chan struct{})
		arrived := make(chan struct{}, 10)
		w.Script(func(a testbed.Arrival) testbed.Act {
			arrived <- struct{}{}
			<-release
			return testbed.Serve
		})
		first := w.Usable("entry")
		answered := make(chan Answer, 1)
		go func() { answered <- w.client.Call(context.Background(), first) }()
		testbed.Wait(t, "the first call", arrived)
		if a := w.client.Call(context.Background(), first); a.Kind != Invalid {
			t.Errorf("a second call of the id: %+v, want invalid", a)
		}
		close(release)
		if a := testbed.Wait(t, "the first answer", answered); a.Kind != Served {
			t.Errorf("the first call: %+v, want served", a)
		}
	})
}

// cells is about where and how long a keyed call that may have run may be sent again.
func cells(add func(string, func(*testing.T, *World))) {
	add("keyed/not to another cell", func(t *testing.T, w *World) {
		w.Start(nil, 0, 1, 2)
		w.Script(First(testbed.Fail))
		c, _ := w.Want("reading", Failed)
		if n := len(w.ArrivalLog.Of(c.ID)); n != 1 {
			t.Errorf("%d attempts, no other node is in the cell", n)
		}
	})
	add("keyed/to the same cell only", func(t *testing.T, w *World) {
		w.Start(nil, 0, 0, 1, 1)
		w.Script(First(testbed.Reset))
		c, _ := w.Want("reading", Served)
		arrivals := w.ArrivalLog.Of(c.ID)
		if len(arrivals) != 2 || arrivals[0].Cell != arrivals[1].Cell || arrivals[0].Node == arrivals[1].Node {
			t.Errorf("attempts %+v, want two nodes of one cell", arrivals)
		}
	})
	add("keyed/anywhere if it never ran", func(t *testing.T, w *World) {
		w.Start(nil, 0, 1)
		w.Script(First(testbed.Reject))
		w.Want("reading", Served)
	})
	add("keyed/not after the window", func(t *testing.T, w *World) {
		w.Start(nil, 0, 0, 0)
		w.Script(func(testbed.Arrival) testbed.Act {
			time.Sleep(window + 50*time.Millisecond)
			return testbed.Fail
		})
		c, _ := w.Want("reading", Failed)
		if n := len(w.ArrivalLog.Of(c.ID)); n != 1 {
			t.Errorf("%d attempts, repeats are no longer dropped", n)
		}
	})
	add("safe/to any cell", func(t *testing.T, w *World) {
		w.Start(nil, 0, 1, 2)
		w.Script(First(testbed.Fail))
		w.Want("look", Served)
	})
}

// narrow leaves each tenant few slots.
func narrow(settings map[string]any) {
	Brief(settings)
	settings["orgs"] = decode(`[{"name":"north","share":0.5,"quota_per_s":4.0},
		{"name":"south","share":0.5,"quota_per_s":4.0}]`)
}

// walls is about compartments.
func walls(add func(string, func(*testing.T, *World))) {
	add("compartment/full", func(t *testing.T, w *World) {
		w.Start(narrow, 0, 0, 0)
		w.Script(testbed.Always(testbed.Hang))
		var calls sync.WaitGroup
		answers := make(chan Answer, 60)
		for range 60 {
			calls.Go(func() {
				c := w.Usable("entry")
				c.Timeout = 1200 * time.Millisecond
				answers <- w.Do(c)
			})
		}
		calls.Wait()
		close(answers)
		quick := 0
		for a := range answers {
			if a.Kind == Refused && a.Took < 300*time.Millisecond {
				quick++
				if a.RetryAfter <= 0 {
					t.Errorf("a refusal with no word on when to return: %+v", a)
				}
			}
		}
		if quick < 30 {
			t.Errorf("%d of 60 were refused at once, want most: there are few slots and a short queue", quick)
		}
	})
	add("compartment/others", func(t *testing.T, w *World) {
		w.Start(narrow, 0, 0, 0, 0, 0, 0, 0, 0)
		w.Script(func(a testbed.Arrival) testbed.Act {
			if a.Body == "flood" {
				return testbed.Hang
			}
			return testbed.Serve
		})
		var calls sync.WaitGroup
		for range 40 {
			calls.Go(func() {
				c := w.Usable("entry")
				c.Body, c.Timeout = "flood", 1200*time.Millisecond
				w.Do(c)
			})
		}
		testbed.Until(t, "the flood", func() bool { return w.ArrivalLog.Len() > 0 })
		c := w.Usable("look")
		c.Tenant, c.Timeout = "south", 1200*time.Millisecond
		if a := w.Do(c); a.Kind != Served || a.Took > time.Second {
			t.Errorf("another tenant's call: %+v, want served, walled off from the flood", a)
		}
		calls.Wait()
	})
}

// drains is about rule 3.
func drains(add func(string, func(*testing.T, *World))) {
	for _, lifecycle := range []string{"draining", "gone"} {
		add("drain/"+lifecycle, func(t *testing.T, w *World) {
			w.Start(nil, 0, 0, 0)
			load := w.Load(4, "look", "reading", "entry")
			testbed.Until(t, "calls on all nodes", func() bool {
				seen := make(map[string]bool)
				for _, a := range w.ArrivalLog.All() {
					seen[a.Node] = true
				}
				return len(seen) == 3
			})
			w.Drain(w.Nodes[1], lifecycle, time.Second) // the rule allows 2 s
			before := w.ArrivalLog.Len()
			time.Sleep(1300 * time.Millisecond)
			load()
			if after := w.ArrivalLog.Len(); after-before < 20 {
				t.Errorf("only %d calls since the drain: nothing is shown", after-before)
			}
		})
	}
	add("drain/what it has is finished", func(t *testing.T, w *World) {
		w.Start(nil, 0, 0)
		w.Nodes[0].Do(testbed.Always(testbed.Reject)) // the call is on the other
		release, arrived := make(chan struct{}), make(chan struct{}, 1)
		w.Nodes[1].Do(func(testbed.Arrival) testbed.Act {
			arrived <- struct{}{}
			<-release
			return testbed.Serve
		})
		answered := make(chan Answer, 1)
		c := w.Usable("entry")
		go func() { answered <- w.Do(c) }()
		testbed.Wait(t, "the call", arrived)
		w.Drain(w.Nodes[1], "draining", time.Second)
		w.Nodes[0].Do(testbed.Always(testbed.Serve))
		w.Want("look", Served)
		close(release)
		if a := testbed.Wait(t, "its answer", answered); a.Kind != Served {
			t.Errorf("%+v, want served: a node that drains finishes what it has", a)
		}
	})
	add("drain/no retry goes there", func(t *testing.T, w *World) {
		w.Start(nil, 0, 0)
		arrived, release := make(chan struct{}, 4), make(chan struct{})
		w.Script(func(a testbed.Arrival) testbed.Act {
			arrived <- struct{}{}
			<-release
			return testbed.Fail
		})
		answered := make(chan Answer, 1)
		c := w.Usable("reading")
		go func() { answered <- w.Do(c) }()
		testbed.Wait(t, "the call", arrived)
		w.Drain(w.Nodes[0], "draining", time.Second)
		w.Drain(w.Nodes[1], "draining", time.Second)
		time.Sleep(1100 * time.Millisecond)
		close(release)
		if a := testbed.Wait(t, "its answer", answered); a.Kind != Failed {
			t.Errorf("%+v, want failed: both nodes drain", a)
		}
		if n := len(w.ArrivalLog.Of(c.ID)); n != 1 {
			t.Errorf("%d attempts, want 1", n)
		}
	})
	add("list/a new node takes part", func(t *testing.T, w *World) {
		w.Start(nil, 0)
		n := w.subject.Node(t, "s-new", w.ArrivalLog)
		w.Discovery.Set(n, "ready")
		testbed.Until(t, "a call on the new node", func() bool {
			c, _ := w.Want("look", Served)
			return w.ArrivalLog.Of(c.ID)[0].Node == "s-new"
		})
	})
	add("list/discovery is down", func(t *testing.T, w *World) {
		w.Start(nil, 0, 0)
		w.Want("look", Served)
		w.Discovery.Down(true)
		for class := range map[string]bool{"look": true, "reading": true, "entry": true} {
			w.Want(class, Served)
		}
	})
	add("list/a cold node is not pushed", func(t *testing.T, w *World) {
		w.Start(nil, 0, 0, 0, 0)
		load := w.Load(8, "look")
		testbed.Until(t, "some load", func() bool { return w.ArrivalLog.Len() > 200 })
		cold := w.Nodes[2]
		cold.Vanish()
		cold.Return(t)
		w.Discovery.Set(cold, "ready") // with a start time of now
		testbed.Until(t, "the news to be told", func() bool { return !w.Discovery.NotifiedAt(cold).IsZero() })
		time.Sleep(100 * time.Millisecond)
		from := time.Now()
		time.Sleep(time.Second)
		to := time.Now()
		load()
		count := make(map[string]int)
		for _, a := range w.ArrivalLog.All() {
			if a.At.After(from) && a.At.Before(to) {
				count[a.Node]++
			}
		}
		if n := count[cold.ID]; n > count["s-0"]*3/4 {
			t.Errorf("the cold node had %d calls in its first second, a warm one %d", n, count["s-0"])
		}
	})
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

// goneClients is about callers that give up.
func goneClients(add func(string, func(*testing.T, *World))) {
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
	add("caller gone/still waiting", func(t *testing.T, w *World) {
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
	})
}

// atOnce is about answers that must not be sat on.
func atOnce(add func(string, func(*testing.T, *World))) {
	add("at once/failed", func(t *testing.T, w *World) {
		w.Start(nil, 0, 0, 0)
		w.Script(testbed.Always(testbed.Reset))
		if _, a := w.Want("entry", Failed); a.Took > 2*time.Second {
			t.Errorf("told after %v; it was known at once", a.Took)
		}
	})
	add("at once/refused", func(t *testing.T, w *World) {
		w.Start(nil, 0, 0, 0)
		w.Script(testbed.Always(testbed.Reject))
		if _, a := w.Want("entry", Refused); a.Took > 2*time.Second {
			t.Errorf("told after %v; it was known at once", a.Took)
		}
	})
	add("at once/no node listens", func(t *testing.T, w *World) {
		w.Start(nil, 0, 0, 0)
		for _, n := range w.Nodes {
			n.Vanish()
		}
		if _, a := w.Want("entry", Refused); a.Took > 5*time.Second {
			t.Errorf("told after %v, it had 15s", a.Took)
		}
	})
	add("in time/no node is listed", func(t *testing.T, w *World) {
		w.Start(Brief)
		c := w.Usable("entry")
		c.Timeout = time.Second
		if a := w.Do(c); a.Kind != Refused {
			t.Errorf("%+v, want refused", a)
		}
	})
}

// whole is about many calls together, and the end.
func whole(add func(string, func(*testing.T, *World))) {
	add("among failing nodes", func(t *testing.T, w *World) {
		w.Start(nil, 0, 0, 1, 1)
		acts := []testbed.Act{testbed.Reject, testbed.Fail, testbed.Reset, testbed.Truncate, testbed.Garbage, testbed.Busy}
		var mu sync.Mutex
		n := 0
		w.Script(func(testbed.Arrival) testbed.Act {
			mu.Lock()
			defer mu.Unlock()
			n++
			if n%4 > 0 {
				return testbed.Serve
			}
			return acts[n/4%len(acts)]
		})
		var calls sync.WaitGroup
		for worker := range 8 {
			calls.Go(func() {
				for i := range 30 {
					w.Do(w.Usable([]string{"look", "reading", "entry"}[(worker+i)%3]))
					time.Sleep(5 * time.Millisecond)
				}
			})
		}
		calls.Wait()
		kinds := make(map[Kind]int)
		w.mu.Lock()
		for id, m := range w.calls {
			kinds[m.answer.Kind]++
			if m.answer.Kind == Served && m.answer.Body != "done "+id {
				t.Errorf("%s was served %q", id, m.answer.Body)
			}
		}
		w.mu.Unlock()
		if kinds[Served]+kinds[Refused]+kinds[Failed] != 240 || kinds[Served] < 60 {
			t.Errorf("answers %v, want 240 of the three kinds, a quarter served at least", kinds)
		}
	})
	add("closed while calls are held", func(t *testing.T, w *World) {
		w.Start(nil, 0, 0)
		arrived := make(chan struct{}, 9)
		release := make(chan struct{})
		w.Script(func(testbed.Arrival) testbed.Act {
			arrived <- struct{}{}
			<-release
			return testbed.Serve
		})
		answered := make(chan Answer, 3)
		for _, class := range []string{"look", "reading", "entry"} {
			c := w.Usable(class)
			go func() { answered <- w.Do(c) }()
			testbed.Wait(t, "an attempt", arrived)
		}
		closed := make(chan error, 1)
		go func() { closed <- w.Close() }()
		time.Sleep(100 * time.Millisecond)
		close(release)
		for range 3 {
			if a := testbed.Wait(t, "an answer", answered); a.Kind != Served {
				t.Errorf("%+v, want served: it was held when the end was asked for", a)
			}
		}
		if err := testbed.Wait(t, "the end", closed); err != nil {
			t.Errorf("ended with %v", err)
		}
	})
	add("many at once", func(t *testing.T, w *World) {
		w.Start(nil, 0, 0, 0, 0)
		var calls sync.WaitGroup
		for range 90 { // caps.max_open is 100
			calls.Go(func() {
				c := w.Usable("reading")
				if a := w.Do(c); a.Kind == Served && a.Body != fmt.Sprint("done ", c.ID) {
					t.Errorf("%s was served %q", c.ID, a.Body)
				}
			})
		}
		calls.Wait()
	})
}
