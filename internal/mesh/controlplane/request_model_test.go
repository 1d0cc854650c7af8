package controlplane

import (
	"fmt"
	"strings"

	"github.com/anishathalye/porcupine"
)

// order is an operator's order as the model has it.
type order struct {
	version, base int64
	service       string // the one that it puts in place of all
	broken        bool   // it has a route to a service that there is not
}

// body is the order's body, in one of several spellings of the same content.
func (o order) body(spelling int) string {
	items := fmt.Sprintf(`{"resourceType":"services","metadata":{"name":"%s"},"specification":{}}`, o.service)
	if o.broken {
		items += `,{"resourceType":"routes","metadata":{"name":"r"},"specification":{"hostname":"h","pathPrefix":"/","routeType":"idempotent","timeoutS":1,"serviceName":"none"}}`
	}
	switch spelling {
	case 1:
		return fmt.Sprintf(" {\n\"resources\" : [%s], \"baseVersion\": %d, \"configVersion\": %d}", items, o.base, o.version)
	case 2:
		items = strings.ReplaceAll(items, "service", `s\u0065rvice`)
	}
	return fmt.Sprintf(`{"configVersion":%d,"baseVersion":%d,"resources":[%s]}`, o.version, o.base, items)
}

// answer is what an operator heard.
type answer int

const (
	unclear answer = iota
	confirmed
	refused
)

// call is an order that is sent, or one of the two below.
type call struct{ order int }

const (
	reading = -1
	theEnd  = -2 // after everything that has an answer
)

// reply is an order's answer, or the document that was read.
type reply struct {
	answer   answer
	document string
}

// modelState is what the system must look like from outside: the newest order that was taken and, as
// sets of orders, which were taken and which were refused.
type modelState struct {
	newest         int // -1: none
	taken, refused uint64
	// ended has orders without a clear answer that had no effect come last, in any order, which keeps
	// the search for an order of all small.
	ended bool
}

// ordersModel is what operators were promised: of the orders under one number, or on one base, one is
// taken at most; one that was taken is never refused, and one that was refused never taken.
func ordersModel(orders []order, start modelState) porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{start} },
		Step: func(state, input, output any) []any {
			s, in, out := state.(modelState), input.(call), output.(reply)
			if in.order == theEnd {
				s.ended = true
				return []any{s}
			}
			if in.order == reading {
				if out.document == s.document(orders) {
					return []any{s}
				}
				return nil
			}
			return s.step(orders, in.order, out.answer)
		},
		Equal: func(a, b any) bool { return a == b },
	}
	return model.ToModel()
}

func (s modelState) document(orders []order) string {
	if s.newest < 0 {
		return ""
	}
	return orders[s.newest].body(0)
}

func (s modelState) step(orders []order, i int, a answer) []any {
	o, bit, current := orders[i], uint64(1)<<i, int64(0)
	if s.newest >= 0 {
		current = orders[s.newest].version
	}
	taken, never := s, s
	taken.newest, taken.taken = i, s.taken|bit
	never.refused |= bit
	applicable := s.taken&bit == 0 && s.refused&bit == 0 && !o.broken && o.base == current && o.version > current
	switch a {
	case confirmed:
		if s.taken&bit != 0 {
			return []any{s}
		}
		if applicable {
			return []any{taken}
		}
	case refused:
		if s.taken&bit == 0 && !applicable {
			return []any{never}
		}
	case unclear:
		switch {
		case s.ended:
			return []any{s}
		case applicable:
			return []any{taken}
		case o.base > current && s.refused&bit == 0: // it may have been refused, and stays so
			return []any{never}
		}
	}
	return nil
}
