package grpcplugin

import (
	"errors"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	spb "google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"caperarch/plugin"
)

// callError is an error of package plugin with its gRPC status.
type callError struct {
	error
	st *status.Status
}

// GRPCStatus returns the status of the error. status.FromError calls it.
func (e *callError) GRPCStatus() *status.Status { return e.st }

func (e *callError) Unwrap() error { return e.error }

// asStatus adds the gRPC status to an error of package plugin.
func asStatus(err error) error {
	var (
		refused *plugin.RefusedError
		failed  *plugin.FailedError
		invalid *plugin.InvalidError
	)
	switch {
	case errors.As(err, &refused):
		st := status.New(codes.Unavailable, err.Error())
		if detailed, e := st.WithDetails(&errdetails.RetryInfo{RetryDelay: durationpb.New(refused.RetryAfter)}); e == nil {
			st = detailed
		}
		return &callError{err, st}
	case errors.As(err, &invalid):
		return &callError{err, status.New(codes.InvalidArgument, err.Error())}
	case errors.As(err, &failed):
		switch {
		case failed.Cause != nil:
			return &callError{err, status.FromContextError(failed.Cause)}
		case failed.Status != 0:
			return &callError{err, replaceUnavailable(decodeStatus(failed.Status, failed.Body))}
		case failed.TimedOut:
			return &callError{err, status.New(codes.DeadlineExceeded, err.Error())}
		}
		return &callError{err, status.New(codes.Unknown, err.Error())}
	}
	return err
}

// replaceUnavailable changes a server's status UNAVAILABLE to UNKNOWN. Many clients repeat a call after UNAVAILABLE,
// but this call may have run.
func replaceUnavailable(st *status.Status) *status.Status {
	if st.Code() != codes.Unavailable {
		return st
	}
	p := st.Proto()
	p.Code, p.Message = int32(codes.Unknown), "the call may have run: "+p.Message
	return status.FromProto(p)
}

// decodeStatus decodes the status that a server sent, with its details. If the encoded status is malformed or has
// another code, it returns a status of the code alone.
func decodeStatus(code int, encoded []byte) *status.Status {
	var p spb.Status
	if proto.Unmarshal(encoded, &p) != nil || p.GetCode() != int32(code) {
		return status.New(codes.Code(code), "")
	}
	return status.FromProto(&p)
}
