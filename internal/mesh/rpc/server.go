package rpc

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"

	"caperarch/internal/mesh/errs"
	"caperarch/meshapi"
)

// Handle serves POST requests for the pattern: the JSON body of at most limit bytes is read in full
// into a Req, and the Resp that serve returns is the response, as JSON with status 200. An error is
// answered as by WriteError. If Req is struct{}, the body may be empty or anything else within the
// limit, and is ignored. The pattern may name another method.
func Handle[Req, Resp any](
	mux *http.ServeMux, pattern string, limit int64, serve func(r *http.Request, request *Req) (*Resp, error),
) {
	HandleRaw(mux, pattern, limit, func(r *http.Request, body []byte) (*Resp, error) {
		request := new(Req)
		if _, ignored := any(request).(*struct{}); !ignored {
			if err := decode(body, request); err != nil {
				return nil, err
			}
		}
		return serve(r, request)
	})
}

// HandleGet serves GET requests for the pattern: the response is what serve returns, as JSON with
// status 200. An error is answered as by WriteError.
func HandleGet[Resp any](mux *http.ServeMux, pattern string, serve func(r *http.Request) (*Resp, error)) {
	mux.HandleFunc(withMethod(http.MethodGet, pattern), func(w http.ResponseWriter, r *http.Request) {
		response, err := serve(r)
		writeResponse(w, response, err)
	})
}

// HandleRaw is Handle for handlers that parse the body themselves: serve gets all its bytes, at
// most limit of them.
func HandleRaw[Resp any](
	mux *http.ServeMux, pattern string, limit int64, serve func(r *http.Request, body []byte) (*Resp, error),
) {
	mux.HandleFunc(withMethod(http.MethodPost, pattern), func(w http.ResponseWriter, r *http.Request) {
		body, err := ReadBody(r, limit)
		if err != nil {
			WriteError(w, err)
			return
		}
		response, err := serve(r, body)
		writeResponse(w, response, err)
	})
}

// ReadBody reads the whole body of the request. A body of more than limit bytes is TooLarge, and is
// not read if its Content-Length already says so; a body that is cut short is Malformed.
func ReadBody(r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, errs.New(errs.TooLarge, "body: %d bytes, at most %d are taken", r.ContentLength, limit)
	}
	body, err := readBody(r.Body, r.ContentLength, limit)
	switch {
	case errors.Is(err, errOverLimit):
		return nil, errs.New(errs.TooLarge, "body: at most %d bytes are taken", limit)
	case err != nil:
		return nil, errs.Wrap(err, errs.Malformed, "body cut short after %d bytes", len(body))
	}
	return body, nil
}

// WriteError responds with the status and Retry-After of the error's kind, the kind in a header,
// and a JSON body of message and kind. The error must not be nil.
func WriteError(w http.ResponseWriter, err error) {
	kind := errs.KindOf(err)
	if wait := kind.RetryAfter(); wait != "" {
		w.Header().Set("Retry-After", wait)
	}
	w.Header().Set(meshapi.ErrorKindHeader, kind.String())
	// A struct of two strings always encodes.
	body, _ := json.Marshal(meshapi.ErrorResponse{ErrorMessage: err.Error(), Kind: kind.WireName()})
	writeJSON(w, kind.Status(), body)
}

// writeResponse responds with the response as JSON, or with the error if it is not nil.
func writeResponse[Resp any](w http.ResponseWriter, response *Resp, err error) {
	if err != nil {
		WriteError(w, err)
		return
	}
	body, err := json.Marshal(response)
	if err != nil {
		WriteError(w, errs.Wrap(err, errs.Internal, "encode the answer"))
		return
	}
	writeJSON(w, http.StatusOK, body)
}

// writeJSON writes a response with its length. If the caller is no longer there, nobody could use
// the error.
func writeJSON(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Type", contentJSON)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// decode reads all of body as one JSON value: a body that is no JSON, or has more after the value,
// is Malformed. A value of the wrong type is Invalid, and so is what a type's own UnmarshalJSON
// rejects without stating a kind.
func decode(body []byte, into any) error {
	err := json.Unmarshal(body, into)
	if err == nil {
		return nil
	}
	if syntax := (*json.SyntaxError)(nil); errors.As(err, &syntax) {
		return errs.Wrap(err, errs.Malformed, "JSON at byte %d of %d", syntax.Offset, len(body))
	}
	if kind := errs.KindOf(err); kind != errs.Internal {
		return errs.Wrap(err, kind, "JSON")
	}
	return errs.Wrap(err, errs.Invalid, "JSON")
}

// withMethod puts the method before a pattern that names none.
func withMethod(method, pattern string) string {
	if strings.ContainsAny(pattern, " \t") {
		return pattern
	}
	return method + " " + pattern
}
