package h1

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// Continue is the interim answer to Expect: 100-continue (RFC 9110, 15.2.1).
const Continue = "HTTP/1.1 100 Continue\r\n\r\n"

// Response is the head of a response.
type Response struct {
	Status     int
	Header     http.Header   // of the server's answer; fields of its connection are left out. nil: none
	RetryAfter time.Duration // Retry-After, in decimal seconds; 0: none
	Length     int64         // of the body in bytes; -1: it comes in chunks
	PlainText  bool          // the body is plain text of ours
	Close      bool          // the connection closes behind it
	Date       string        // the value of Date where the server gave none (RFC 9110, 6.6.1); "": left out
}

// Append appends the head's bytes.
func (a *Response) Append(to []byte) []byte {
	to = append(to, "HTTP/1.1 "...)
	to = strconv.AppendInt(to, int64(a.Status), 10)
	to = append(to, ' ')
	to = append(to, http.StatusText(a.Status)...)
	if a.Length >= 0 {
		to = append(to, "\r\nContent-Length: "...)
		to = strconv.AppendInt(to, a.Length, 10)
		to = append(to, "\r\n"...)
	} else {
		to = append(to, "\r\nTransfer-Encoding: chunked\r\n"...)
	}
	for name, values := range a.Header {
		if connectionField(name) || a.listed(name) || !isToken(name) {
			continue
		}
		for _, value := range values {
			if !sendable(value) {
				continue // it would end the field, and what follows would be taken for ours
			}
			to = append(to, name...)
			to = append(to, ": "...)
			to = append(to, value...)
			to = append(to, "\r\n"...)
		}
	}
	if a.Date != "" && a.Header["Date"] == nil {
		to = append(to, "Date: "...)
		to = append(to, a.Date...)
		to = append(to, "\r\n"...)
	}
	if a.RetryAfter > 0 {
		to = append(to, "Retry-After: "...)
		to = strconv.AppendFloat(to, a.RetryAfter.Seconds(), 'f', 3, 64)
		to = append(to, "\r\n"...)
	}
	if a.PlainText {
		to = append(to, "Content-Type: text/plain; charset=utf-8\r\nX-Content-Type-Options: nosniff\r\n"...)
	}
	if a.Close {
		to = append(to, "Connection: close\r\n"...)
	}
	return append(to, "\r\n"...)
}

// connectionField says whether a field is one of a connection, not of the message (RFC 9110, 7.6.1), or framing.
func connectionField(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
		"Content-Length", "X-Server-Load":
		return true
	}
	return false
}

// listed says whether the answer's Connection names a field.
func (a *Response) listed(name string) bool {
	for _, list := range a.Header["Connection"] {
		for listed := range strings.SplitSeq(list, ",") {
			if textproto.CanonicalMIMEHeaderKey(textproto.TrimString(listed)) == name {
				return true
			}
		}
	}
	return false
}

func sendable(value string) bool {
	for i := range len(value) {
		if c := value[i]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
