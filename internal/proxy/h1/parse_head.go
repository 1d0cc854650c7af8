package h1

import (
	"net/http"
	"net/textproto"
	"strings"
)

// parse parses a complete head, in which each line ends in CR LF.
func (h *Head) parse(b []byte) error {
	text := string(b) // the only copy of the head's bytes
	*h = Head{Length: -1, Fields: h.Fields[:0]}
	line, rest, _ := strings.Cut(text, "\r\n")
	if err := h.parseRequestLine(line); err != nil {
		return err
	}
	for {
		line, rest, _ = strings.Cut(rest, "\r\n")
		if line == "" {
			break
		}
		if err := h.parseField(line); err != nil {
			return err
		}
	}
	return h.parseFraming()
}

// parseRequestLine parses a request line (RFC 9112, 3) with exactly one space before and after the target.
func (h *Head) parseRequestLine(line string) error {
	method, rest, ok := strings.Cut(line, " ")
	target, version, hasVersion := strings.Cut(rest, " ")
	if !ok || !hasVersion {
		return errRequestLine
	}
	if !isToken(method) {
		return errMethod
	}
	switch {
	case version == "HTTP/1.1":
	case version == "HTTP/1.0":
		h.HTTP10 = true
	case isVersion(version):
		return errVersion
	default:
		return errRequestLine
	}
	switch {
	case target == "*" && method == http.MethodOptions:
		h.Method, h.Target = method, target
		return nil
	case target != "" && target[0] != '/':
		var ok bool
		if target, h.authority, ok = splitAbsoluteForm(target); !ok {
			return errTarget
		}
	case target == "":
		return errTarget
	}
	if !isPathAndQuery(target) {
		return errTarget
	}
	h.Method, h.Target = method, target
	return nil
}

// isVersion returns whether a text has the form of an HTTP version (RFC 9112, 2.3).
func isVersion(text string) bool {
	return len(text) == len("HTTP/1.1") && strings.HasPrefix(text, "HTTP/") &&
		isDigit(text[5]) && text[6] == '.' && isDigit(text[7])
}

// isPathAndQuery returns whether a target has only allowed bytes. The percent-encoding of its path must be
// well-formed.
func isPathAndQuery(target string) bool {
	for i := 0; i < len(target); i++ {
		switch c := target[i]; {
		case c <= ' ' || c >= 0x7f || c == '#':
			return false
		case c == '%' && (i+2 >= len(target) || !isHexDigit(target[i+1]) || !isHexDigit(target[i+2])):
			if q := strings.IndexByte(target, '?'); q < 0 || i < q {
				return false
			}
		}
	}
	return true
}

// splitAbsoluteForm splits a target in absolute form (RFC 9112, 3.2.2), which every server must accept.
func splitAbsoluteForm(target string) (path, authority string, ok bool) {
	const scheme = "http://"
	if len(target) < len(scheme) || !strings.EqualFold(target[:len(scheme)], scheme) {
		return "", "", false
	}
	rest := target[len(scheme):]
	if i := strings.IndexAny(rest, "/?"); i >= 0 {
		rest, path = rest[:i], rest[i:]
	}
	if path == "" || path[0] != '/' {
		path = "/" + path
	}
	return path, rest, rest != "" && isHost(rest) && !strings.Contains(rest, "@")
}

// parseField parses one field line (RFC 9112, 5).
func (h *Head) parseField(line string) error {
	if line[0] == ' ' || line[0] == '\t' {
		return errFoldedField
	}
	colon := strings.IndexByte(line, ':')
	if colon <= 0 || !isToken(line[:colon]) {
		return errFieldName
	}
	value := strings.Trim(line[colon+1:], " \t")
	for i := range len(value) {
		if c := value[i]; c < ' ' && c != '\t' || c == 0x7f {
			if c == '\r' {
				return errLineEnd
			}
			return errFieldValue
		}
	}
	name, known := canonicalNames[line[:colon]]
	if !known {
		name = textproto.CanonicalMIMEHeaderKey(line[:colon])
	}
	h.Fields = append(h.Fields, Field{name, value})
	return nil
}

// canonicalNames maps names in other forms that clients commonly send to the canonical form, which saves an
// allocation.
var canonicalNames = map[string]string{
	"X-Request-ID":     "X-Request-Id",
	"X-Tenant-ID":      "X-Tenant-Id",
	"host":             "Host",
	"content-length":   "Content-Length",
	"x-request-id":     "X-Request-Id",
	"x-priority-class": "X-Priority-Class",
	"x-tenant-id":      "X-Tenant-Id",
	"x-timeout":        "X-Timeout",
	"x-route-key":      "X-Route-Key",
	"idempotency-key":  "Idempotency-Key",
	"content-type":     "Content-Type",
	"user-agent":       "User-Agent",
}
