package share

import (
	"math/rand/v2"
	"testing"
	"time"
)

func TestEachIsSureOfItsPart(t *testing.T) {
	s := New(100, []float64{3, 1})
	for i, want := range []int64{75, 25} {
		if sure, _ := s.Usage(i); sure != want {
			t.Errorf("pool %d is sure of %d, want %d", i, sure, want)
		}
		if !s.Acquire(0, i, want) {
			t.Errorf("pool %d can't have its part", i)
		}
	}
	if s.Acquire(0, 0, 1) || s.Acquire(0, 1, 1) {
		t.Error("more than there is was given")
	}
}

// An idle part is lent, but for a tenth; an owner that wakes up has that at once, and nothing more is lent until
// it has what it asks for.
func TestLending(t *testing.T) {
	s := New(100, []float64{1, 1})
	lent := int64(0)
	for s.Acquire(0, 0, 1) {
		lent++
	}
	if lent != 95 {
		t.Fatalf("pool 0 got %d of 100, want its 50 and all but a tenth of the other 50", lent)
	}
	mine := int64(0)
	for s.Acquire(0, 1, 1) {
		mine++
	}
	if mine != 5 {
		t.Errorf("the owner got %d at once, want 5", mine)
	}
	for range 20 { // what the other gives back is the owner's, whatever the other asks for
		s.Release(0, 1)
		if s.Acquire(time.Second, 0, 1) {
			t.Fatal("lent again while its owner asks")
		}
		if !s.Acquire(time.Second, 1, 1) {
			t.Fatal("the owner can't have what came back")
		}
	}
	s.Release(1, 25) // it has gone quiet, but for an unmet wish
	s.Acquire(2*time.Second, 1, 60)
	if !s.Acquire(2*time.Second+reclaimTime, 0, 1) {
		t.Error("nothing is lent although its owner has long not asked")
	}
}

// Whatever happens: no more than there is, none below zero, and an owner within its part is refused only
// where that is lent away.
func TestAnyOrder(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 0))
		weights := make([]float64, 1+rng.IntN(5))
		for i := range weights {
			weights[i] = 0.1 + rng.Float64()
		}
		size := 1 + rng.Int64N(1000)
		s := New(size, weights)
		held := make([][]int64, len(weights))
		for step := range 2000 {
			pool := rng.IntN(len(weights))
			if rng.IntN(2) == 0 && len(held[pool]) > 0 {
				last := len(held[pool]) - 1
				s.Release(pool, held[pool][last])
				held[pool] = held[pool][:last]
				continue
			}
			n := rng.Int64N(size/4 + 2)
			sure, used := s.Usage(pool)
			free := size
			for i := range weights {
				_, u := s.Usage(i)
				free -= u
			}
			took := s.Acquire(time.Duration(step)*time.Millisecond, pool, n)
			if took {
				held[pool] = append(held[pool], n)
			}
			if used+n <= sure && took != (n <= free) {
				t.Fatalf("seed %d: within its part: %d of %d used, %d more, %d free: %v", seed, used, sure, n, free, took)
			}
			if took && n > free {
				t.Fatalf("seed %d: took %d of %d free", seed, n, free)
			}
		}
	}
}
