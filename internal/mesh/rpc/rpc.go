// Package rpc is the counter at which the mesh's processes ask each other and are asked from outside: JSON over
// HTTP/1.1, with errors that keep their kind of the faultlist on the way.
package rpc

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"caperarch/internal/mesh/errs"
)

const (
	// faultHeader carries the kind of an error, so that the caller gets the same kind back.
	faultHeader = "X-Mesh-Fault"
	contentJSON = "application/json"
	// firstBuffer bounds the memory taken on the word of a Content-Length alone. It guards against senders that
	// announce a large body and never send it; once so much has arrived, the rest is taken at once.
	firstBuffer = 256 << 10
	// unknownStart is the first buffer for a body that comes without its length.
	unknownStart = 4 << 10
)

// failure is the body of an answer that is an error.
type failure struct {
	ErrorMessage string `json:"errorMessage"`
	Kind         string `json:"kind"`
}

// Handle serves POST requests for the pattern: the JSON body of at most limit bytes is read whole into a Q, and what f
// gives is answered as JSON. An error is answered as WriteError does. With a Q of struct{} the body may be empty or
// anything else within the limit, and is passed over. The pattern may name another method.
func Handle[Q, A any](mux *http.ServeMux, pattern string, limit int64, f func(r *http.Request, q *Q) (*A, error)) {
	HandleRaw(mux, pattern, limit, func(r *http.Request, body []byte) (*A, error) {
		q := new(Q)
		if _, none := any(q).(*struct{}); !none {
			if err := decode(body, q); err != nil {
				return nil, err
			}
		}
		return f(r, q)
	})
}

// HandleGet serves GET requests for the pattern: what f gives is answered as JSON, an error as WriteError does.
func HandleGet[A any](mux *http.ServeMux, pattern string, f func(r *http.Request) (*A, error)) {
	mux.HandleFunc(withMethod(http.MethodGet, pattern), func(w http.ResponseWriter, r *http.Request) {
		a, err := f(r)
		reply(w, a, err)
	})
}

// HandleRaw is Handle for those who read the body themselves: f gets its bytes, whole and at most limit of them.
func HandleRaw[A any](mux *http.ServeMux, pattern string, limit int64, f func(r *http.Request, body []byte) (*A, error)) {
	mux.HandleFunc(withMethod(http.MethodPost, pattern), func(w http.ResponseWriter, r *http.Request) {
		body, err := ReadBody(r, limit)
		if err != nil {
			WriteError(w, err)
			return
		}
		a, err := f(r, body)
		reply(w, a, err)
	})
}

// ReadBody reads the whole body of the request. One of more than limit bytes is TooLarge, and is not read when its length
// says so beforehand; one that is cut short is Malformed.
func ReadBody(r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, errs.New(errs.TooLarge, "body: %d bytes, at most %d are taken", r.ContentLength, limit)
	}
	body, err := readWhole(r.Body, r.ContentLength, limit)
	switch {
	case errors.Is(err, errOverLimit):
		return nil, errs.New(errs.TooLarge, "body: at most %d bytes are taken", limit)
	case err != nil:
		return nil, errs.Wrap(err, errs.Malformed, "body cut short after %d bytes", len(body))
	}
	return body, nil
}

// WriteError answers with the error's status, its kind in a header, and a JSON body of message and kind. The error must
// not be nil.
func WriteError(w http.ResponseWriter, err error) {
	kind := errs.KindOf(err)
	if wait := kind.RetryAfter(); wait != "" {
		w.Header().Set("Retry-After", wait)
	}
	w.Header().Set(faultHeader, kind.String())
	// Two strings always encode.
	body, _ := json.Marshal(failure{ErrorMessage: err.Error(), Kind: kind.String()})
	send(w, kind.Status(), body)
}

func reply[A any](w http.ResponseWriter, a *A, err error) {
	if err != nil {
		WriteError(w, err)
		return
	}
	body, err := json.Marshal(a)
	if err != nil {
		WriteError(w, errs.Wrap(err, errs.Internal, "encode the answer"))
		return
	}
	send(w, http.StatusOK, body)
}

// send writes the answer with its length. A caller that is gone gets nothing, and there is nobody to tell.
func send(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Type", contentJSON)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// decode reads the whole of body as one JSON value: anything that is not, or that follows it, is Malformed. A value of
// the wrong type is Invalid, and so is what a type's own reader refuses without naming a kind.
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

var errOverLimit = errors.New("over the limit")

// readWhole reads to the end, at most limit bytes; length is the announced one, negative when there is none. It takes
// no more memory than what has arrived deserves: see firstBuffer.
func readWhole(r io.Reader, length, limit int64) ([]byte, error) {
	// One byte of room beyond the length lets the end be seen without growing.
	start, next := int64(unknownStart), int64(0)
	if length >= 0 {
		next = min(length, limit) + 1
		start = min(next, firstBuffer)
	}
	data := make([]byte, 0, start)
	for {
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case int64(len(data)) > limit:
			return nil, errOverLimit
		case err == io.EOF:
			return data, nil
		case err != nil:
			return data, err
		}
		if len(data) == cap(data) {
			grown := make([]byte, len(data), max(next, 2*int64(cap(data))))
			copy(grown, data)
			data = grown
		}
	}
}
