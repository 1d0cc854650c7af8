package http1

import (
	"bytes"
	"net/http"
	"strconv"
	"time"

	"caperarch/internal/proxy/call"
)

// requestOverhead is the initial buffer size for a request's head, in bytes. Nearly all heads are shorter.
const requestOverhead = 512

// encodedRequest is a request in its form on the connection. Of a streamed body it has the bytes received so far.
type encodedRequest struct {
	bytes     []byte
	headBytes int // length of the head, including the empty line at its end
}

// encodeRequest returns the encoded request with its remaining time. The header fields were parsed by the front end, so
// their values contain no line breaks.
func (t *Transport) encodeRequest(to *host, m *call.Message, left time.Duration) encodedRequest {
	var out bytes.Buffer
	out.Grow(requestOverhead + len(m.Body))
	out.WriteString(m.Method)
	out.WriteByte(' ')
	out.WriteString(m.URI)
	out.WriteString(" HTTP/1.1\r\n")
	writeField(&out, "Host", m.Host)
	timeoutField, unit := "X-Timeout", "m"
	if t.dialect != nil {
		timeoutField, unit = t.dialect.TimeoutField, ""
	}
	isProbe := m.Header == nil
	if t.dialect != nil && !isProbe || m.Header.Get("X-Request-ID") != "" {
		writeField(&out, timeoutField, strconv.FormatInt(max(1, left.Milliseconds()), 10)+unit)
	}
	if !isProbe {
		t.writeOwnFields(&out, to)
	}
	for name, values := range m.Header {
		for _, value := range values {
			if name != timeoutField {
				writeField(&out, name, value)
			}
		}
	}
	writeFraming(&out, m)
	out.WriteString("\r\n")
	headBytes := out.Len()
	if m.Upload != nil && m.Upload.Length < 0 {
		out.WriteString(strconv.FormatInt(int64(len(m.Body)), 16) + "\r\n")
		out.Write(m.Body)
		out.WriteString("\r\n")
	} else {
		out.Write(m.Body)
	}
	return encodedRequest{bytes: out.Bytes(), headBytes: headBytes}
}

// writeOwnFields writes the fields that the host and the dialect add to a request.
func (t *Transport) writeOwnFields(out *bytes.Buffer, to *host) {
	for _, f := range to.fields {
		writeField(out, f.Name, f.Value)
	}
	if t.dialect != nil && t.dialect.NewSendID != nil {
		writeField(out, t.dialect.SendIDField, t.dialect.NewSendID())
	}
}

// writeFraming writes the Content-Length or Transfer-Encoding field of a request.
func writeFraming(out *bytes.Buffer, m *call.Message) {
	switch {
	case m.Upload != nil && m.Upload.Length < 0:
		writeField(out, "Transfer-Encoding", "chunked")
	case m.Upload != nil:
		writeField(out, "Content-Length", strconv.FormatInt(m.Upload.Length, 10))
	case m.Method != http.MethodGet || len(m.Body) > 0:
		writeField(out, "Content-Length", strconv.Itoa(len(m.Body)))
	}
}

func writeField(out *bytes.Buffer, name, value string) {
	out.WriteString(name)
	out.WriteString(": ")
	out.WriteString(value)
	out.WriteString("\r\n")
}
