package watch

import (
	"net/http"
	"time"
)

// deadlined writes an answer with a deadline for each piece.
type deadlined struct {
	w       http.ResponseWriter
	control *http.ResponseController
}

func (d *deadlined) write(parts ...[]byte) error {
	for _, p := range parts {
		for len(p) > 0 {
			n := min(len(p), writePiece)
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

func (d *deadlined) flush() error {
	if err := d.control.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	return d.control.Flush()
}
