package main

import (
	"fmt"
	"sync"
	"time"

	"caperarch/internal/lab/testbed"
)

// table prints a line a second and the summary.
type table struct {
	nodes  []*testbed.Node
	ledger *testbed.ArrivalLog
	begun  time.Time

	mu      sync.Mutex
	states  map[string]string
	answers map[string]int // since the last line
	all     map[string]int
	seen    int // arrivals in the lines so far
}

func (t *table) state(node, state string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.states[node] = state
}

func (t *table) answered(kind string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.all == nil {
		t.all, t.answers = make(map[string]int), make(map[string]int)
	}
	t.all[kind]++
	t.answers[kind]++
}

func (t *table) head() {
	fmt.Printf("%4s %7s %8s %7s   attempts at\n", "s", "served", "refused", "failed")
}

// line is what happened since the last one.
func (t *table) line() {
	arrivals := t.ledger.All()
	t.mu.Lock()
	defer t.mu.Unlock()
	at := make(map[string]int)
	for _, a := range arrivals[t.seen:] {
		at[a.Node]++
	}
	t.seen = len(arrivals)
	fmt.Printf("%4.1f %7d %8d %7d  ", time.Since(t.begun).Seconds(), t.answers["served"], t.answers["refused"], t.answers["failed"])
	for _, n := range t.nodes {
		state := t.states[n.ID]
		if state == "" {
			state = "ready"
		}
		fmt.Printf(" %s %-8s %4d ", n.ID, state, at[n.ID])
	}
	fmt.Println()
	clear(t.answers)
}

// summary is the whole run, the rules included.
func (t *table) summary() {
	tries, ran, twice := make(map[string]int), make(map[string]bool), 0
	for _, a := range t.ledger.All() {
		tries[a.ID]++
		if a.Class == "entry" && a.Ran {
			if ran[a.ID] {
				twice++
			}
			ran[a.ID] = true
		}
	}
	retries := 0
	for _, n := range tries {
		retries += n - 1
	}
	fmt.Printf("\nserved %d, refused %d, failed %d, no answer %d; %d further attempts; %d entries run twice\n",
		t.all["served"], t.all["refused"], t.all["failed"], t.all["no answer"], retries, twice)
}
