// Package route selects the pool of a request by rules on the request's host, path, method and class. Rules are
// compiled once into an immutable Table, which needs a bounded number of look-ups for a request. The package performs
// no I/O.
package route

import (
	"errors"
	"net/netip"
	"strings"
)

// Maximum lengths of hosts (RFC 1035, 2.3.4) and paths, in bytes. Longer hosts and paths are rejected.
const (
	maxHostLength = 253
	maxPathLength = 8 << 10
)

// NewRequest returns the fields of a request that rules match, in normal form. It returns an error if one of them is
// ambiguous or malformed.
func NewRequest(hostField, target, method, class string) (Request, error) {
	// The host of an absolute-form target may differ from the Host header, and servers differ in which host they use.
	if !strings.HasPrefix(target, "/") {
		return Request{}, errors.New("the target is no path")
	}
	host, err := Host(hostField)
	if err != nil {
		return Request{}, err
	}
	raw, _, _ := strings.Cut(target, "?")
	path, err := Path(raw)
	if err != nil {
		return Request{}, err
	}
	return Request{Host: host, Path: path, Method: method, Class: class}, nil
}

// FirstSegment returns the first segment of a path. In the protocol it is the request's class.
func FirstSegment(path string) string {
	first, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return first
}

// Host converts the value of a Host header to the normal form that rules use: in lower case, without port and trailing
// dot; an IPv6 literal in its canonical form, without brackets (RFC 9110, 7.2; RFC 3986, 3.2.2).
func Host(value string) (string, error) {
	host := value
	if rest, bracketed := strings.CutPrefix(host, "["); bracketed {
		literal, port, closed := strings.Cut(rest, "]")
		address, err := netip.ParseAddr(literal)
		if !closed || err != nil || !address.Is6() || address.Zone() != "" || !isPort(port) {
			return "", errors.New("the host is no IPv6 literal with a port or none")
		}
		return address.String(), nil
	}
	if i := strings.IndexByte(host, ':'); i >= 0 {
		if !isPort(host[i:]) {
			return "", errors.New("the host's port is no number")
		}
		host = host[:i]
	}
	host = strings.TrimSuffix(host, ".")
	if host == "" || len(host) > maxHostLength {
		return "", errors.New("the host is empty or too long")
	}
	lower := false
	for i := range len(host) {
		switch c := host[i]; {
		case 'a' <= c && c <= 'z', '0' <= c && c <= '9', c == '-', c == '_':
		case 'A' <= c && c <= 'Z':
			lower = true
		case c == '.' && i > 0 && host[i-1] != '.':
		default:
			return "", errors.New("the host holds what no name does")
		}
	}
	if lower {
		host = strings.ToLower(host)
	}
	return host, nil
}

// isPort reports whether text is empty, or a colon and at most 5 digits. There may be no digits (RFC 3986, 3.2.3).
func isPort(text string) bool {
	if text == "" {
		return true
	}
	return text[0] == ':' && len(text) <= 6 && strings.Trim(text[1:], "0123456789") == ""
}

var errAmbiguousPath = errors.New("the path can be read in more than one way: a dot segment, an empty segment, " +
	"a backslash, or an encoded slash, backslash or NUL")

// Path converts the path of a request target, without the query, to the normal form that rules use: unreserved bytes
// that are percent-encoded are decoded, once (RFC 3986, 6.2.2.2). To prevent requests from evading a rule, Path rejects
// paths that two parsers may read differently: dot segments, empty segments before the last segment, backslashes, and
// encoded slashes, backslashes, percent signs and NULs.
func Path(raw string) (string, error) {
	if raw == "" || raw[0] != '/' || len(raw) > maxPathLength {
		return "", errors.New("the path doesn't begin with a slash, or is too long")
	}
	path := raw
	if strings.IndexByte(raw, '%') >= 0 {
		var err error
		path, err = decodeUnreserved(raw)
		if err != nil {
			return "", err
		}
	}
	if err := checkSegments(path); err != nil {
		return "", err
	}
	return path, nil
}

// decodeUnreserved decodes the percent-encoded bytes of a path that are unreserved, and converts the hexadecimal
// digits of the other encoded bytes to upper case.
func decodeUnreserved(raw string) (string, error) {
	var b strings.Builder
	b.Grow(len(raw))
	for i := 0; i < len(raw); i++ {
		if raw[i] != '%' {
			b.WriteByte(raw[i])
			continue
		}
		if i+2 >= len(raw) {
			return "", errors.New("the path ends in half an encoded byte")
		}
		hi, lo := hexValue(raw[i+1]), hexValue(raw[i+2])
		if hi < 0 || lo < 0 {
			return "", errors.New("the path has a percent sign with no byte behind it")
		}
		switch c := byte(hi<<4 | lo); {
		case c == '/' || c == '\\' || c == 0 || c == '%':
			return "", errAmbiguousPath
		case isUnreserved(c):
			b.WriteByte(c)
		default:
			b.WriteString("%" + strings.ToUpper(raw[i+1:i+3]))
		}
		i += 2
	}
	return b.String(), nil
}

// checkSegments returns an error if a path has dot segments, empty segments before the last segment, or backslashes.
func checkSegments(path string) error {
	for i := 0; i < len(path); {
		end := strings.IndexByte(path[i+1:], '/')
		segment, next := path[i+1:], len(path)
		if end >= 0 {
			segment, next = path[i+1:i+1+end], i+1+end
		}
		isEmpty := segment == "" && next < len(path)
		if isEmpty || segment == "." || segment == ".." || strings.IndexByte(segment, '\\') >= 0 {
			return errAmbiguousPath
		}
		i = next
	}
	return nil
}

// hexValue returns the value of a hexadecimal digit, or -1 for other bytes.
func hexValue(c byte) int {
	switch {
	case '0' <= c && c <= '9':
		return int(c - '0')
	case 'a' <= c && c <= 'f':
		return int(c-'a') + 10
	case 'A' <= c && c <= 'F':
		return int(c-'A') + 10
	}
	return -1
}

// isUnreserved reports whether a byte is unreserved, so that it needs no encoding (RFC 3986, 2.3).
func isUnreserved(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || strings.IndexByte("-._~", c) >= 0
}
