package headers

import (
	"net/http"
	"strconv"
	"strings"

	"caperarch/policy"
)

// maxLoad is the largest number of requests that ParseLoad accepts. It prevents overflows of sums.
const maxLoad = 1 << 20

// FormatLoad encodes a load as the number of running requests, the number of waiting requests and the number of slots,
// separated by commas.
func FormatLoad(running, waiting, slots int) string {
	b := strconv.AppendInt(nil, int64(running), 10)
	b = append(b, ',')
	b = strconv.AppendInt(b, int64(waiting), 10)
	b = append(b, ',')
	return string(strconv.AppendInt(b, int64(slots), 10))
}

// ParseLoad decodes a load that FormatLoad or an upstream has encoded. Load.InFlight is the sum of the running and the
// waiting requests. For a load that is malformed or out of range, the result is the zero Load, without known fields.
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

// ParseSlots decodes the number of slots from a load: the number of requests that an upstream processes concurrently.
// It returns 0 if the load contains no valid number of slots.
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
	delete(fields, outcomeField) // an upstream's response may contain the field, but only gates may set it
	fields[gateLoadField] = []string{load}
}

// StripGateFields removes the gate's load and configuration version before the caller's sidecar forwards a response to
// the client.
func StripGateFields(fields http.Header) {
	delete(fields, gateLoadField)
	delete(fields, configField)
}
