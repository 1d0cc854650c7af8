package call

import (
	"strconv"
	"strings"
	"time"
)

// MaxDuration is what ParseDuration returns for longer times.
const MaxDuration = time.Hour

// ParseDuration parses a number with the unit m (milliseconds) or u (microseconds), as in X-Timeout; false:
// the text is malformed.
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
