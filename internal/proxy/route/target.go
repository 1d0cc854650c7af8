// Package route matches a request to a pool. It is free of I/O and compiled once: a request costs a bounded
// number of look-ups, whatever is in it.
package route

import (
	"errors"
	"net/netip"
	"strings"
)

// Bounds of what is matched; longer hosts (RFC 1035, 2.3.4) and paths are errors.
const (
	maxHost = 253
	maxPath = 8 << 10
)

// NewRequest is what of a request counts for its route; an error says what in it can be read in two ways.
func NewRequest(hostField, target, method, class string) (Request, error) {
	// The form with a scheme and host may disagree with Host, and two readers heed different ones.
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

// FirstSegment is the first part of a path: where the protocol has a request's class.
func FirstSegment(path string) string {
	first, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return first
}

// Host brings a Host header's value into the one form that rules are written in: lower case, without port and
// trailing dot; an IPv6 literal without its brackets, in its canonical text (RFC 9110, 7.2; RFC 3986, 3.2.2).
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
	if host == "" || len(host) > maxHost {
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

// isPort says whether text is empty, or a colon and a port's digits (none at all are allowed: RFC 3986, 3.2.3).
func isPort(text string) bool {
	if text == "" {
		return true
	}
	return text[0] == ':' && len(text) <= 6 && strings.Trim(text[1:], "0123456789") == ""
}

var errPath = errors.New("the path can be read in more than one way: a dot segment, an empty segment, " +
	"a backslash, or an encoded slash, backslash or NUL")

// Path brings a request target's path (no query) into the one form that rules are written in: what is
// percent-encoded without need is decoded, once (RFC 3986, 6.2.2.2). A path that two readers may take for
// different ones is an error, and so nothing can be reached under the name of another: dot segments,
// empty segments before the last, backslashes, and encoded slashes, backslashes, percent signs and NULs.
func Path(raw string) (string, error) {
	if raw == "" || raw[0] != '/' || len(raw) > maxPath {
		return "", errors.New("the path doesn't begin with a slash, or is too long")
	}
	path := raw
	if strings.IndexByte(raw, '%') >= 0 {
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
			hi, lo := hex(raw[i+1]), hex(raw[i+2])
			if hi < 0 || lo < 0 {
				return "", errors.New("the path has a percent sign with no byte behind it")
			}
			switch c := byte(hi<<4 | lo); {
			case c == '/' || c == '\\' || c == 0 || c == '%':
				return "", errPath
			case unreserved(c):
				b.WriteByte(c)
			default: // it means what it is: kept, in upper case
				b.WriteString("%" + strings.ToUpper(raw[i+1:i+3]))
			}
			i += 2
		}
		path = b.String()
	}
	for i := 0; i < len(path); {
		end := strings.IndexByte(path[i+1:], '/')
		segment, next := path[i+1:], len(path)
		if end >= 0 {
			segment, next = path[i+1:i+1+end], i+1+end
		}
		if segment == "." || segment == ".." || segment == "" && next < len(path) || strings.IndexByte(segment, '\\') >= 0 {
			return "", errPath
		}
		i = next
	}
	return path, nil
}

func hex(c byte) int {
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

func unreserved(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || strings.IndexByte("-._~", c) >= 0
}
