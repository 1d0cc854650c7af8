package grpc

import (
	"fmt"

	"google.golang.org/grpc/mem"
)

// raw is a codec that passes messages on as they are: they are encoded once, by the caller, and however
// many attempts there are, none writes into what the caller holds.
type raw struct{ name string }

// Marshal implements encoding.CodecV2.
func (raw) Marshal(v any) (mem.BufferSlice, error) {
	b, ok := v.(*[]byte)
	if !ok {
		return nil, fmt.Errorf("raw codec: %T is no bytes", v)
	}
	return mem.BufferSlice{mem.SliceBuffer(*b)}, nil
}

// Unmarshal implements encoding.CodecV2.
func (raw) Unmarshal(data mem.BufferSlice, v any) error {
	b, ok := v.(*[]byte)
	if !ok {
		return fmt.Errorf("raw codec: %T is no bytes", v)
	}
	*b = data.Materialize()
	return nil
}

// Name implements encoding.CodecV2: it is the content subtype.
func (c raw) Name() string { return c.name }
