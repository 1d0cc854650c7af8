package main

import (
	"fmt"
	"sync"
	"time"

	"caperarch/internal/lab/testbed"
)

// table counts the outcomes of requests, and prints a line per second and a summary.
type table struct {
	nodes    []*testbed.Node
	arrivals *testbed.ArrivalLog
	started  time.Time

	mu              sync.Mutex // guards the fields below
	states          map[string]string
	answers         map[string]int // outcomes since the last line
	all             map[string]int // outcomes since the start
	printedArrivals int            // number of arrivals in the lines printed so far
}

// setState sets the state that the table shows for a node.
func (t *table) setState(node, state string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.states[node] = state
}

// countAnswer counts the outcome of a request: served, refused, failed or no answer.
func (t *table) countAnswer(kind string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.all == nil {
		t.all, t.answers = make(map[string]int), make(map[string]int)
	}
	t.all[kind]++
	t.answers[kind]++
}

// printHeader prints the names of the columns.
func (t *table) printHeader() {
	fmt.Printf("%4s %7s %8s %7s   attempts at\n", "s", "served", "refused", "failed")
}

// printLine prints the counts since the last line.
func (t *table) printLine() {
	arrivals := t.arrivals.All()
	t.mu.Lock()
	defer t.mu.Unlock()
	at := make(map[string]int)
	for _, a := range arrivals[t.printedArrivals:] {
		at[a.Node]++
	}
	t.printedArrivals = len(arrivals)
	fmt.Printf("%4.1f %7d %8d %7d  ",
		time.Since(t.started).Seconds(), t.answers["served"], t.answers["refused"], t.answers["failed"])
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

// printSummary prints the totals, and the number of non-idempotent requests that ran more than once.
func (t *table) printSummary() {
	attempts, ran, twice := make(map[string]int), make(map[string]bool), 0
	for _, a := range t.arrivals.All() {
		attempts[a.ID]++
		if a.Class == "entry" && a.Ran {
			if ran[a.ID] {
				twice++
			}
			ran[a.ID] = true
		}
	}
	retries := 0
	for _, n := range attempts {
		retries += n - 1
	}
	fmt.Printf("\nserved %d, refused %d, failed %d, no answer %d; %d further attempts; %d entries run twice\n",
		t.all["served"], t.all["refused"], t.all["failed"], t.all["no answer"], retries, twice)
}
