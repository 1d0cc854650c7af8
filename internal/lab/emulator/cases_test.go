package emulator

import "testing"

// The hard cases, from several seeds: no rule is broken, and what on-call would see stays within
// bounds that the module before this one did not keep, where it has a figure: of worth in time
// while it lasts, and of seconds until nothing is turned away any more.
func TestHardCases(t *testing.T) {
	bounds := map[string]struct{ earned, recovery float64 }{
		"a third silent 20 s":           {0.85, 1},
		"all 5 times slower 3 s":        {0.2, 2}, // 7.6 s before
		"one tenant x 10 for 10 s":      {0.6, 1},
		"two turn half away, look idle": {0.99, 1},
		"three of six throttle":         {0.84, 1}, // 0.83 before
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
					t.Errorf("seed %d: earned %.3f, then %.3f, %.1f s until nothing is turned away; "+
						"want %.2f, 0.98, %.1f s",
						seed+1, o.Earned, o.After, o.Recovery, b.earned, b.recovery)
				}
			}
		})
	}
}
