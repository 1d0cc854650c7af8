package grpc

import (
	"fmt"

	"google.golang.org/grpc/mem"
)

// rawCodec passes encoded messages through unchanged. The caller encodes a message once; all attempts share its bytes,
// and no attempt writes to them.
type rawCodec struct{ name string }

// Marshal implements encoding.CodecV2.
func (rawCodec) Marshal(v any) (mem.BufferSlice, error) {
	b, ok := v.(*[]byte)
	if !ok {
		return nil, fmt.Errorf("raw codec: message is a %T, want *[]byte", v)
	}
	return mem.BufferSlice{mem.SliceBuffer(*b)}, nil
}

// Unmarshal implements encoding.CodecV2.
func (rawCodec) Unmarshal(data mem.BufferSlice, v any) error {
	b, ok := v.(*[]byte)
	if !ok {
		return fmt.Errorf("raw codec: message is a %T, want *[]byte", v)
	}
	*b = data.Materialize()
	return nil
}

// Name implements encoding.CodecV2. It returns the content subtype.
func (c rawCodec) Name() string { return c.name }
