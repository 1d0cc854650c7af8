package grpcplugin

import (
	"fmt"
	"strings"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/encoding"
	_ "google.golang.org/grpc/encoding/proto" // registers the codec of calls without a content subtype
	"google.golang.org/grpc/mem"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"caperarch/internal/proxy/call"
	"caperarch/plugin"
)

// options holds the values of the call options that this package supports.
type options struct {
	header, trailer *metadata.MD
	finish          []func(error)
	authority       string
	subtype         string
	marshal         func(any) ([]byte, error)
	unmarshal       func([]byte, any) error
	maxMessageBytes int // size limit of a response message
}

// parseCallOptions reads call options. It returns an error for an option that this package does not support.
func parseCallOptions(opts []grpc.CallOption) (*options, error) {
	o := &options{maxMessageBytes: call.MaxBufferedBody}
	o.useCodec("proto")
	for _, opt := range opts {
		switch opt := opt.(type) {
		case grpc.HeaderCallOption:
			o.header = opt.HeaderAddr
		case grpc.TrailerCallOption:
			o.trailer = opt.TrailerAddr
		case grpc.OnFinishCallOption:
			o.finish = append(o.finish, opt.OnFinish)
		case grpc.AuthorityOverrideCallOption:
			o.authority = opt.Authority
		case grpc.ContentSubtypeCallOption:
			if !o.useCodec(strings.ToLower(opt.ContentSubtype)) {
				return nil, status.Errorf(codes.Internal,
					"grpcplugin: no codec is registered for content-subtype %q", opt.ContentSubtype)
			}
		case grpc.ForceCodecV2CallOption:
			o.useCodecV2(opt.CodecV2)
		case grpc.ForceCodecCallOption:
			codec := opt.Codec
			o.subtype, o.marshal, o.unmarshal = codec.Name(), codec.Marshal, codec.Unmarshal
		case grpc.MaxRecvMsgSizeCallOption:
			o.maxMessageBytes = min(o.maxMessageBytes, opt.MaxRecvMsgSize)
		case grpc.MaxSendMsgSizeCallOption, grpc.FailFastCallOption, grpc.StaticMethodCallOption, grpc.EmptyCallOption:
			// Ignored: the balancing policy decides how long calls wait, and plugin.MaxBody limits request messages.
		default:
			return nil, status.Errorf(codes.Unimplemented, "grpcplugin: call option %T is not supported", opt)
		}
	}
	return o, nil
}

// useCodec selects the codec that is registered for a content subtype. It returns false if no codec is registered.
func (o *options) useCodec(subtype string) bool {
	codec := encoding.GetCodecV2(subtype)
	if codec == nil {
		return false
	}
	o.useCodecV2(codec)
	return true
}

// useCodecV2 selects a codec.
func (o *options) useCodecV2(codec encoding.CodecV2) {
	o.subtype = codec.Name()
	o.marshal = func(v any) ([]byte, error) {
		data, err := codec.Marshal(v)
		if err != nil {
			return nil, err
		}
		defer data.Free()
		return data.Materialize(), nil
	}
	o.unmarshal = func(b []byte, v any) error {
		return codec.Unmarshal(mem.BufferSlice{mem.SliceBuffer(b)}, v)
	}
}

// encode marshals a request message and rejects more than plugin.MaxBody bytes.
func (o *options) encode(v any) ([]byte, error) {
	b, err := o.marshal(v)
	switch {
	case err != nil:
		return nil, status.Errorf(codes.Internal, "grpcplugin: while marshaling: %v", err)
	case len(b) > plugin.MaxBody:
		reason := fmt.Sprintf("got %d bytes, want at most %d", len(b), plugin.MaxBody)
		err := &plugin.InvalidError{Field: "message", Reason: reason}
		return nil, &callError{err, status.New(codes.ResourceExhausted, err.Error())}
	}
	return b, nil
}

// decode unmarshals a response message and rejects more than maxMessageBytes bytes.
func (o *options) decode(b []byte, v any) error {
	if len(b) > o.maxMessageBytes {
		return status.Errorf(codes.ResourceExhausted,
			"grpcplugin: received a message of %d bytes, want at most %d", len(b), o.maxMessageBytes)
	}
	if err := o.unmarshal(b, v); err != nil {
		return status.Errorf(codes.Internal, "grpcplugin: failed to unmarshal the received message: %v", err)
	}
	return nil
}

// finished calls the OnFinish callbacks with the result of the call.
func (o *options) finished(err error) {
	for _, f := range o.finish {
		f(err)
	}
}
