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
			t.Errorf("pool %d is guaranteed %d units, want %d", i, guaranteed, want)
		}
		if !c.Acquire(0, i, want) {
			t.Errorf("pool %d is refused its own share", i)
		}
	}
	if c.Acquire(0, 0, 1) || c.Acquire(0, 1, 1) {
		t.Error("a pool acquired a unit although the capacity is used up")
	}
}

// An unused share is lent, except for a tenth. The owner can acquire that tenth at once, and nothing more is lent until
// the owner has acquired what it asks for.
func TestUnusedSharesAreLentUntilTheOwnerNeedsThem(t *testing.T) {
	c := NewCapacity(100, []float64{1, 1})
	lent := int64(0)
	for c.Acquire(0, 0, 1) {
		lent++
	}
	if lent != 95 {
		t.Fatalf("pool 0 acquired %d of 100 units, want 95: its 50 and all but a tenth of the other 50", lent)
	}
	acquired := int64(0)
	for c.Acquire(0, 1, 1) {
		acquired++
	}
	if acquired != 5 {
		t.Errorf("the owner acquired %d units at once, want 5", acquired)
	}
	for range 20 { // units that the borrower releases go to the owner, also if the borrower asks first
		c.Release(0, 1)
		if c.Acquire(time.Second, 0, 1) {
			t.Fatal("the borrower acquired a unit while the owner waits for its share")
		}
		if !c.Acquire(time.Second, 1, 1) {
			t.Fatal("the owner is refused a unit that the borrower has released")
		}
	}
	c.Release(1, 25) // the owner becomes idle, except for one refused call
	c.Acquire(2*time.Second, 1, 60)
	if !c.Acquire(2*time.Second+reclaimTime, 0, 1) {
		t.Error("nothing is lent although the owner has not asked for reclaimTime")
	}
}

// In any order of calls the units in use never exceed the capacity, and a pool is refused units of its own share only
// while other pools have borrowed them.
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
			granted := c.Acquire(time.Duration(step)*time.Millisecond, pool, n)
			if granted {
				held[pool] = append(held[pool], n)
			}
			if used+n <= guaranteed && granted != (n <= free) {
				t.Fatalf("seed %d: pool uses %d of its %d units: Acquire(%d) with %d units free is %v",
					seed, used, guaranteed, n, free, granted)
			}
			if granted && n > free {
				t.Fatalf("seed %d: acquired %d units with %d free", seed, n, free)
			}
		}
	}
}
