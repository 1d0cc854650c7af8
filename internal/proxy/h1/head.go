// Package h1 parses the heads of HTTP/1.1 requests, writes the heads of responses, and decodes and frames bodies in
// chunks, over the caller's buffers and without I/O. It is strict: what RFC 9112 lets two readers understand
// differently is an error here, as a request may be read by others behind us. Whatever it accepts, net/http's reader
// accepts too, as the same request (a fuzz test shows that). Nothing in it may be used by two goroutines at a time.
package h1

import (
	"net/http"
	"net/textproto"
	"strings"
)

const (
	// DefaultMaxHeadBytes bounds a head in bytes, its last empty line included: an endless one must not hold memory.
	DefaultMaxHeadBytes = 16 << 10
	// MaxFields bounds the count of a head's fields: looking one up walks over them.
	MaxFields = 100
	// MaxFieldsBySize is the same for a parser with a limit of its own, which bounds bytes and no count: an ordinary head
	// of any size has fewer, and one made of empty fields is still rejected.
	MaxFieldsBySize = 1000
	// maxLengthDigits bounds a Content-Length's digits; more are no length that anybody sends.
	maxLengthDigits = 18
)

// Error is why a head or a body can't be read: the status that its client gets (RFC 9110, 15.5 and 15.6), and the
// reason. Where the request ends is not known then: its connection has to be closed.
type Error struct {
	Status int
	Reason string
}

// Error is the reason.
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

// Field is one header field; its name is in canonical form (X-Request-Id), its value has no white space around it.
type Field struct{ Name, Value string }

// Head is the head of a request. A parser fills it in; its strings share one copy of the head, not the caller's buffer.
type Head struct {
	Method         string
	Target         string // origin form (RFC 9112, 3.2.1): it begins with a slash, or is * for OPTIONS
	Host           string
	HTTP10         bool  // HTTP/1.0: no kept connection, and nothing but GET without a body is to be trusted
	Length         int64 // of the body in bytes; -1: none is given
	Chunked        bool  // the body comes in chunks; Length is -1 then
	Close          bool  // the client wants the connection closed behind the response
	ExpectContinue bool  // the client waits for 100 (Continue) before it sends the body
	Fields         []Field

	authority string // of a target in absolute form
}

// Get is the first value of a field by its canonical name, "" where there is none.
func (h *Head) Get(name string) string {
	for i := range h.Fields {
		if h.Fields[i].Name == name {
			return h.Fields[i].Value
		}
	}
	return ""
}

// EndToEnd copies the fields that are meant for the other end, not for this connection (RFC 9110, 7.6.1), nor Host. It
// takes three allocations, whatever the count of fields.
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
