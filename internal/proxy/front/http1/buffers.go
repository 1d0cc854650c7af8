package http1

import (
	"sync"

	"caperarch/internal/proxy/h1"
)

// bufferSize is the size of an input buffer in bytes. Nearly all requests fit with head and body; a longer head gets
// a larger buffer.
const bufferSize = 4 << 10

// buffers is the memory that a connection needs while a request is open. An idle connection holds no buffers.
type buffers struct {
	in     []byte
	out    []byte
	head   h1.Head
	parser h1.Parser
}

// buffersPool holds the buffers that no connection uses. At most one set of buffers per connection is in use.
var buffersPool = sync.Pool{New: func() any {
	return &buffers{in: make([]byte, bufferSize), out: make([]byte, 0, bufferSize)}
}}

func acquireBuffers() *buffers { return buffersPool.Get().(*buffers) }

func (b *buffers) release() {
	if len(b.in) > bufferSize {
		b.in = make([]byte, bufferSize) // the pool keeps no memory of a single long head
	}
	if cap(b.out) > 2*bufferSize {
		b.out = make([]byte, 0, bufferSize)
	}
	clear(b.head.Fields)
	b.head = h1.Head{Fields: b.head.Fields[:0]}
	b.parser.SetLimit(0)
	buffersPool.Put(b)
}
