package http1

import (
	"sync"

	"caperarch/internal/proxy/h1"
)

// bufferSize holds the head and body of nearly all requests. Longer heads get a larger buffer.
const bufferSize = 4 << 10

// buffers are what a connection needs while a request is open. An idle one has none.
type buffers struct {
	in     []byte
	out    []byte
	head   h1.Head
	parser h1.Parser
}

// buffersPool has those that no connection uses. There are never more in use than connections.
var buffersPool = sync.Pool{New: func() any {
	return &buffers{in: make([]byte, bufferSize), out: make([]byte, 0, bufferSize)}
}}

func takeBuffers() *buffers { return buffersPool.Get().(*buffers) }

func (b *buffers) release() {
	if len(b.in) > bufferSize {
		b.in = make([]byte, bufferSize) // one long head must not keep its memory for good
	}
	if cap(b.out) > 2*bufferSize {
		b.out = make([]byte, 0, bufferSize)
	}
	clear(b.head.Fields)
	b.head = h1.Head{Fields: b.head.Fields[:0]}
	b.parser.SetLimit(0)
	buffersPool.Put(b)
}
