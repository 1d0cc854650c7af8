package http1

import (
	"errors"
	"io"

	"caperarch/internal/proxy/call"
	"caperarch/internal/proxy/h1"
	"caperarch/internal/proxy/stream"
)

var (
	errUploadClaimed = errors.New("the rest of the body went to another attempt")
	errUploadSource  = errors.New("the body's rest did not come")
)

// writeUpload writes a request whose body is forwarded as it comes; begun is its head and what is here of the body.
// early says that the server responds before it has the complete body. An error says that the last byte did not go
// out: the request never ran.
func (c *conn) writeUpload(begun []byte, m *call.Message) (early bool, err error) {
	if m.Upload.Claimed() {
		return false, errUploadClaimed
	}
	if _, err := c.Write(begun); err != nil { // it can still be sent again
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
				if c.hasInput() { // the server closed behind a response
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
