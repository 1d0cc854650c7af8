// Package h1 reads the heads of HTTP/1.1 requests and writes the heads of answers, over the caller's buffers and
// without I/O. It is strict: what RFC 9112 lets two readers take differently is an error here, as a request may be
// read by others behind us. Whatever it accepts, net/http's reader accepts too, as the same request (a fuzz test says so).
package h1

import (
	"bytes"
	"net/http"
	"net/textproto"
	"strings"
)

const (
	// HeadLimit bounds a head in bytes, its last empty line included: an endless one must not hold memory.
	DefaultMaxHeadBytes = 16 << 10
	// FieldLimit bounds the count of a head's fields: looking one up walks over them.
	FieldLimit = 100
	// FieldLimitBySize is the same for a parser with a limit of its own, which bounds bytes and tells no count: an
	// ordinary head of any size has fewer, and one made of empty fields is still stopped.
	FieldLimitBySize = 1000
	// lengthDigits bounds a Content-Length's digits; more are no length that anybody sends.
	lengthDigits = 18
)

// Error is why a head can't be read: the status that its client gets (RFC 9110, 15.5 and 15.6), and the reason.
// Where the request ends is not known then: its connection has to be closed.
type Error struct {
	Status int
	Reason string
}

func (e *Error) Error() string { return e.Reason }

var (
	errLineEnd   = &Error{http.StatusBadRequest, "a line ends in a bare LF or holds a bare CR"}
	errControl   = &Error{http.StatusBadRequest, "the head holds a control byte"}
	errLong      = &Error{http.StatusRequestHeaderFieldsTooLarge, "the head is too long"}
	errLongLine  = &Error{http.StatusRequestURITooLong, "the request line is too long"}
	errMany      = &Error{http.StatusRequestHeaderFieldsTooLarge, "the head has too many fields"}
	errLine      = &Error{http.StatusBadRequest, "the request line is malformed"}
	errMethod    = &Error{http.StatusBadRequest, "the method is no token"}
	errTarget    = &Error{http.StatusBadRequest, "the target is no path"}
	errVersion   = &Error{http.StatusHTTPVersionNotSupported, "HTTP/1.1 is needed"}
	errFold      = &Error{http.StatusBadRequest, "a field is folded"}
	errName      = &Error{http.StatusBadRequest, "a field's name is no token, or white space stands before its colon"}
	errValue     = &Error{http.StatusBadRequest, "a field's value holds a control byte"}
	errHost      = &Error{http.StatusBadRequest, "Host is missing, given twice or malformed"}
	errLength    = &Error{http.StatusBadRequest, "Content-Length is malformed or given twice"}
	errTooLong   = &Error{http.StatusRequestEntityTooLarge, "the body is too long"}
	errTransfer  = &Error{http.StatusBadRequest, "Transfer-Encoding is not chunked alone, or Content-Length stands beside it"}
	errExpect    = &Error{http.StatusExpectationFailed, "Expect is not 100-continue"}
	errConnected = &Error{http.StatusBadRequest, "Connection is malformed"}
)

// Field is one header field; its name is in canonical form (X-Request-Id), its value has no white space around it.
type Field struct{ Name, Value string }

// Head is the head of a request. A parser fills it in; its strings share one copy of the head, not the caller's buffer.
type Head struct {
	Method         string
	Target         string // origin form (RFC 9112, 3.2.1): it begins with a slash, or is * for OPTIONS
	Host           string
	HTTP10         bool  // HTTP/1.0: no kept connection, and nothing but GET without a body is to be trusted
	Length         int64 // of the body in bytes, -1 where none is told
	Chunked        bool  // the body comes in chunks; Length is -1 then
	Close          bool  // the client wants the connection closed behind the answer
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
		if f.Name == "Host" || connectionField(f.Name) {
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

// Parser reads one head that comes in parts. The zero value is ready and goes by DefaultMaxHeadBytes and FieldLimit; Reset and
// SetLimit begin a new head.
type Parser struct {
	limit  int // bytes of the fields, and of the request line; 0: HeadLimit for both together
	seen   int // bytes looked at for line ends
	line   int // where the line under way begins
	fields int // where the fields begin
	lines  int // that are whole
}

// Reset begins a new head under the limit that holds.
func (p *Parser) Reset() { *p = Parser{limit: p.limit} }

// SetLimit begins a new head whose fields, the empty line behind them included, may have so many bytes, and its request
// line as many again; 0: both together have HeadLimit.
func (p *Parser) SetLimit(bytes int) { *p = Parser{limit: bytes} }

// MaxBytes is how many bytes a head may have: a buffer of that size is never full without a head or an error.
func (p *Parser) MaxBytes() int {
	if p.limit == 0 {
		return DefaultMaxHeadBytes
	}
	return 2 * p.limit
}

// tooLong says whether a head of so many bytes is over the limit.
func (p *Parser) tooLong(size int) bool {
	if p.limit == 0 {
		return size > DefaultMaxHeadBytes
	}
	return size-p.fields > p.limit
}

// maxFields is how many fields a head may have.
func (p *Parser) maxFields() int {
	if p.limit == 0 {
		return FieldLimit
	}
	return FieldLimitBySize
}

// Parse looks at all that has come of a head so far, which must begin with what it was given before. It returns how many
// bytes the head has, 0 where more have to come. An error is an *Error.
func (p *Parser) Parse(b []byte, h *Head) (int, error) {
	for p.seen < len(b) {
		i := bytes.IndexByte(b[p.seen:], '\n')
		if i < 0 {
			// Noise without a line end is an error now, not once it is too long or its time is over.
			if p.lines == 0 && !plausible(b[p.line:]) {
				return 0, errControl
			}
			p.seen = len(b)
			break
		}
		end := p.seen + i
		if end == 0 || b[end-1] != '\r' {
			return 0, errLineEnd
		}
		p.seen = end + 1
		if end-1 == p.line { // an empty line
			if p.lines == 0 {
				return 0, errLine
			}
			if p.tooLong(p.seen) {
				return 0, errLong
			}
			return p.seen, h.parse(b[:p.seen])
		}
		if p.lines++; p.lines > p.maxFields()+1 {
			return 0, errMany
		}
		if p.line = p.seen; p.lines == 1 {
			p.fields = p.seen
			if p.limit > 0 && p.fields > p.limit {
				return 0, errLongLine
			}
		}
	}
	switch { // a whole head of the longest size would have ended
	case p.limit > 0 && p.lines == 0 && len(b) >= p.limit:
		return 0, errLongLine
	case p.tooLong(len(b) + 1):
		return 0, errLong
	}
	return 0, nil
}

// plausible says whether the part of a request line may become one.
func plausible(line []byte) bool {
	for _, c := range line {
		if c < ' ' && c != '\r' || c >= 0x7f {
			return false
		}
	}
	return true
}

// parse reads a whole head, whose lines all end in CR LF.
func (h *Head) parse(b []byte) error {
	text := string(b) // the one copy
	*h = Head{Length: -1, Fields: h.Fields[:0]}
	line, rest, _ := strings.Cut(text, "\r\n")
	if err := h.requestLine(line); err != nil {
		return err
	}
	for {
		line, rest, _ = strings.Cut(rest, "\r\n")
		if line == "" {
			break
		}
		if err := h.field(line); err != nil {
			return err
		}
	}
	return h.framing()
}

// requestLine reads RFC 9112, 3: exactly one space on either side of the target.
func (h *Head) requestLine(line string) error {
	method, rest, ok := strings.Cut(line, " ")
	target, version, ok2 := strings.Cut(rest, " ")
	if !ok || !ok2 {
		return errLine
	}
	if !isToken(method) {
		return errMethod
	}
	switch {
	case version == "HTTP/1.1":
	case version == "HTTP/1.0":
		h.HTTP10 = true
	case len(version) == len("HTTP/1.1") && strings.HasPrefix(version, "HTTP/") && digit(version[5]) && version[6] == '.' && digit(version[7]):
		return errVersion
	default:
		return errLine
	}
	switch {
	case target == "*" && method == http.MethodOptions:
		h.Method, h.Target = method, target
		return nil
	case target != "" && target[0] != '/':
		var ok bool
		if target, h.authority, ok = absolute(target); !ok {
			return errTarget
		}
	case target == "":
		return errTarget
	}
	for i := 0; i < len(target); i++ {
		switch c := target[i]; {
		case c <= ' ' || c >= 0x7f || c == '#':
			return errTarget
		case c == '%' && (i+2 >= len(target) || !hex(target[i+1]) || !hex(target[i+2])):
			if q := strings.IndexByte(target, '?'); q < 0 || i < q {
				return errTarget
			}
		}
	}
	h.Method, h.Target = method, target
	return nil
}

// absolute takes a target in absolute form apart (RFC 9112, 3.2.2), which every server must take.
func absolute(target string) (path, authority string, ok bool) {
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

// field reads one line of RFC 9112, 5.
func (h *Head) field(line string) error {
	if line[0] == ' ' || line[0] == '\t' {
		return errFold
	}
	colon := strings.IndexByte(line, ':')
	if colon <= 0 || !isToken(line[:colon]) {
		return errName
	}
	value := strings.Trim(line[colon+1:], " \t")
	for i := range len(value) {
		if c := value[i]; c < ' ' && c != '\t' || c == 0x7f {
			if c == '\r' {
				return errLineEnd
			}
			return errValue
		}
	}
	name, known := spelt[line[:colon]]
	if !known {
		name = textproto.CanonicalMIMEHeaderKey(line[:colon])
	}
	h.Fields = append(h.Fields, Field{name, value})
	return nil
}

// spelt saves an allocation for names that clients commonly write in another form than the canonical one.
var spelt = map[string]string{
	"X-Request-ID": "X-Request-Id", "X-Tenant-ID": "X-Tenant-Id", "host": "Host", "content-length": "Content-Length",
	"x-request-id": "X-Request-Id", "x-priority-class": "X-Priority-Class", "x-tenant-id": "X-Tenant-Id", "x-timeout": "X-Timeout",
	"x-route-key": "X-Route-Key", "idempotency-key": "Idempotency-Key", "content-type": "Content-Type", "user-agent": "User-Agent",
}

// framing reads what says where the request ends and what becomes of its connection.
func (h *Head) framing() error {
	hosts := 0
	transfer := ""
	for i := range h.Fields {
		value := h.Fields[i].Value
		switch h.Fields[i].Name {
		case "Host":
			hosts++
			h.Host = value
		case "Content-Length":
			if h.Length >= 0 || value == "" || strings.Trim(value, "0123456789") != "" {
				return errLength
			}
			if len(value) > lengthDigits {
				return errTooLong
			}
			h.Length = 0
			for j := range len(value) {
				h.Length = 10*h.Length + int64(value[j]-'0')
			}
		case "Transfer-Encoding":
			if transfer != "" { // lists over several fields: two readers may take different ones
				return errTransfer
			}
			if transfer = strings.ToLower(value); transfer == "" {
				return errTransfer
			}
		case "Expect":
			if !strings.EqualFold(value, "100-continue") {
				return errExpect
			}
			h.ExpectContinue = true
		case "Connection":
			for name := range strings.SplitSeq(value, ",") {
				name = strings.Trim(name, " \t")
				if name != "" && !isToken(name) {
					return errConnected
				}
				h.Close = h.Close || strings.EqualFold(name, "close")
			}
		}
	}
	if h.HTTP10 { // Host is not needed there, and Transfer-Encoding means nothing or something, by reader
		h.Close = true
		if transfer != "" {
			return errVersion
		}
	} else if hosts == 0 {
		return errHost
	}
	if transfer != "" {
		if transfer != "chunked" || h.Length >= 0 {
			return errTransfer
		}
		h.Chunked = true
	}
	if hosts > 1 || !isHost(h.Host) {
		return errHost
	}
	if h.authority != "" && !strings.EqualFold(h.authority, h.Host) {
		return errHost // RFC 9112, 3.2.2 has the target's go first; who goes by Host takes it for another service's request
	}
	return nil
}

// isHost says whether all bytes of a Host may stand in one (RFC 3986, 3.2.2: reg-name, IP-literal, port).
func isHost(host string) bool {
	for i := range len(host) {
		switch c := host[i]; {
		case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', digit(c):
		case strings.IndexByte("-._~%!$&'()*+,;=:[]", c) >= 0:
		default:
			return false
		}
	}
	return true
}

// token are RFC 9110, 5.6.2's tchar.
var token = func() (t [256]bool) {
	for c := range 256 {
		b := byte(c)
		t[c] = 'a' <= b && b <= 'z' || 'A' <= b && b <= 'Z' || digit(b) || b != 0 && strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
	}
	return t
}()

func isToken(text string) bool {
	for i := range len(text) {
		if !token[text[i]] {
			return false
		}
	}
	return text != ""
}

func digit(c byte) bool { return '0' <= c && c <= '9' }

func hex(c byte) bool { return digit(c) || 'a' <= c && c <= 'f' || 'A' <= c && c <= 'F' }
