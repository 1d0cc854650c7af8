// Package h1 parses the heads of HTTP/1.1 requests, writes the heads of responses, and decodes and frames chunked
// bodies. It works on buffers of the caller and does no I/O. It is strict: where RFC 9112 allows two readers to
// interpret a request differently, the request is an error, because servers behind the proxy read it too. Every
// request that the package accepts is accepted by net/http as the same request; a fuzz test checks this. No value of
// the package may be used by two goroutines at once.
package h1

import (
	"net/http"
	"net/textproto"
	"strings"
)

const (
	// DefaultMaxHeadBytes is the maximum size of a head in bytes, including its final empty line, so that an endless
	// head can't exhaust memory.
	DefaultMaxHeadBytes = 16 << 10
	// MaxFields is the maximum number of fields in a head, because each lookup of a field is a linear search.
	MaxFields = 100
	// MaxFieldsBySize replaces MaxFields for a parser with a limit set by SetLimit, which limits bytes instead of
	// fields. An ordinary head of any size has fewer fields; a head of many empty fields is still rejected.
	MaxFieldsBySize = 1000
	// maxLengthDigits is the maximum number of digits in a Content-Length. Real lengths are shorter, and 18 digits
	// fit into an int64.
	maxLengthDigits = 18
)

// Error is the reason why a head or a body can't be read, and the status of the response for it (RFC 9110, 15.5 and
// 15.6). After an Error the end of the request is unknown, so its connection has to be closed.
type Error struct {
	Status int
	Reason string
}

// Error returns the reason.
func (e *Error) Error() string { return e.Reason }

var (
	errLineEnd       = &Error{http.StatusBadRequest, "a line ends in a bare LF or holds a bare CR"}
	errControl       = &Error{http.StatusBadRequest, "the head holds a control byte"}
	errHeadTooLong   = &Error{http.StatusRequestHeaderFieldsTooLarge, "the head is too long"}
	errLineTooLong   = &Error{http.StatusRequestURITooLong, "the request line is too long"}
	errTooManyFields = &Error{http.StatusRequestHeaderFieldsTooLarge, "the head has too many fields"}
	errRequestLine   = &Error{http.StatusBadRequest, "the request line is malformed"}
	errMethod        = &Error{http.StatusBadRequest, "the method is no token"}
	errTarget        = &Error{http.StatusBadRequest, "the target is no path"}
	errVersion       = &Error{http.StatusHTTPVersionNotSupported, "HTTP/1.1 is needed"}
	errFoldedField   = &Error{http.StatusBadRequest, "a field is folded"}
	errFieldName     = &Error{
		http.StatusBadRequest, "a field's name is no token, or white space stands before its colon",
	}
	errFieldValue       = &Error{http.StatusBadRequest, "a field's value holds a control byte"}
	errHost             = &Error{http.StatusBadRequest, "Host is missing, given twice or malformed"}
	errLength           = &Error{http.StatusBadRequest, "Content-Length is malformed or given twice"}
	errBodyTooLong      = &Error{http.StatusRequestEntityTooLarge, "the body is too long"}
	errTransferEncoding = &Error{
		http.StatusBadRequest, "Transfer-Encoding is not chunked alone, or Content-Length stands beside it",
	}
	errExpect     = &Error{http.StatusExpectationFailed, "Expect is not 100-continue"}
	errConnection = &Error{http.StatusBadRequest, "Connection is malformed"}
)

// Field is one header field. Its name is in canonical form (X-Request-Id), its value has no leading or trailing white
// space.
type Field struct{ Name, Value string }

// Head is the head of a request. Parser.Parse fills it in; its strings share one copy of the head's bytes and don't
// refer to the caller's buffer.
type Head struct {
	Method         string
	Target         string // origin form (RFC 9112, 3.2.1): begins with a slash, or is * for OPTIONS
	Host           string
	HTTP10         bool  // HTTP/1.0: the connection closes, and only a GET without a body can be trusted
	Length         int64 // of the body in bytes; -1: not given
	Chunked        bool  // the body is chunked; Length is -1
	Close          bool  // the connection closes after the response
	ExpectContinue bool  // the client waits for 100 (Continue) before it sends the body
	Fields         []Field

	authority string // host of a target in absolute form; "": the target is in another form
}

// Get returns the first value of a field by its canonical name, or "" if there is none.
func (h *Head) Get(name string) string {
	for i := range h.Fields {
		if h.Fields[i].Name == name {
			return h.Fields[i].Value
		}
	}
	return ""
}

// EndToEnd returns a copy of the end-to-end fields: without Host and without the fields that belong to the connection
// (RFC 9110, 7.6.1). It takes three allocations, whatever the number of fields.
func (h *Head) EndToEnd() http.Header {
	to := make(http.Header, len(h.Fields)+2)
	values := make([]string, len(h.Fields))
	for i, f := range h.Fields {
		if f.Name == "Host" || isHopByHop(f.Name) {
			continue
		}
		values[i] = f.Value
		if have := to[f.Name]; have != nil {
			to[f.Name] = append(have[:len(have):len(have)], f.Value)
			continue
		}
		to[f.Name] = values[i : i+1 : i+1]
	}
	for _, f := range h.Fields {
		if f.Name == "Connection" {
			for name := range strings.SplitSeq(f.Value, ",") {
				delete(to, textproto.CanonicalMIMEHeaderKey(textproto.TrimString(name)))
			}
		}
	}
	return to
}
