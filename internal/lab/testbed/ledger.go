package testbed

import (
	"sync"
	"time"
)

// Arrival is a request that a node has read whole.
type Arrival struct {
	At      time.Time
	Node    string // instance id
	Cell    int
	ID      string
	Key     string
	Class   string
	Method  string // HTTP's or gRPC's full method name
	Body    string
	Timeout time.Duration // how long its answer is waited for, as it says; 0: it doesn't
	Ran     bool          // the node did the work, or might have
}

// ArrivalLog records what arrived, over all nodes.
type ArrivalLog struct {
	mu   sync.Mutex
	list []Arrival
}

// Add enters an arrival.
func (l *ArrivalLog) Add(a Arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, a)
}

// All returns everything so far, in the order of arrival.
func (l *ArrivalLog) All() []Arrival {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Arrival(nil), l.list...)
}

// Of returns the arrivals of one id.
func (l *ArrivalLog) Of(id string) (of []Arrival) {
	for _, a := range l.All() {
		if a.ID == id {
			of = append(of, a)
		}
	}
	return of
}

// Len is how many arrivals there were.
func (l *ArrivalLog) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.list)
}

// Runs counts the arrivals that ran or may have.
func Runs(arrivals []Arrival) (n int) {
	for _, a := range arrivals {
		if a.Ran {
			n++
		}
	}
	return n
}

// Effects returns how many effects the arrivals of one key had: a cell drops the repeats that come within
// window of the first, and what comes later or elsewhere has another effect.
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
