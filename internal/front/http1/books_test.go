package http1

import (
	"testing"
	"time"
)

// A crowd of strangers never makes a client that asks go while it is below the bound on all, and holds no more places
// than its own bound and what came within restTime. Without the bound of its own it fills the books.
func TestStrangersMakeRoomFirst(t *testing.T) {
	b := books{most: 192, strangers: 32}
	var clients []*entry
	for range 40 {
		e := &entry{}
		b.add(0, e)
		b.asked(e)
		b.rest(0, e)
		clients = append(clients, e)
	}
	var worst int
	for i := range 10000 { // 500 a second
		now := time.Second + time.Duration(i)*2*time.Millisecond
		if _, _, ok := b.room(now); !ok {
			t.Fatalf("no room for stranger %d, %d open", i, b.open)
		}
		e := &entry{}
		b.add(now, e)
		if i%2 == 0 { // it asks for GET /up, and stays
			b.busy(e)
			b.rest(now, e)
		}
		worst = max(worst, b.open)
	}
	if most := 40 + 50 + 2; worst > most {
		t.Errorf("%d open at once, at most %d expected", worst, most)
	}
	for i, e := range clients {
		if e.gone {
			t.Errorf("client %d was closed for a stranger", i)
		}
	}
	if c := b.counters(); c.ClosedAsking != 0 || c.ClosedStrangers < 9000 {
		t.Errorf("counters %+v", c)
	}
}

// At the bound on all, strangers go before those that ask, and then the one longest at rest.
func TestLongestAtRestGoes(t *testing.T) {
	b := books{most: 3, strangers: 2}
	first, second, strange := &entry{asked: true}, &entry{asked: true}, &entry{}
	b.add(0, first)
	b.add(time.Second, second)
	b.add(2*time.Second, strange)
	if _, wait, ok := b.room(2 * time.Second); !ok || !first.gone || strange.gone {
		t.Errorf("a stranger of this moment has to be left alone: wait %v, ok %v, first gone %v", wait, ok, first.gone)
	}
	third := &entry{asked: true}
	b.add(2*time.Second, third)
	if _, _, ok := b.room(3 * time.Second); !ok || !strange.gone || second.gone {
		t.Error("a stranger at rest has to go first")
	}
	b.busy(second)
	b.busy(third)
	b.add(3*time.Second, &entry{asked: true})
	if leaves, wait, ok := b.room(3 * time.Second); ok || leaves != nil || wait != restTime {
		t.Errorf("those with an open request and one of this moment must stay: wait %v, ok %v", wait, ok)
	}
}
