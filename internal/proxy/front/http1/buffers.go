package http1

import (
	"sync"

	"caperarch/internal/proxy/h1"
)

// scratchSize holds the head and body of nearly all requests. Longer heads get a buffer of their own.
const bufferSize = 4 << 10

// scratch is what a connection needs while a request is open; one at rest has none.
type buffers struct {
	in     []byte
	out    []byte
	head   h1.Head
	parser h1.Parser
}

// scratches are those that no connection has. There are never more in use than connections.
var buffersPool = sync.Pool{New: func() any {
	return &buffers{in: make([]byte, bufferSize), out: make([]byte, 0, bufferSize)}
}}

func takeBuffers() *buffers { return buffersPool.Get().(*buffers) }

func (s *buffers) release() {
	if len(s.in) > bufferSize {
		s.in = make([]byte, bufferSize) // one long head must not keep its memory for good
	}
	if cap(s.out) > 2*bufferSize {
		s.out = make([]byte, 0, bufferSize)
	}
	clear(s.head.Fields)
	s.head = h1.Head{Fields: s.head.Fields[:0]}
	s.parser.SetLimit(0)
	buffersPool.Put(s)
}
