package maintenance

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// Bounds are how many machines may be out at once. Those left out don't bind.
type Bounds struct {
	Fleet *Bound `toml:"fleet"`
	Zone  *Bound `toml:"zone"` // in each
	Cell  *Bound `toml:"cell"`
}

// Bound is a number of machines, or a share of them in percent, rounded down.
type Bound struct {
	Count   int
	Percent float64
}

// UnmarshalText parses "2" or "10%".
func (b *Bound) UnmarshalText(text []byte) error {
	s := string(text)
	if share, is := strings.CutSuffix(s, "%"); is {
		p, err := strconv.ParseFloat(share, 64)
		if err != nil || !(p > 0 && p <= 100) {
			return fmt.Errorf("%q is no share: above 0%% and at most 100%%", s)
		}
		*b = Bound{Percent: p}
		return nil
	}
	n, err := strconv.Atoi(s)
	if err != nil || n < 1 || n > maxMachines {
		return fmt.Errorf("%q is no bound: a number from 1 to %d, or a share such as \"10%%\"", s, maxMachines)
	}
	*b = Bound{Count: n}
	return nil
}

// limit returns the bound for n machines; a nil Bound does not bind.
func (b *Bound) limit(n int) int {
	switch {
	case b == nil:
		return math.MaxInt
	case b.Count > 0:
		return b.Count
	}
	return int(b.Percent / 100 * float64(n))
}

// Duration is a duration as operators write it, such as "30m".
type Duration time.Duration

// UnmarshalText parses a duration.
func (d *Duration) UnmarshalText(text []byte) error {
	t, err := time.ParseDuration(string(text))
	*d = Duration(t)
	return err
}
