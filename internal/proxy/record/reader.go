package record

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"google.golang.org/protobuf/encoding/protodelim"

	"caperarch/internal/proxy/record/recordpb"
)

// maxRecordBytes is the limit on the size of a record, in bytes. It allows a list of about 20,000 servers.
const maxRecordBytes = 1 << 20

// Reader reads a recording.
type Reader struct {
	input   *bufio.Reader
	records int
}

// NewReader returns a Reader that reads a recording from in.
func NewReader(in io.Reader) *Reader { return &Reader{input: bufio.NewReaderSize(in, 1<<16)} }

// Next returns the next record, or io.EOF after the last record. If the file is truncated within a record, for example
// because the process was killed, Next returns io.ErrUnexpectedEOF. Any other error has the number of the malformed
// record.
func (r *Reader) Next() (*recordpb.Record, error) {
	rec := new(recordpb.Record)
	err := protodelim.UnmarshalOptions{MaxSize: maxRecordBytes}.UnmarshalFrom(r.input, rec)
	switch {
	case err == nil:
		r.records++
		return rec, nil
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return nil, err
	}
	return nil, fmt.Errorf("record %d: %w", r.records+1, err)
}
