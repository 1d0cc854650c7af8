package http1

import (
	"sync"

	"caperarch/internal/proxy/h1"
)

// scratchSize holds the head and body of nearly all requests. Longer heads get a buffer of their own.
const scratchSize = 4 << 10

// scratch is what a connection needs while a request is open; one at rest has none.
type scratch struct {
	in     []byte
	out    []byte
	head   h1.Head
	parser h1.Parser
}

// scratches are those that no connection has. There are never more in use than connections.
var scratches = sync.Pool{New: func() any {
	return &scratch{in: make([]byte, scratchSize), out: make([]byte, 0, scratchSize)}
}}

func takeScratch() *scratch { return scratches.Get().(*scratch) }

func (s *scratch) free() {
	if len(s.in) > scratchSize {
		s.in = make([]byte, scratchSize) // one long head must not keep its memory for good
	}
	if cap(s.out) > 2*scratchSize {
		s.out = make([]byte, 0, scratchSize)
	}
	clear(s.head.Fields)
	s.head = h1.Head{Fields: s.head.Fields[:0]}
	s.parser.SetLimit(0)
	scratches.Put(s)
}
