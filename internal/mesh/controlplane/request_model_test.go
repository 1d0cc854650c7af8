package controlplane

import (
	"fmt"
	"strings"

	"github.com/anishathalye/porcupine"
)

// testRequest is a change request as the model represents it. It replaces the whole configuration by one
// service.
type testRequest struct {
	version, base int64
	service       string // name of the only service in the new configuration
	invalid       bool   // contains a route to a service that doesn't exist
}

// body returns the request's body, in one of three JSON encodings of the same content.
func (r testRequest) body(encoding int) string {
	resources := fmt.Sprintf(`{"resourceType":"services","metadata":{"name":"%s"},"specification":{}}`, r.service)
	if r.invalid {
		resources += `,{"resourceType":"routes","metadata":{"name":"r"},"specification":{"hostname":"h",` +
			`"pathPrefix":"/","routeType":"idempotent","timeoutS":1,"serviceName":"none"}}`
	}
	switch encoding {
	case 1:
		return fmt.Sprintf(" {\n\"resources\" : [%s], \"baseVersion\": %d, \"configVersion\": %d}",
			resources, r.base, r.version)
	case 2:
		resources = strings.ReplaceAll(resources, "service", `s\u0065rvice`)
	}
	return fmt.Sprintf(`{"configVersion":%d,"baseVersion":%d,"resources":[%s]}`, r.version, r.base, resources)
}

// answer is the result of a request as its operator sees it.
type answer int

const (
	undetermined answer = iota
	acknowledged
	rejected
)

// operationInput is the input of an operation: the position of the request that is sent, or one of the
// two constants below.
type operationInput struct{ request int }

const (
	readOperation = -1
	endOfHistory  = -2 // follows all requests whose answer is known
)

// operationOutput is the output of an operation: the answer to a request, or the document that was read.
type operationOutput struct {
	answer   answer
	document string
}

// modelState is the state of the system as operators observe it: the request that was applied last, and
// the sets of applied and rejected requests, as bit sets of request positions.
type modelState struct {
	newest            int // position of the request applied last, -1 if there is none
	applied, rejected uint64
	// historyEnded is set by the endOfHistory operation. Requests with an undetermined answer that had
	// no effect are ordered after this operation, in any order, which keeps the linearizability search
	// small.
	historyEnded bool
}

// requestModel returns the guarantees to operators as a model. Of the requests with the same version, or
// with the same base, at most one is applied. An applied request is never rejected later, and a rejected
// request is never applied later.
func requestModel(requests []testRequest, start modelState) porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{start} },
		Step: func(state, input, output any) []any {
			s, in, out := state.(modelState), input.(operationInput), output.(operationOutput)
			if in.request == endOfHistory {
				s.historyEnded = true
				return []any{s}
			}
			if in.request == readOperation {
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

// step returns the states that may follow an answer to a request, or none if the answer contradicts the
// state.
func (s modelState) step(requests []testRequest, i int, a answer) []any {
	request, bit, current := requests[i], uint64(1)<<i, int64(0)
	if s.newest >= 0 {
		current = requests[s.newest].version
	}
	afterApplied, afterRejected := s, s
	afterApplied.newest, afterApplied.applied = i, s.applied|bit
	afterRejected.rejected |= bit
	applicable := s.applied&bit == 0 && s.rejected&bit == 0 && !request.invalid &&
		request.base == current && request.version > current
	switch a {
	case acknowledged:
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
	case undetermined:
		switch {
		case s.historyEnded:
			return []any{s}
		case applicable:
			return []any{afterApplied}
		case request.base > current && s.rejected&bit == 0: // the request may have been rejected permanently
			return []any{afterRejected}
		}
	}
	return nil
}
