// Package record writes down the events that an engine reports to its policy and the policy's actions, so that they
// can be replayed: length-delimited protobuf (recordpb/record.proto) of bounded size. No request ever waits for it.
//
// A Writer owns the goroutine that writes to its file until Close, and is safe for concurrent use. A RecordedBalancer
// is used by its engine's goroutine alone, as the balancer behind it; a Reader by one goroutine.
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

// maxPendingBytes bounds what is not yet written to the file: a slow file ends the recording, it does not delay
// requests.
const maxPendingBytes = 1 << 20

// endRecordReserve is what is kept free of each limit, in bytes, for the last record, which says why the recording
// ended.
const endRecordReserve = 256

var (
	errSizeLimit = errors.New("the bound on its size is reached")
	errSlowFile  = errors.New("the file takes it too slowly")
)

// Writer appends records to a file. A recording has to be complete from its beginning, as the policy's state comes from
// there: so where a record can't be written, the recording ends for good, with a record that says why.
type Writer struct {
	out      io.Writer
	maxBytes int64 // of the file

	mu      sync.Mutex // guards the fields below
	wake    *sync.Cond
	pending []byte // encoded records, not yet written
	size    int64  // of all records so far, in bytes
	ended   bool   // no record is accepted any more
	reason  error  // why the recording ended, unless by Close
	encoded []byte
	flushed chan struct{}
}

// NewWriter makes a writer of at most maxBytes bytes. It writes from a goroutine of its own until Close.
func NewWriter(out io.Writer, maxBytes int64) *Writer {
	w := &Writer{out: out, maxBytes: maxBytes, flushed: make(chan struct{})}
	w.wake = sync.NewCond(&w.mu)
	go w.run()
	return w
}

// Append appends a record. It never waits for the file.
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

// endLocked ends the recording with its reason. The caller holds the lock.
func (w *Writer) endLocked(last *recordpb.Record, why error) {
	w.ended, w.reason = true, why
	_ = w.appendLocked(&recordpb.Record{
		At: last.At, Instance: last.Instance, What: &recordpb.Record_Ended{Ended: &recordpb.Ended{Reason: why.Error()}},
	}, 0) // this fits, unless the limit is below endRecordReserve
	w.wake.Signal()
}

// appendLocked appends a record if that leaves so many bytes of each limit. The caller holds the lock.
func (w *Writer) appendLocked(r *recordpb.Record, reserve int64) error {
	var err error
	if w.encoded, err = (proto.MarshalOptions{}).MarshalAppend(w.encoded[:0], r); err != nil {
		return fmt.Errorf("marshal: %w", err) // a string of the log that is no UTF-8
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
	w.wake.Signal()
	return nil
}

// run writes what is pending to the file until the recording ends.
func (w *Writer) run() {
	defer close(w.flushed)
	var batch []byte
	for {
		w.mu.Lock()
		for len(w.pending) == 0 && !w.ended {
			w.wake.Wait()
		}
		batch, w.pending = w.pending, batch[:0]
		w.mu.Unlock()
		if len(batch) == 0 {
			return // the recording has ended, and all is written
		}
		if _, err := w.out.Write(batch); err != nil {
			w.mu.Lock()
			w.ended, w.reason, w.pending = true, fmt.Errorf("write: %w", err), nil
			w.mu.Unlock()
			return
		}
	}
}

// Close ends the recording and returns when all accepted records are written. The error says why it ended before.
func (w *Writer) Close() error {
	w.mu.Lock()
	w.ended = true
	w.wake.Signal()
	w.mu.Unlock()
	<-w.flushed
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.reason
}
