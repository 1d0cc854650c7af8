// Package headers is what a request carries on its way through the mesh: the fields that clients, sidecars and upstreams read and write, and what an answer's head proves. It decides
// nothing.
//
// Between two sidecars there are three kinds of answer: it ran, with the upstream's own bytes; it did not run and never will (Verdict: turned); and unknown, which is everything else.
// Only the second lets a request that must not run twice be sent again.
package headers

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"caperarch/internal/call"
	"caperarch/internal/h1"
	"caperarch/policy"
)

// Fields of requests and answers, in canonical form.
const (
	AttemptID   = "X-Caperarch-Attempt-Id"
	Timeout     = "X-Caperarch-Timeout-Remaining" // milliseconds
	Signature   = "X-Caperarch-Server-Signature"
	Tenant      = "X-Caperarch-Tenant-Id"
	Target      = "X-Caperarch-Target-Instance"
	Caller      = "X-Caperarch-Caller-Service"
	NotExecuted = "X-Caperarch-Not-Executed"
	Load        = "X-Caperarch-Instance-Load"
	Instance    = "X-Caperarch-Instance-Id"
	Key         = "X-Api-Key"

	// Between sidecars only: neither clients nor upstreams see them.
	visit    = "X-Mesh-Visit"   // rank, milliseconds of the aim, whether it may run more than once
	gateLoad = "X-Mesh-Load"    // running, waiting, slots at the gate
	verdict  = "X-Mesh-Verdict" // of an answer that is no upstream's
)

// The verdicts.
const (
	turned  = "turned"  // it has not run, and never will
	unknown = "unknown" // nobody can say
)

// mostLoad guards against sums that overflow: no upstream holds so many.
const mostLoad = 1 << 20

// longest is what longer time-outs count as.
const longest = 10 * time.Minute

// Milliseconds reads a time-out; what can't be read is none.
func Milliseconds(text string) (time.Duration, bool) {
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil || !(ms > 0) {
		return 0, false
	}
	left := time.Duration(min(ms, float64(longest/time.Millisecond)) * float64(time.Millisecond))
	return left, left > 0
}

// NoneLeft says whether a time-out is sound and over: its request's client waits no more.
func NoneLeft(text string) bool {
	ms, err := strconv.ParseFloat(text, 64)
	return err == nil && ms == 0
}

// Twice is the name of a field that steers a request and is given twice, or "": two readers may heed different ones.
func Twice(h *h1.Head, names ...string) string {
	for _, name := range names {
		seen := false
		for i := range h.Fields {
			if h.Fields[i].Name == name {
				if seen {
					return name
				}
				seen = true
			}
		}
	}
	return ""
}

// Strip takes off what only sidecars may say.
func Strip(fields http.Header) {
	for _, name := range []string{visit, gateLoad, verdict, Target, Tenant, Caller, Key} {
		delete(fields, name)
	}
}

// Visit is what a caller's sidecar tells the gate beside an upstream.
type Visit struct {
	Rank int // 0 goes first
	Aim  time.Duration
	Safe bool
}

// Put writes it.
func (v Visit) Put(fields http.Header) {
	safe := byte('0')
	if v.Safe {
		safe = '1'
	}
	b := strconv.AppendInt(nil, int64(v.Rank), 10)
	b = append(b, ',')
	b = strconv.AppendInt(b, v.Aim.Milliseconds(), 10)
	fields[visit] = []string{string(append(b, ',', safe))}
}

// ReadVisit reads it; false: it is missing or malformed, and its sender no sidecar.
func ReadVisit(h *h1.Head) (Visit, bool) {
	parts := strings.SplitN(h.Get(visit), ",", 3)
	if len(parts) != 3 {
		return Visit{}, false
	}
	rank, bad := strconv.Atoi(parts[0])
	aim, bad2 := strconv.ParseInt(parts[1], 10, 64)
	if bad != nil || bad2 != nil || aim < 0 || rank < 0 {
		return Visit{}, false
	}
	return Visit{Rank: rank, Aim: time.Duration(min(aim, longest.Milliseconds())) * time.Millisecond, Safe: parts[2] == "1"}, true
}

// Stripped takes off what is the gate's alone, before a request goes to the upstream.
func Stripped(fields http.Header) { delete(fields, visit) }

// Own are the fields of a gate's own answer: a is nil for one that was never taken on.
func Own(id string, a *call.Answer, load string) http.Header {
	said := turned
	if a != nil && a.Kind != call.Refused {
		said = unknown
	}
	fields := http.Header{AttemptID: {id}, verdict: {said}, gateLoad: {load}}
	if said == turned {
		fields[NotExecuted] = []string{"1"}
	}
	return fields
}

// LoadText is a gate's load as it travels.
func LoadText(running, waiting, slots int) string {
	b := strconv.AppendInt(nil, int64(running), 10)
	b = append(b, ',')
	b = strconv.AppendInt(b, int64(waiting), 10)
	b = append(b, ',')
	return string(strconv.AppendInt(b, int64(slots), 10))
}

// ReadLoad reads such a load: running and waiting together are in flight.
func ReadLoad(text string) policy.Load {
	parts := strings.SplitN(text, ",", 3)
	if len(parts) != 3 {
		return policy.Load{}
	}
	running, bad := strconv.Atoi(strings.TrimSpace(parts[0]))
	waiting, bad2 := strconv.Atoi(strings.TrimSpace(parts[1]))
	if bad != nil || bad2 != nil || running < 0 || waiting < 0 || max(running, waiting) > mostLoad {
		return policy.Load{}
	}
	return policy.Load{Has: policy.HasInFlight | policy.HasQueued, InFlight: float64(running + waiting), Queued: float64(waiting)}
}

// Slots reads how many requests an upstream works on at once from its load; 0: it does not say.
func Slots(text string) int {
	_, slots, _ := strings.Cut(text, ",")
	if _, last, ok := strings.Cut(slots, ","); ok {
		n, _ := strconv.Atoi(strings.TrimSpace(last))
		return max(0, n)
	}
	return 0
}

// Mine says whether an answer belongs to a request: upstreams and gates bring its id back.
func Mine(m *call.Message, res *http.Response) bool {
	ids := res.Header[AttemptID]
	return len(ids) == 1 && len(m.Header[AttemptID]) == 1 && ids[0] == m.Header[AttemptID][0]
}

// JudgeUpstream says what the head of an upstream's answer proves. A success without a stamp, or in an encoding that nobody asked for, is none.
func JudgeUpstream(res *http.Response) (policy.Ending, policy.Load) {
	load := ReadLoad(res.Header.Get(Load))
	switch {
	case res.Header[NotExecuted] != nil, res.StatusCode == http.StatusMisdirectedRequest:
		return policy.TurnedAway, load
	case res.StatusCode/100 == 2 && (res.Header[Signature] == nil || res.Header["Content-Encoding"] != nil):
		return policy.Broken, load
	case res.StatusCode == http.StatusServiceUnavailable, res.StatusCode == http.StatusTooManyRequests, res.StatusCode == http.StatusRequestTimeout:
		return policy.Broken, load // our client would take it for a promise that nobody gave
	case res.StatusCode/100 == 5:
		return policy.Errored, load
	}
	return policy.Served, load
}

// JudgeGate says what the head of an answer from a gate proves, and takes off what is between sidecars.
func JudgeGate(res *http.Response) (policy.Ending, policy.Load) {
	load := ReadLoad(res.Header.Get(gateLoad))
	said := res.Header.Get(verdict)
	switch said {
	case turned:
		return policy.Gated, load
	case "":
	default:
		return policy.Broken, load
	}
	ending, _ := JudgeUpstream(res)
	return ending, load
}

// Bare takes off an answer's fields what is between sidecars.
func Bare(fields http.Header) { delete(fields, gateLoad) }

// Stamp has an upstream's answer tell the gate's load to the caller's sidecar.
func Stamp(fields http.Header, load string) {
	delete(fields, verdict) // only a gate may say
	fields[gateLoad] = []string{load}
}
