package controlplane

import (
	"fmt"
	"strings"

	"github.com/anishathalye/porcupine"
)

// testRequest is a change request as the model has it.
type testRequest struct {
	version, base int64
	service       string // that it puts in place of all
	broken        bool   // it has a route to a service that doesn't exist
}

// body is the request's body, in one of three spellings of the same content.
func (r testRequest) body(spelling int) string {
	resources := fmt.Sprintf(`{"resourceType":"services","metadata":{"name":"%s"},"specification":{}}`, r.service)
	if r.broken {
		resources += `,{"resourceType":"routes","metadata":{"name":"r"},"specification":{"hostname":"h",` +
			`"pathPrefix":"/","routeType":"idempotent","timeoutS":1,"serviceName":"none"}}`
	}
	switch spelling {
	case 1:
		return fmt.Sprintf(" {\n\"resources\" : [%s], \"baseVersion\": %d, \"configVersion\": %d}",
			resources, r.base, r.version)
	case 2:
		resources = strings.ReplaceAll(resources, "service", `s\u0065rvice`)
	}
	return fmt.Sprintf(`{"configVersion":%d,"baseVersion":%d,"resources":[%s]}`, r.version, r.base, resources)
}

// answer is what an operator got.
type answer int

const (
	unclear answer = iota
	confirmed
	rejected
)

// call is a request that is sent, by its position, or one of the two below.
type call struct{ request int }

const (
	reading      = -1
	endOfHistory = -2 // after everything that has an answer
)

// reply is a request's answer, or the document that was read.
type reply struct {
	answer   answer
	document string
}

// modelState is what the system must look like from outside: the newest request that was applied and,
// as sets of positions, which were applied and which were rejected.
type modelState struct {
	newest            int // -1: none
	applied, rejected uint64
	// ended has requests without a clear answer that had no effect come last, in any order, which
	// keeps the search for an order of all small.
	ended bool
}

// requestModel is what operators were promised: of the requests under one version, or on one base, one
// is applied at most; one that was applied is never rejected, and one that was rejected never applied.
func requestModel(requests []testRequest, start modelState) porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{start} },
		Step: func(state, input, output any) []any {
			s, in, out := state.(modelState), input.(call), output.(reply)
			if in.request == endOfHistory {
				s.ended = true
				return []any{s}
			}
			if in.request == reading {
				if out.document == s.document(requests) {
					return []any{s}
				}
				return nil
			}
			return s.step(requests, in.request, out.answer)
		},
		Equal: func(a, b any) bool { return a == b },
	}
	return model.ToModel()
}

func (s modelState) document(requests []testRequest) string {
	if s.newest < 0 {
		return ""
	}
	return requests[s.newest].body(0)
}

// step returns the states that an answer to a request may lead to, none if it contradicts the state.
func (s modelState) step(requests []testRequest, i int, a answer) []any {
	request, bit, current := requests[i], uint64(1)<<i, int64(0)
	if s.newest >= 0 {
		current = requests[s.newest].version
	}
	afterApplied, afterRejected := s, s
	afterApplied.newest, afterApplied.applied = i, s.applied|bit
	afterRejected.rejected |= bit
	applicable := s.applied&bit == 0 && s.rejected&bit == 0 && !request.broken &&
		request.base == current && request.version > current
	switch a {
	case confirmed:
		if s.applied&bit != 0 {
			return []any{s}
		}
		if applicable {
			return []any{afterApplied}
		}
	case rejected:
		if s.applied&bit == 0 && !applicable {
			return []any{afterRejected}
		}
	case unclear:
		switch {
		case s.ended:
			return []any{s}
		case applicable:
			return []any{afterApplied}
		case request.base > current && s.rejected&bit == 0: // it may have been rejected, and stays so
			return []any{afterRejected}
		}
	}
	return nil
}
