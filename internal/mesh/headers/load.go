package headers

import (
	"strconv"
	"strings"

	"caperarch/policy"
)

// FormatLoad is a gate's load as it travels.
func FormatLoad(running, waiting, slots int) string {
	b := strconv.AppendInt(nil, int64(running), 10)
	b = append(b, ',')
	b = strconv.AppendInt(b, int64(waiting), 10)
	b = append(b, ',')
	return string(strconv.AppendInt(b, int64(slots), 10))
}

// ParseLoad reads such a load: running and waiting together are in flight.
func ParseLoad(text string) policy.Load {
	parts := strings.SplitN(text, ",", 3)
	if len(parts) != 3 {
		return policy.Load{}
	}
	running, bad := strconv.Atoi(strings.TrimSpace(parts[0]))
	waiting, bad2 := strconv.Atoi(strings.TrimSpace(parts[1]))
	if bad != nil || bad2 != nil || running < 0 || waiting < 0 || max(running, waiting) > maxLoad {
		return policy.Load{}
	}
	return policy.Load{
		Has: policy.HasInFlight | policy.HasQueued, InFlight: float64(running + waiting), Queued: float64(waiting),
	}
}

// ParseSlots reads how many requests an upstream works on at once from its load; 0: it does not say.
func ParseSlots(text string) int {
	_, slots, _ := strings.Cut(text, ",")
	if _, last, ok := strings.Cut(slots, ","); ok {
		n, _ := strconv.Atoi(strings.TrimSpace(last))
		return max(0, n)
	}
	return 0
}
