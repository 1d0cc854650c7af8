package watch

import (
	"encoding/json"
	"net/http"
	"time"

	"caperarch/internal/mesh/errs"
)

const (
	// writeTimeout bounds a write to a sidecar, so that one that has gone holds nothing.
	writeTimeout = slowLinkTimeout
	// writeChunk is how many bytes of a frame get a write deadline of their own,
	// so that a large frame may take longer as long as it progresses.
	writeChunk = 256 << 10
)

// frameWriter writes a watch's stream, with a deadline for each chunk.
type frameWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
}

// write writes the parts one after the other. They may stay buffered until
// flush.
func (fw *frameWriter) write(parts ...[]byte) error {
	for _, part := range parts {
		for len(part) > 0 {
			n := min(len(part), writeChunk)
			if err := fw.setDeadline(); err != nil {
				return err
			}
			if _, err := fw.w.Write(part[:n]); err != nil {
				return err
			}
			part = part[n:]
		}
	}
	return nil
}

// flush sends what was written so far.
func (fw *frameWriter) flush() error {
	if err := fw.setDeadline(); err != nil {
		return err
	}
	return fw.control.Flush()
}

// writeFrame writes a frame and sends what was written so far.
func (fw *frameWriter) writeFrame(f *frame) error {
	line, err := json.Marshal(f)
	if err != nil {
		return errs.Wrap(err, errs.Internal, "encode a frame")
	}
	if err := fw.write(line, []byte("\n")); err != nil {
		return err
	}
	return fw.flush()
}

func (fw *frameWriter) setDeadline() error {
	return fw.control.SetWriteDeadline(time.Now().Add(writeTimeout))
}
