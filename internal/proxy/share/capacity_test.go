package share

import (
	"math/rand/v2"
	"testing"
	"time"
)

func TestEachPoolIsGuaranteedItsShare(t *testing.T) {
	c := NewCapacity(100, []float64{3, 1})
	for i, want := range []int64{75, 25} {
		if guaranteed, _ := c.Usage(i); guaranteed != want {
			t.Errorf("pool %d is guaranteed %d, want %d", i, guaranteed, want)
		}
		if !c.Acquire(0, i, want) {
			t.Errorf("pool %d can't have its share", i)
		}
	}
	if c.Acquire(0, 0, 1) || c.Acquire(0, 1, 1) {
		t.Error("more than the capacity was given")
	}
}

// An unused share is lent, except for a tenth. Its owner has that tenth at once when it needs it, and nothing more
// is lent until it has what it asks for.
func TestUnusedSharesAreLentUntilTheOwnerNeedsThem(t *testing.T) {
	c := NewCapacity(100, []float64{1, 1})
	lent := int64(0)
	for c.Acquire(0, 0, 1) {
		lent++
	}
	if lent != 95 {
		t.Fatalf("pool 0 got %d of 100, want its 50 and all but a tenth of the other 50", lent)
	}
	mine := int64(0)
	for c.Acquire(0, 1, 1) {
		mine++
	}
	if mine != 5 {
		t.Errorf("the owner got %d at once, want 5", mine)
	}
	for range 20 { // what the other gives back is the owner's, whatever the other asks for
		c.Release(0, 1)
		if c.Acquire(time.Second, 0, 1) {
			t.Fatal("lent again while its owner asks")
		}
		if !c.Acquire(time.Second, 1, 1) {
			t.Fatal("the owner can't have what came back")
		}
	}
	c.Release(1, 25) // it is idle, except for one refusal
	c.Acquire(2*time.Second, 1, 60)
	if !c.Acquire(2*time.Second+reclaimTime, 0, 1) {
		t.Error("nothing is lent although its owner has long not asked")
	}
}

// In any order of calls no more than the capacity is in use, and a pool within its share is refused only where
// that is lent.
func TestCapacityIsNeverExceeded(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 0))
		weights := make([]float64, 1+rng.IntN(5))
		for i := range weights {
			weights[i] = 0.1 + rng.Float64()
		}
		size := 1 + rng.Int64N(1000)
		c := NewCapacity(size, weights)
		held := make([][]int64, len(weights))
		for step := range 2000 {
			pool := rng.IntN(len(weights))
			if rng.IntN(2) == 0 && len(held[pool]) > 0 {
				last := len(held[pool]) - 1
				c.Release(pool, held[pool][last])
				held[pool] = held[pool][:last]
				continue
			}
			n := rng.Int64N(size/4 + 2)
			guaranteed, used := c.Usage(pool)
			free := size
			for i := range weights {
				_, u := c.Usage(i)
				free -= u
			}
			took := c.Acquire(time.Duration(step)*time.Millisecond, pool, n)
			if took {
				held[pool] = append(held[pool], n)
			}
			if used+n <= guaranteed && took != (n <= free) {
				t.Fatalf("seed %d: within its share: %d of %d used, %d more, %d free: %v",
					seed, used, guaranteed, n, free, took)
			}
			if took && n > free {
				t.Fatalf("seed %d: took %d of %d free", seed, n, free)
			}
		}
	}
}
