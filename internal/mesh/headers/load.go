package headers

import (
	"net/http"
	"strconv"
	"strings"

	"caperarch/policy"
)

// maxLoad is the largest number of requests in a load that is read. It guards against sums that
// overflow.
const maxLoad = 1 << 20

// FormatLoad returns a gate's load as it travels: numbers of requests and slots.
func FormatLoad(running, waiting, slots int) string {
	b := strconv.AppendInt(nil, int64(running), 10)
	b = append(b, ',')
	b = strconv.AppendInt(b, int64(waiting), 10)
	b = append(b, ',')
	return string(strconv.AppendInt(b, int64(slots), 10))
}

// ParseLoad reads a load as FormatLoad or an upstream writes it: running and waiting together are in
// flight. A load that is malformed or out of bounds is the zero Load, which has neither.
func ParseLoad(text string) policy.Load {
	parts := strings.SplitN(text, ",", 3)
	if len(parts) != 3 {
		return policy.Load{}
	}
	running, errRunning := strconv.Atoi(strings.TrimSpace(parts[0]))
	waiting, errWaiting := strconv.Atoi(strings.TrimSpace(parts[1]))
	if errRunning != nil || errWaiting != nil || running < 0 || waiting < 0 || max(running, waiting) > maxLoad {
		return policy.Load{}
	}
	return policy.Load{
		Has: policy.HasInFlight | policy.HasQueued, InFlight: float64(running + waiting), Queued: float64(waiting),
	}
}

// ParseSlots reads from a load how many requests an upstream works on at once. It returns 0 if the load
// doesn't say.
func ParseSlots(text string) int {
	_, slots, _ := strings.Cut(text, ",")
	if _, last, ok := strings.Cut(slots, ","); ok {
		n, _ := strconv.Atoi(strings.TrimSpace(last))
		return max(0, n)
	}
	return 0
}

// SetGateLoad sets the gate's load in an upstream's response, for the caller's sidecar.
func SetGateLoad(fields http.Header, load string) {
	delete(fields, outcomeField) // only a gate may say
	fields[gateLoadField] = []string{load}
}

// StripGateFields removes the gate's load and what it says of configurations before a response leaves the caller's
// sidecar.
func StripGateFields(fields http.Header) {
	delete(fields, gateLoadField)
	delete(fields, configField)
}
