package watch

import (
	"encoding/json"
	"net/http"
	"time"

	"caperarch/internal/mesh/errs"
)

// deadlined writes an answer with a deadline for each piece.
type frameWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
}

func (d *frameWriter) write(parts ...[]byte) error {
	for _, p := range parts {
		for len(p) > 0 {
			n := min(len(p), writeChunk)
			if err := d.control.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
				return err
			}
			if _, err := d.w.Write(p[:n]); err != nil {
				return err
			}
			p = p[n:]
		}
	}
	return nil
}

func (d *frameWriter) flush() error {
	if err := d.control.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	return d.control.Flush()
}

// frame writes a frame and sends what was written so far.
func (d *frameWriter) frame(f *frame) error {
	line, err := json.Marshal(f)
	if err != nil {
		return errs.Wrap(err, errs.Internal, "encode a frame")
	}
	if err := d.write(line, []byte("\n")); err != nil {
		return err
	}
	return d.flush()
}
