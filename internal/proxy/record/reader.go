package record

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"google.golang.org/protobuf/encoding/protodelim"

	"caperarch/internal/proxy/record/recordpb"
)

// maxRecordBytes bounds a record: a list of some 20,000 servers.
const maxRecordBytes = 1 << 20

// Reader reads a recording.
type Reader struct {
	input   *bufio.Reader
	records int
}

// NewReader makes a reader of a file.
func NewReader(in io.Reader) *Reader { return &Reader{input: bufio.NewReaderSize(in, 1<<16)} }

// Next returns the next record, or io.EOF behind the last one. A file that is truncated within a record, as by a
// process that was killed, ends with io.ErrUnexpectedEOF; every other error names the record that can't be read.
func (r *Reader) Next() (*recordpb.Record, error) {
	one := new(recordpb.Record)
	err := protodelim.UnmarshalOptions{MaxSize: maxRecordBytes}.UnmarshalFrom(r.input, one)
	switch {
	case err == nil:
		r.records++
		return one, nil
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return nil, err
	}
	return nil, fmt.Errorf("record %d: %w", r.records+1, err)
}
