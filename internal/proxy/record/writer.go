// Package record keeps what an engine handed its decision module and what came back, so that it can be replayed:
// length-delimited protobuf (recordpb/record.proto), bounded, never in the way of a request.
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

// pendingMost bounds in bytes what is written and not yet taken by the file: a slow one ends the recording, not the requests.
const pendingMost = 1 << 20

// endRoom is what is kept free of the bound for the last record, which says why it ended.
const endRoom = 256

var (
	errFull = errors.New("the bound on its size is reached")
	errSlow = errors.New("the file takes it too slowly")
)

// Writer appends records to a file. A recording is whole from its beginning or it is of no use, as the module's state
// comes from there: so where no more can be kept, it ends for good, with a record that says why. Safe for concurrent use.
type Writer struct {
	out  io.Writer
	most int64 // bytes of the file

	mu      sync.Mutex
	more    *sync.Cond
	pending []byte // marshalled, not yet with the file
	size    int64  // handed over so far
	ended   bool   // nothing is taken any more
	reason  error  // why, where it ended by itself
	scratch []byte
	done    chan struct{}
}

// NewWriter makes a writer of at most most bytes. It writes from a goroutine of its own until Close.
func NewWriter(out io.Writer, most int64) *Writer {
	w := &Writer{out: out, most: most, done: make(chan struct{})}
	w.more = sync.NewCond(&w.mu)
	go w.run()
	return w
}

// Append takes a record. It never waits for the file.
func (w *Writer) Append(r *recordpb.Record) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	if err := w.put(r, endRoom); err != nil {
		w.end(r, err)
	}
}

// end closes the recording with its reason. The caller holds the lock.
func (w *Writer) end(last *recordpb.Record, why error) {
	w.ended, w.reason = true, why
	_ = w.put(&recordpb.Record{
		At: last.At, Instance: last.Instance, What: &recordpb.Record_Ended{Ended: &recordpb.Ended{Reason: why.Error()}},
	}, 0) // there is room for it, or the bound is below endRoom
	w.more.Signal()
}

// put appends a record where it leaves room. The caller holds the lock.
func (w *Writer) put(r *recordpb.Record, room int64) error {
	var err error
	if w.scratch, err = (proto.MarshalOptions{}).MarshalAppend(w.scratch[:0], r); err != nil {
		return fmt.Errorf("marshal: %w", err) // a string of the log that is no UTF-8
	}
	length := int64(protowire.SizeBytes(len(w.scratch)))
	switch {
	case w.size+length+room > w.most:
		return errFull
	case int64(len(w.pending))+length+room > pendingMost:
		return errSlow
	}
	w.pending = protowire.AppendBytes(w.pending, w.scratch)
	w.size += length
	w.more.Signal()
	return nil
}

// run hands what is pending to the file.
func (w *Writer) run() {
	defer close(w.done)
	var batch []byte
	for {
		w.mu.Lock()
		for len(w.pending) == 0 && !w.ended {
			w.more.Wait()
		}
		batch, w.pending = w.pending, batch[:0]
		w.mu.Unlock()
		if len(batch) == 0 {
			return // it has ended, and all is written
		}
		if _, err := w.out.Write(batch); err != nil {
			w.mu.Lock()
			w.ended, w.reason, w.pending = true, fmt.Errorf("write: %w", err), nil
			w.mu.Unlock()
			return
		}
	}
}

// Close ends the recording and returns when what was taken is with the file; the error says why it ended before.
func (w *Writer) Close() error {
	w.mu.Lock()
	w.ended = true
	w.more.Signal()
	w.mu.Unlock()
	<-w.done
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.reason
}
