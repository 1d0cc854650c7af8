package h1

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// Continue is the interim response to Expect: 100-continue (RFC 9110, 15.2.1).
const Continue = "HTTP/1.1 100 Continue\r\n\r\n"

// Response is the head of a response.
type Response struct {
	Status     int
	Header     http.Header   // of the server's response; its hop-by-hop fields are left out. nil: none
	RetryAfter time.Duration // Retry-After, in decimal seconds; 0: none
	Length     int64         // of the body in bytes; -1: it comes in chunks
	PlainText  bool          // the body is a plain text of the proxy itself
	Close      bool          // the connection closes behind it
	Date       string        // the value of Date where the server gave none (RFC 9110, 6.6.1); "": left out
}

// Append appends the head's bytes to a slice.
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
				continue // it would end the field, and what follows would be taken for another one
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

// isHopByHop returns whether a field belongs to a connection, not to the message (RFC 9110, 7.6.1), or to the framing.
func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
		"Content-Length", "X-Server-Load":
		return true
	}
	return false
}

// isListedInConnection returns whether the header's Connection names a field.
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

// isSendable returns whether a field's value has no bytes that could end the field.
func isSendable(value string) bool {
	for i := range len(value) {
		if c := value[i]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
