package http1

import (
	"bufio"
	"errors"
	"io"

	"caperarch/internal/proxy/h1"
)

// errIncompleteChunk is returned by a non-blocking Read if only a part of a chunk's framing was received.
var errIncompleteChunk = errors.New("incomplete chunk: waiting for more bytes")

// chunkReader reads a body in chunked encoding. Unlike the reader of net/http it returns the bytes that have been
// received and never waits to fill a buffer, because that would delay the bytes for the client.
type chunkReader struct {
	reader   *bufio.Reader
	decoder  h1.ChunkDecoder
	blocking bool // Read waits if no byte of the body has been received
}

// Read reads the received bytes of the body. It returns errIncompleteChunk if there are none and blocking is not set.
func (c *chunkReader) Read(p []byte) (int, error) {
	for {
		if c.decoder.Done() {
			return 0, io.EOF
		}
		if _, err := c.reader.Peek(1); err != nil { // waits only if no byte has been received
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return 0, err
		}
		received, _ := c.reader.Peek(min(c.reader.Buffered(), len(p)))
		used, data, err := c.decoder.Next(received)
		n := copy(p, data)
		_, _ = c.reader.Discard(used)
		switch {
		case err != nil:
			return n, err
		case n > 0:
			return n, nil
		case !c.blocking && c.reader.Buffered() == 0 && !c.decoder.Done():
			return 0, errIncompleteChunk
		}
	}
}
