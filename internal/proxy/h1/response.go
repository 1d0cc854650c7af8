package h1

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// Continue is the interim response to a request with Expect: 100-continue (RFC 9110, 15.2.1).
const Continue = "HTTP/1.1 100 Continue\r\n\r\n"

// IsStatus reports whether a number is a status code of HTTP (RFC 9110, 15).
func IsStatus(code int) bool { return code >= 100 && code <= 599 }

// IsFinalStatus reports whether a number is a status code of a final response.
func IsFinalStatus(code int) bool { return code >= 200 && code <= 599 }

// Response is the head of a response.
type Response struct {
	Status     int
	Header     http.Header   // header of the server's response, whose hop-by-hop fields are left out; nil: none
	RetryAfter time.Duration // value of Retry-After, written in decimal seconds; 0: no such field
	Length     int64         // of the body in bytes; -1: the body is chunked
	PlainText  bool          // the body is a plain text that the proxy generated
	Close      bool          // the connection closes after the response
	Date       string        // value of Date if the server sent none (RFC 9110, 6.6.1); "": no such field
}

// Append appends the bytes of the head to a slice and returns the extended slice.
func (r *Response) Append(to []byte) []byte {
	to = append(to, "HTTP/1.1 "...)
	to = strconv.AppendInt(to, int64(r.Status), 10)
	to = append(to, ' ')
	to = append(to, http.StatusText(r.Status)...)
	if r.Length >= 0 {
		to = append(to, "\r\nContent-Length: "...)
		to = strconv.AppendInt(to, r.Length, 10)
		to = append(to, "\r\n"...)
	} else {
		to = append(to, "\r\nTransfer-Encoding: chunked\r\n"...)
	}
	for name, values := range r.Header {
		if isHopByHop(name) || r.isListedInConnection(name) || !isToken(name) {
			continue
		}
		for _, value := range values {
			if !isSendable(value) {
				continue // the value would end the field, and the bytes after it would form another field
			}
			to = append(to, name...)
			to = append(to, ": "...)
			to = append(to, value...)
			to = append(to, "\r\n"...)
		}
	}
	if r.Date != "" && r.Header["Date"] == nil {
		to = append(to, "Date: "...)
		to = append(to, r.Date...)
		to = append(to, "\r\n"...)
	}
	if r.RetryAfter > 0 {
		to = append(to, "Retry-After: "...)
		to = strconv.AppendFloat(to, r.RetryAfter.Seconds(), 'f', 3, 64)
		to = append(to, "\r\n"...)
	}
	if r.PlainText {
		to = append(to, "Content-Type: text/plain; charset=utf-8\r\nX-Content-Type-Options: nosniff\r\n"...)
	}
	if r.Close {
		to = append(to, "Connection: close\r\n"...)
	}
	return append(to, "\r\n"...)
}

// isHopByHop returns whether a field belongs to a connection instead of the message (RFC 9110, 7.6.1), to the framing
// of the message or, like X-Server-Load, to the exchange between a server and the proxy.
func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
		"Content-Length", "X-Server-Load":
		return true
	}
	return false
}

// isListedInConnection returns whether the Connection field of the header names a field.
func (r *Response) isListedInConnection(name string) bool {
	for _, list := range r.Header["Connection"] {
		for listed := range strings.SplitSeq(list, ",") {
			if textproto.CanonicalMIMEHeaderKey(textproto.TrimString(listed)) == name {
				return true
			}
		}
	}
	return false
}

// isSendable returns whether a value has no bytes that could end a field.
func isSendable(value string) bool {
	for i := range len(value) {
		if c := value[i]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
