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

// Handle serves POST requests for the pattern. It decodes the JSON body of at most limit bytes into a Req, calls serve,
// and sends the returned Resp as JSON with status 200. It sends an error with WriteError. If Req is struct{}, the body
// is read within the limit and ignored; it may be empty. A pattern that contains a method replaces POST.
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

// HandleGet serves GET requests for the pattern. It sends the Resp that serve returns as JSON with status 200, and an
// error with WriteError.
func HandleGet[Resp any](mux *http.ServeMux, pattern string, serve func(r *http.Request) (*Resp, error)) {
	mux.HandleFunc(withMethod(http.MethodGet, pattern), func(w http.ResponseWriter, r *http.Request) {
		response, err := serve(r)
		writeResponse(w, response, err)
	})
}

// HandleRaw is like Handle, but passes the undecoded body of at most limit bytes to serve.
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

// ReadBody reads the body of a request. A body of more than limit bytes is an error of kind TooLarge, and is not read
// if its Content-Length exceeds the limit. A truncated body is an error of kind Malformed.
func ReadBody(r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, errs.New(errs.TooLarge, "body: %d bytes, at most %d are taken", r.ContentLength, limit)
	}
	body, err := readBody(r.Body, r.ContentLength, limit)
	switch {
	case errors.Is(err, errBodyTooLarge):
		return nil, errs.New(errs.TooLarge, "body: at most %d bytes are taken", limit)
	case err != nil:
		return nil, errs.Wrap(err, errs.Malformed, "body cut short after %d bytes", len(body))
	}
	return body, nil
}

// WriteError sends an error with the status and the Retry-After header of its kind, the kind in the header
// meshapi.ErrorKindHeader, and a JSON body with the message and the kind. The error must not be nil.
func WriteError(w http.ResponseWriter, err error) {
	kind := errs.KindOf(err)
	if wait := kind.RetryAfter(); wait != "" {
		w.Header().Set("Retry-After", wait)
	}
	w.Header().Set(meshapi.ErrorKindHeader, kind.String())
	// Encoding a struct of two strings cannot fail.
	body, _ := json.Marshal(meshapi.ErrorResponse{ErrorMessage: err.Error(), Kind: kind.WireName()})
	writeJSON(w, kind.Status(), body)
}

// writeResponse sends the response as JSON, or the error if it is not nil.
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

// writeJSON sends a JSON body with its Content-Length. It ignores write errors, because they mean that the caller has
// disconnected.
func writeJSON(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Type", contentTypeJSON)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// decode decodes a body that consists of one JSON value. A body that is not JSON, or that continues after the value, is
// an error of kind Malformed. A value of the wrong type is an error of kind Invalid, and so is an error of a type's
// UnmarshalJSON method that has no kind.
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

// withMethod prepends the method to a pattern that contains no method.
func withMethod(method, pattern string) string {
	if strings.ContainsAny(pattern, " \t") {
		return pattern
	}
	return method + " " + pattern
}
