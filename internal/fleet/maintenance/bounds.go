package maintenance

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// Bounds limits how many machines may be out of service at the same time. A nil Bound imposes no limit.
type Bounds struct {
	Fleet *Bound `toml:"fleet"`
	Zone  *Bound `toml:"zone"` // applied to each zone separately
	Cell  *Bound `toml:"cell"` // applied to each cell separately
}

// Bound is either a number of machines (Count > 0) or a percentage of the machines in its scope, rounded down.
type Bound struct {
	Count   int
	Percent float64
}

// UnmarshalText parses "2" or "10%".
func (b *Bound) UnmarshalText(text []byte) error {
	value := string(text)
	if number, isPercentage := strings.CutSuffix(value, "%"); isPercentage {
		percent, err := strconv.ParseFloat(number, 64)
		if err != nil || !(percent > 0 && percent <= 100) {
			return fmt.Errorf("%q is no share: above 0%% and at most 100%%", value)
		}
		*b = Bound{Percent: percent}
		return nil
	}
	count, err := strconv.Atoi(value)
	if err != nil || count < 1 || count > maxMachines {
		return fmt.Errorf("%q is no bound: a number from 1 to %d, or a share such as \"10%%\"", value, maxMachines)
	}
	*b = Bound{Count: count}
	return nil
}

// limit returns how many of total machines may be out; a nil Bound allows any number.
func (b *Bound) limit(total int) int {
	switch {
	case b == nil:
		return math.MaxInt
	case b.Count > 0:
		return b.Count
	}
	return int(b.Percent / 100 * float64(total))
}

// Duration is a time.Duration that is written in plans as text, such as "30m".
type Duration time.Duration

// UnmarshalText parses text in the format of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return err
}
