package main

import (
	"errors"
	"math"
	"testing"
)

// Guards against a wrong confidence interval of the failure rate: compares the interval for four cases with known
// values.
func TestBinomialInterval(t *testing.T) {
	for _, c := range []struct {
		failures, plays int
		low, high       float64
	}{
		{0, 60, 0, 0.0596}, {1, 60, 0.0004, 0.0894}, {5, 128, 0.0128, 0.0888}, {3, 3, 0.2924, 1},
	} {
		low, high := binomialInterval(c.failures, c.plays, stressConfidence)
		if math.Abs(low-c.low) > 1e-4 || math.Abs(high-c.high) > 1e-4 {
			t.Errorf("interval for %d failures of %d runs: got %.4f to %.4f, want %.4f to %.4f",
				c.failures, c.plays, low, high, c.low, c.high)
		}
	}
}

// Guards against a measurement that starts although its command line is invalid.
func TestStressRejectsUnusableArguments(t *testing.T) {
	flags, arguments := stressFlags, stressArguments
	t.Cleanup(func() { stressFlags, stressArguments = flags, arguments })
	for name, c := range map[string]struct {
		copies, plays, busy int
		arguments           []string
	}{
		"no package":         {1, 1, 0, nil},
		"three arguments":    {1, 1, 0, []string{"a", "b", "c"}},
		"no copy":            {0, 1, 0, []string{"."}},
		"no play":            {1, 0, 0, []string{"."}},
		"negative busy":      {1, 1, -1, []string{"."}},
		"too many processes": {stressMaxProcesses, 1, 1, []string{"."}},
		"unknown package":    {1, 1, 0, []string{"./none"}},
		"two packages":       {1, 1, 0, []string{"caperarch/internal/lab/..."}},
	} {
		stressFlags.copies, stressFlags.plays, stressFlags.busy, stressArguments = c.copies, c.plays, c.busy, c.arguments
		if _, _, err := measureStress(false); !errors.As(err, new(usageError)) {
			t.Errorf("%s: got error %v, want a usage error", name, err)
		}
	}
}
