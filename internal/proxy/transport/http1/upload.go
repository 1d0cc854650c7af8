package http1

import (
	"errors"
	"io"

	"caperarch/internal/proxy/call"
	"caperarch/internal/proxy/h1"
	"caperarch/internal/proxy/stream"
)

var (
	errUploadClaimed = errors.New("remaining upload body was claimed by another attempt")
	errUploadSource  = errors.New("reading the remaining upload body failed")
)

// writeUpload writes a request whose body is forwarded while it is received. requestStart is the request's head with
// the bytes of the body received so far. early is true if the server responds before the body is complete. An error
// proves that the last byte was not sent, so the server did not process the request.
func (c *conn) writeUpload(requestStart []byte, m *call.Message) (early bool, err error) {
	if m.Upload.Claimed() {
		return false, errUploadClaimed
	}
	if _, err := c.Write(requestStart); err != nil { // the request can still be retried
		return false, err
	}
	if !m.Upload.Claim() {
		return false, errUploadClaimed
	}
	chunked := m.Upload.Length < 0
	window := stream.AcquireWindow()
	defer stream.ReleaseWindow(window)
	for {
		n, sourceErr := m.Upload.Read(window[h1.ChunkPrefixBytes : stream.WindowSize-h1.ChunkSuffixBytes])
		if c.hasInput() {
			return true, nil
		}
		if n > 0 {
			data := window[h1.ChunkPrefixBytes : h1.ChunkPrefixBytes+n]
			if chunked {
				data = h1.FrameChunk(window[:], n)
			}
			if err := stream.Write(c, data); err != nil {
				if c.hasInput() { // the server closed the connection after a response
					return true, nil
				}
				return false, err
			}
		}
		if errors.Is(sourceErr, io.EOF) {
			break
		}
		if sourceErr != nil {
			return false, errors.Join(errUploadSource, sourceErr)
		}
	}
	if chunked {
		return false, stream.Write(c, []byte(h1.LastChunk))
	}
	return false, nil
}
