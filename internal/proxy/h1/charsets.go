package h1

import (
	"strings"
)

// isHost returns whether a Host value has only bytes that are allowed in one (RFC 3986, 3.2.2: reg-name, IP-literal
// and port).
func isHost(host string) bool {
	for i := range len(host) {
		switch c := host[i]; {
		case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', isDigit(c):
		case strings.IndexByte("-._~%!$&'()*+,;=:[]", c) >= 0:
		default:
			return false
		}
	}
	return true
}

// tokenBytes says which bytes are allowed in a token: tchar in RFC 9110, 5.6.2.
var tokenBytes = func() (t [256]bool) {
	for c := range 256 {
		b := byte(c)
		isLetter := 'a' <= b && b <= 'z' || 'A' <= b && b <= 'Z'
		t[c] = isLetter || isDigit(b) || b != 0 && strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
	}
	return t
}()

// isToken returns whether a text is a token, which is never empty.
func isToken(text string) bool {
	for i := range len(text) {
		if !tokenBytes[text[i]] {
			return false
		}
	}
	return text != ""
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

func isHexDigit(c byte) bool { return isDigit(c) || 'a' <= c && c <= 'f' || 'A' <= c && c <= 'F' }
