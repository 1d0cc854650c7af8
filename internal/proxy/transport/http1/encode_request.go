package http1

import (
	"bytes"
	"net/http"
	"strconv"
	"time"

	"caperarch/internal/proxy/call"
)

// requestOverhead is more than nearly all heads need, in bytes.
const requestOverhead = 512

// encodeRequest is a request as it is written, with the time that is left for it. Its fields were parsed by the front,
// so none holds what would end it early. Of a body that is forwarded as it comes it has what is here already.
func (t *Transport) encodeRequest(to *host, m *call.Message, left time.Duration) []byte {
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
	if m.Upload != nil && m.Upload.Length < 0 {
		out.WriteString(strconv.FormatInt(int64(len(m.Body)), 16) + "\r\n")
		out.Write(m.Body)
		out.WriteString("\r\n")
		return out.Bytes()
	}
	out.Write(m.Body)
	return out.Bytes()
}

// writeOwnFields writes the fields of a request that are the host's and the dialect's.
func (t *Transport) writeOwnFields(out *bytes.Buffer, to *host) {
	for _, f := range to.fields {
		writeField(out, f.Name, f.Value)
	}
	if t.dialect != nil && t.dialect.NewSendID != nil {
		writeField(out, t.dialect.SendIDField, t.dialect.NewSendID())
	}
}

// writeFraming writes the field that says how the body is framed.
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
