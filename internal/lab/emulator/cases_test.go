package emulator

import "testing"

// No run of a scenario may violate a rule, and the earned value during the fault and the recovery time must stay within
// bounds. Where a comment gives a figure, the previous decision module missed the bound.
func TestHardCases(t *testing.T) {
	bounds := map[string]struct{ earned, recovery float64 }{
		"a third silent 20 s":           {0.85, 1},
		"all 5 times slower 3 s":        {0.2, 2}, // previous module: 7.6 s
		"one tenant x 10 for 10 s":      {0.6, 1},
		"two turn half away, look idle": {0.99, 1},
		"three of six throttle":         {0.84, 1}, // previous module: 0.83
		"all break 1 of 50":             {0.99, 1},
		"all ids new every 2 s":         {0.98, 1},
		"list halves for 10 s":          {0.98, 1},
		"twice the capacity for 10 s":   {0.4, 1},
	}
	for _, c := range Cases {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(3) {
				o, err := c.Run(seed+1, nil)
				if err != nil {
					t.Fatalf("seed %d: %v", seed+1, err)
				}
				if b := bounds[c.Name]; o.Earned < b.earned || o.Recovery > b.recovery || o.After < 0.98 {
					t.Errorf("seed %d: earned %.3f during the fault, %.3f after it, recovered after %.1f s; "+
						"want at least %.2f and 0.98, at most %.1f s",
						seed+1, o.Earned, o.After, o.Recovery, b.earned, b.recovery)
				}
			}
		})
	}
}
