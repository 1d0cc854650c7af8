package testbed

import (
	"sync"
	"time"
)

// Arrival is a request that a node has read completely.
type Arrival struct {
	At      time.Time
	Node    string // instance ID
	Cell    int
	ID      string
	Key     string
	Class   string
	Method  string // HTTP method or full gRPC method name
	Body    string
	Timeout time.Duration // time-out that the request states; 0 if it states none
	Ran     bool          // the node executed the request, or may have
}

// ArrivalLog records the arrivals at all nodes.
type ArrivalLog struct {
	mu   sync.Mutex
	list []Arrival
}

// Add records an arrival.
func (l *ArrivalLog) Add(a Arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, a)
}

// All returns all arrivals so far, in order.
func (l *ArrivalLog) All() []Arrival {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Arrival(nil), l.list...)
}

// Of returns the arrivals of the request with an ID.
func (l *ArrivalLog) Of(id string) (of []Arrival) {
	for _, a := range l.All() {
		if a.ID == id {
			of = append(of, a)
		}
	}
	return of
}

// Len returns the number of arrivals.
func (l *ArrivalLog) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.list)
}

// Runs returns the number of arrivals that the nodes executed, or may have.
func Runs(arrivals []Arrival) (n int) {
	for _, a := range arrivals {
		if a.Ran {
			n++
		}
	}
	return n
}

// Effects returns the number of effects of the arrivals of one idempotency key. A cell drops repeats that arrive within
// the deduplication window of the first arrival. A later arrival, or one in another cell, has an effect of its own.
func Effects(arrivals []Arrival, window time.Duration) (n int) {
	first := make(map[int]time.Time) // by cell
	for _, a := range arrivals {
		if !a.Ran {
			continue
		}
		if at, seen := first[a.Cell]; seen && a.At.Sub(at) < window {
			continue
		}
		first[a.Cell] = a.At
		n++
	}
	return n
}
