package http1

import (
	"bufio"
	"errors"
	"io"

	"caperarch/internal/proxy/h1"
)

// errIncompleteChunk is why a Read that does not wait has nothing: only a part of a chunk's frame was here.
var errIncompleteChunk = errors.New("more has to come")

// chunkReader reads a body in chunks. Unlike net/http's reader it returns what is here, and never waits to fill a
// buffer: what it held back meanwhile would be held back from the client.
type chunkReader struct {
	reader   *bufio.Reader
	decoder  h1.ChunkDecoder
	blocking bool // Read waits where nothing of the body is here
}

// Read reads what is here of the body. It returns errIncompleteChunk if that is nothing and blocking is not set.
func (c *chunkReader) Read(p []byte) (int, error) {
	for {
		if c.decoder.Done() {
			return 0, io.EOF
		}
		if _, err := c.reader.Peek(1); err != nil { // waits only where nothing at all is here
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return 0, err
		}
		here, _ := c.reader.Peek(min(c.reader.Buffered(), len(p)))
		used, data, err := c.decoder.Next(here)
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
