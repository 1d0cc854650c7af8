// Package record records the events that an engine reports to its policy and the policy's actions, so that they can be
// replayed. A recording is a file of length-delimited protobuf messages (recordpb/record.proto) with a size limit.
// Requests never wait for the file.
//
// A Writer is safe for concurrent use and owns the goroutine that writes to its file until Close. A RecordedBalancer
// must be used only by its engine's goroutine, and a Reader only by one goroutine at a time.
package record

import (
	"errors"
	"fmt"
	"io"
	"sync"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"caperarch/internal/proxy/record/recordpb"
)

// maxPendingBytes is the limit on encoded records that are not yet written to the file. A slow file ends the recording
// and does not delay requests.
const maxPendingBytes = 1 << 20

// endRecordReserve is the number of bytes of each limit that are reserved for the last record, which contains the
// reason for the end of the recording.
const endRecordReserve = 256

var (
	errSizeLimit = errors.New("the bound on its size is reached")
	errSlowFile  = errors.New("the file takes it too slowly")
)

// Writer appends records to a file. A replay needs every record from the start to rebuild the policy's state. So if a
// record cannot be written, the recording ends permanently, with a last record that contains the reason.
type Writer struct {
	out      io.Writer
	maxBytes int64 // limit on the file's size

	mu      sync.Mutex // guards the fields below
	cond    *sync.Cond
	pending []byte        // encoded records that are not yet written
	size    int64         // bytes of all records so far
	ended   bool          // the recording has ended, so further records are dropped
	reason  error         // reason for the end of the recording; nil if Close ended it
	encoded []byte        // buffer of appendLocked
	flushed chan struct{} // closed when run has returned
}

// NewWriter returns a writer that writes at most maxBytes bytes to out. It starts a goroutine, which ends with Close.
func NewWriter(out io.Writer, maxBytes int64) *Writer {
	w := &Writer{out: out, maxBytes: maxBytes, flushed: make(chan struct{})}
	w.cond = sync.NewCond(&w.mu)
	go w.run()
	return w
}

// Append appends a record. It does not wait for the file.
func (w *Writer) Append(r *recordpb.Record) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	if err := w.appendLocked(r, endRecordReserve); err != nil {
		w.endLocked(r, err)
	}
}

// endLocked ends the recording and appends a last record with the reason. The caller holds w.mu.
func (w *Writer) endLocked(last *recordpb.Record, cause error) {
	w.ended, w.reason = true, cause
	_ = w.appendLocked(&recordpb.Record{
		At: last.At, Instance: last.Instance, What: &recordpb.Record_Ended{Ended: &recordpb.Ended{Reason: cause.Error()}},
	}, 0) // the record fits unless maxBytes is less than endRecordReserve
	w.cond.Signal()
}

// appendLocked appends a record if at least reserve bytes of each limit remain free. The caller holds w.mu.
func (w *Writer) appendLocked(r *recordpb.Record, reserve int64) error {
	var err error
	if w.encoded, err = (proto.MarshalOptions{}).MarshalAppend(w.encoded[:0], r); err != nil {
		return fmt.Errorf("marshal: %w", err) // a log line is not valid UTF-8
	}
	length := int64(protowire.SizeBytes(len(w.encoded)))
	switch {
	case w.size+length+reserve > w.maxBytes:
		return errSizeLimit
	case int64(len(w.pending))+length+reserve > maxPendingBytes:
		return errSlowFile
	}
	w.pending = protowire.AppendBytes(w.pending, w.encoded)
	w.size += length
	w.cond.Signal()
	return nil
}

// run writes pending records to the file until the recording has ended.
func (w *Writer) run() {
	defer close(w.flushed)
	var batch []byte
	for {
		w.mu.Lock()
		for len(w.pending) == 0 && !w.ended {
			w.cond.Wait()
		}
		batch, w.pending = w.pending, batch[:0]
		w.mu.Unlock()
		if len(batch) == 0 {
			return // the recording has ended and all records are written
		}
		if _, err := w.out.Write(batch); err != nil {
			w.mu.Lock()
			w.ended, w.reason, w.pending = true, fmt.Errorf("write: %w", err), nil
			w.mu.Unlock()
			return
		}
	}
}

// Close ends the recording and waits until all accepted records are written. If the recording had ended before, Close
// returns the reason.
func (w *Writer) Close() error {
	w.mu.Lock()
	w.ended = true
	w.cond.Signal()
	w.mu.Unlock()
	<-w.flushed
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.reason
}
