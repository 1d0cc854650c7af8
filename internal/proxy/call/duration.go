package call

import (
	"strconv"
	"strings"
	"time"
)

// MaxDuration is the longest duration that ParseDuration returns. It replaces longer durations.
const MaxDuration = time.Hour

// ParseDuration parses a duration as in X-Timeout: a decimal number with the unit m (milliseconds) or u
// (microseconds). It returns false if the text is malformed.
func ParseDuration(text string) (time.Duration, bool) {
	unit := time.Millisecond
	number, ok := strings.CutSuffix(text, "m")
	if !ok {
		unit = time.Microsecond
		number, ok = strings.CutSuffix(text, "u")
	}
	if !ok || strings.Trim(number, "0123456789.") != "" {
		return 0, false
	}
	n, err := strconv.ParseFloat(number, 64)
	if err != nil {
		return 0, false
	}
	return time.Duration(min(n*float64(unit), float64(MaxDuration))), true
}
