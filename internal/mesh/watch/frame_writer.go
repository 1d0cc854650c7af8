package watch

import (
	"encoding/json"
	"net/http"
	"time"

	"caperarch/internal/mesh/errs"
)

const (
	// writeTimeout bounds one write to a sidecar, so that a sidecar that no longer reads does not occupy a
	// watch indefinitely.
	writeTimeout = slowLinkTimeout
	// writeChunk is the number of bytes of a frame that are written under one deadline, so that a large frame
	// may take longer than writeTimeout as long as the write makes progress.
	writeChunk = 256 << 10
)

// frameWriter writes the frames of a watch to its HTTP response, with a write deadline for each chunk.
type frameWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
}

// write writes the parts in order. They may stay buffered until flush is called.
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

// flush sends all buffered bytes.
func (fw *frameWriter) flush() error {
	if err := fw.setDeadline(); err != nil {
		return err
	}
	return fw.control.Flush()
}

// writeFrame writes a frame as one line of JSON and sends all buffered bytes.
func (fw *frameWriter) writeFrame(f *frame) error {
	line, err := json.Marshal(f)
	if err != nil {
		return errs.Wrap(err, errs.Internal, "encode a watch frame")
	}
	if err := fw.write(line, []byte("\n")); err != nil {
		return err
	}
	return fw.flush()
}

func (fw *frameWriter) setDeadline() error {
	return fw.control.SetWriteDeadline(time.Now().Add(writeTimeout))
}
