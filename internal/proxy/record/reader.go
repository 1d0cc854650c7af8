package record

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"google.golang.org/protobuf/encoding/protodelim"

	"caperarch/internal/proxy/record/recordpb"
)

// recordMost bounds a record in bytes: a list of some 20,000 servers.
const recordMost = 1 << 20

// Reader reads a recording.
type Reader struct {
	in     *bufio.Reader
	number int
}

// NewReader reads from a file.
func NewReader(in io.Reader) *Reader { return &Reader{in: bufio.NewReaderSize(in, 1<<16)} }

// Next returns the next record, or io.EOF behind the last one. A file that was cut off within a record, as by a process
// that was killed, ends with io.ErrUnexpectedEOF; every other error names the record that can't be read.
func (r *Reader) Next() (*recordpb.Record, error) {
	one := new(recordpb.Record)
	err := protodelim.UnmarshalOptions{MaxSize: recordMost}.UnmarshalFrom(r.in, one)
	switch {
	case err == nil:
		r.number++
		return one, nil
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return nil, err
	}
	return nil, fmt.Errorf("record %d: %w", r.number+1, err)
}
