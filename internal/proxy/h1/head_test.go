package h1

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"reflect"
	"strings"
	"testing"
)

// validHead is a valid head with names in different letter cases and white space around a value.
const validHead = "POST /entry/7?x=%41&y HTTP/1.1\r\nHost: a.example:80\r\nX-Request-ID: r1\r\n" +
	"x-timeout:\t480m \r\nContent-Length: 3\r\n\r\n"

// parseHead parses a head that is received in one part.
func parseHead(b string) (Head, int, error) {
	var p Parser
	var h Head
	n, err := p.Parse([]byte(b), &h)
	return h, n, err
}

// A valid head is parsed up to its end; the bytes after it are not used.
func TestHead(t *testing.T) {
	h, n, err := parseHead(validHead + "abcGET /next")
	if err != nil || n != len(validHead) {
		t.Fatalf("parsed %d bytes, error %v; want %d bytes", n, err, len(validHead))
	}
	want := Head{
		Method: "POST", Target: "/entry/7?x=%41&y", Host: "a.example:80", Length: 3,
		Fields: []Field{{"Host", "a.example:80"}, {"X-Request-Id", "r1"}, {"X-Timeout", "480m"}, {"Content-Length", "3"}},
	}
	if !reflect.DeepEqual(h, want) {
		t.Errorf("head is %+v, want %+v", h, want)
	}
}

// A head received byte by byte is parsed to the same result, and no result is returned before its last byte.
func TestHeadInParts(t *testing.T) {
	var p Parser
	var h Head
	for i := range validHead {
		n, err := p.Parse([]byte(validHead[:i+1]), &h)
		if err != nil || (n != 0) != (i+1 == len(validHead)) {
			t.Fatalf("after %d of %d bytes Parse returned %d, error %v; want 0 until the last byte", i+1, len(validHead), n, err)
		}
	}
	if whole, _, _ := parseHead(validHead); !reflect.DeepEqual(h, whole) {
		t.Errorf("head received in parts is %+v, in one part %+v", h, whole)
	}
}

// Heads that two readers may interpret differently are rejected with a fixed status.
func TestAmbiguousHeadsAreRejected(t *testing.T) {
	line, host := "POST / HTTP/1.1\r\n", "Host: a\r\n"
	for text, status := range map[string]int{
		// an empty line before the request line:
		"\r\n" + validHead: 400,
		"\n":               400,
		// malformed bytes before the first line end:
		"\x00\x01 noise":                                       400,
		"GET / HTTP/1.1\nHost: a\n\n":                          400, // bare LF
		"GET / HTTP/1.1\r\nHost: a\n\r\n":                      400,
		"GET / HTTP/1.1\r\nX: a\rb\r\n\r\n":                    400, // bare CR
		"GET  / HTTP/1.1\r\nHost: a\r\n\r\n":                   400,
		"GET /a b HTTP/1.1\r\nHost: a\r\n\r\n":                 400,
		"GET / HTTP/1.1 \r\nHost: a\r\n\r\n":                   400,
		"G@T / HTTP/1.1\r\nHost: a\r\n\r\n":                    400,
		"GET http://b/ HTTP/1.1\r\nHost: a\r\n\r\n":            400, // differs from Host
		"GET http:///x HTTP/1.1\r\nHost: a\r\n\r\n":            400,
		"GET http://u@a/x HTTP/1.1\r\nHost: u@a\r\n\r\n":       400,
		"GET ftp://a/x HTTP/1.1\r\nHost: a\r\n\r\n":            400,
		"GET * HTTP/1.1\r\nHost: a\r\n\r\n":                    400,
		"GET /\x80 HTTP/1.1\r\nHost: a\r\n\r\n":                400,
		"GET /%4 HTTP/1.1\r\nHost: a\r\n\r\n":                  400,
		"GET /#x HTTP/1.1\r\nHost: a\r\n\r\n":                  400,
		"GET / HTTP/2.0\r\nHost: a\r\n\r\n":                    505,
		"GET / HTTP/1.10\r\nHost: a\r\n\r\n":                   400,
		"GET / http/1.1\r\nHost: a\r\n\r\n":                    400,
		"GET / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n": 505,
		line + "\r\n":                                                                              400, // no Host
		line + host + host + "\r\n":                                                                400,
		line + "Host: a/b\r\n\r\n":                                                                 400,
		line + host + " folded\r\n\r\n":                                                            400,
		line + host + "X : 1\r\n\r\n":                                                              400,
		line + host + "X\r\n\r\n":                                                                  400,
		line + host + ": 1\r\n\r\n":                                                                400,
		line + host + "X: a\x00b\r\n\r\n":                                                          400,
		line + host + "Content-Length: +1\r\n\r\n":                                                 400,
		line + host + "Content-Length: -1\r\n\r\n":                                                 400,
		line + host + "Content-Length: 1,1\r\n\r\n":                                                400,
		line + host + "Content-Length:\r\n\r\n":                                                    400,
		line + host + "Content-Length: 1\r\nContent-Length: 1\r\n\r\n":                             400,
		line + host + "Content-Length: 9999999999999999999\r\n\r\n":                                413,
		line + host + "Transfer-Encoding: gzip, chunked\r\n\r\n":                                   400,
		line + host + "Transfer-Encoding: chunked, identity\r\n\r\n":                               400,
		line + host + "Transfer-Encoding: xchunked\r\n\r\n":                                        400,
		line + host + "Transfer-Encoding:\r\n\r\n":                                                 400,
		line + host + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n":           400,
		line + host + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n":                    400,
		line + host + "Transfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n":                    400,
		line + host + "Expect: 200-maybe\r\n\r\n":                                                  417,
		line + host + strings.Repeat("X: 1\r\n", MaxFields) + "\r\n":                               431,
		line + host + "X: " + strings.Repeat("x", DefaultMaxHeadBytes):                             431,
		line + host + "X: " + strings.Repeat("x", DefaultMaxHeadBytes-len(line+host)) + "\r\n\r\n": 431,
	} {
		var malformed *Error
		if _, n, err := parseHead(text); !errors.As(err, &malformed) || malformed.Status != status {
			t.Errorf("%.70q: parsed %d bytes, error %v, want status %d", text, n, err, status)
		}
	}
}

// strictnessReasons are the reasons why the parser rejects requests that net/http's request reader accepts, by error.
// Errors with an empty reason are not accepted by net/http either.
var strictnessReasons = map[*Error]string{
	errLineEnd: "net/http accepts a bare LF as the end of a line, other readers do not (RFC 9112, 2.2)",
	errControl: "net/http waits for the end of the line", errHeadTooLong: "net/http checks the size in its server",
	errTooManyFields: "net/http does not limit the number of fields",
	errRequestLine:   "net/http accepts other spaces, and versions that only its server rejects",
	errTarget:        "only a target in origin form without a fragment names a class",
	errVersion:       "net/http accepts HTTP/1.0 with Transfer-Encoding and ignores the field",
	errFoldedField:   "net/http joins folded lines (RFC 9112, 5.2)",
	errHost:          "net/http checks Host in its server, not in its reader",
	errLength:        "net/http accepts the same length given twice", errBodyTooLong: "net/http limits the body later",
	errTransferEncoding: "net/http ignores Content-Length with chunks (RFC 9112, 6.1: possibly an attack)",
	errExpect:           "net/http checks Expect in its server",
	errConnection:       "net/http ignores an element that is not a token", errMethod: "",
	errFieldName:  "net/http accepts white space before the colon (RFC 9112, 5.1)",
	errFieldValue: "net/http checks the value in its server",
}

// Each request that the parser accepts is accepted by net/http as the same request. If only net/http accepts a
// request, strictnessReasons must have a reason for the parser's error.
func FuzzAgainstNetHTTP(f *testing.F) {
	for _, seed := range []string{
		validHead, "GET /up HTTP/1.1\r\nHost: a\r\n\r\n", "GET / HTTP/1.0\r\n\r\n",
		"GET /%2F?%zz HTTP/1.1\r\nHost: [::1]:80\r\nConnection: close, x\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\nx",
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"GET / HTTP/1.1\nHost: a\n\n", "GET / HTTP/1.1\r\nHost: a\r\nX: a\r\n b\r\n\r\n",
		"GET //a/b HTTP/1.1\r\nHost:\r\nExpect: 100-continue\r\n\r\n",
		"POST http://a/b?c HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: Chunked\r\n\r\n" +
			"5;x=\"y\"\r\nhello\r\n00 \r\nT: 1\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: a\r\nCookie: a\r\nCookie: b\r\nX-\xff: 1\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var p Parser
		var h Head
		n, err := p.Parse(b, &h)
		oracle, oracleErr := http.ReadRequest(bufio.NewReaderSize(strings.NewReader(string(b)), 64<<10))
		if err != nil {
			var malformed *Error
			if !errors.As(err, &malformed) || oracleErr == nil && strictnessReasons[malformed] == "" {
				t.Errorf("%q: parser error %v, but net/http accepts the request and strictnessReasons has no reason", b, err)
			}
			return
		}
		if n == 0 {
			return
		}
		if oracleErr != nil {
			t.Fatalf("%q: the parser accepts the request, net/http rejects it: %v", b, oracleErr)
		}
		target := oracle.RequestURI
		if h.authority != "" { // net/http leaves the split of an absolute target to its caller
			target = oracle.URL.RequestURI()
		}
		if oracle.Method != h.Method || target != h.Target && h.authority == "" ||
			oracle.Host != h.Host || oracle.Close && !h.Close {
			t.Errorf("%q: parsed %+v, net/http parsed %s %s for host %q, close %v",
				b, h, oracle.Method, oracle.RequestURI, oracle.Host, oracle.Close)
		}
		if length := max(h.Length, 0); oracle.ContentLength != length && !(h.Chunked && oracle.ContentLength == -1) {
			t.Errorf("%q: body length is %d, net/http has %d", b, h.Length, oracle.ContentLength)
		}
		header := h.EndToEnd()
		for _, name := range []string{
			"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Upgrade", "Expect",
			"Content-Length", "X-Server-Load",
		} {
			delete(oracle.Header, name)
		}
		// net/http adds a Cache-Control field for Pragma, and EndToEnd omits the fields that Connection names.
		if h.Get("Connection") != "" || h.Get("Pragma") != "" {
			return
		}
		if !reflect.DeepEqual(header, oracle.Header) {
			t.Errorf("%q: end-to-end fields are %v, net/http has %v", b, header, oracle.Header)
		}
		body, err := io.ReadAll(oracle.Body)
		if h.Chunked {
			decoded, done, decodeErr := decodeChunks(b[n:], len(b))
			if done && (err != nil || string(decoded) != string(body)) {
				t.Errorf("%q: decoded chunked body %q, net/http has %q, error %v", b, decoded, body, err)
			}
			if !done && decodeErr == nil && err == nil {
				t.Errorf("%q: the decoder has not reached the end of the body, net/http has", b)
			}
			return
		}
		if declared := max(h.Length, 0); int64(len(b)-n) >= declared &&
			(err != nil || string(body) != string(b[n:int64(n)+declared])) {
			t.Errorf("%q: net/http reads the body as %q, error %v, which differs from the bytes after the head", b, body, err)
		}
	})
}

// net/http reads a written response back as the same. Hop-by-hop fields, and values with bytes that would end a
// field, are left out.
func TestResponse(t *testing.T) {
	a := Response{
		Status: 200, Length: 2, Close: true, Date: "Tue, 01 Dec 2026 11:00:00 GMT",
		Header: http.Header{
			"X-Kept": {"1", "2"}, "Connection": {"close, x-hop"}, "X-Hop": {"1"}, "Content-Length": {"9"},
			"X-Bad": {"a\r\nX-Forged: 1"}, "Content-Type": {"text/hive"},
		},
	}
	res, err := http.ReadResponse(bufio.NewReader(strings.NewReader(string(a.Append(nil))+"ok")), nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(res.Body)
	want := http.Header{"X-Kept": {"1", "2"}, "Content-Length": {"2"}, "Date": {a.Date}, "Content-Type": {"text/hive"}}
	if err != nil || string(body) != "ok" || !res.Close || !reflect.DeepEqual(res.Header, want) {
		t.Errorf("body is %q, error %v, header %v; want body ok, Connection: close and header %v",
			body, err, res.Header, want)
	}
	rejection := Response{Status: 503, RetryAfter: 1250e6}
	const wantRejection = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nRetry-After: 1.250\r\n\r\n"
	if got := string(rejection.Append(nil)); got != wantRejection {
		t.Errorf("the head of the rejection is %q, want status 503 and Retry-After: 1.250", got)
	}
}

func BenchmarkHead(b *testing.B) {
	head := []byte(validHead)
	for i := range 8 {
		head = append(head[:len(head)-2], fmt.Sprintf("X-Field-%d: some value\r\n\r\n", i)...)
	}
	var p Parser
	var h Head
	for b.Loop() {
		p.Reset()
		if n, err := p.Parse(head, &h); n == 0 || err != nil {
			b.Fatal(err)
		}
	}
	b.ReportAllocs()
}

// A parser with a limit set by SetLimit accepts fields and a request line up to that size each, received in parts of
// any size, and never waits for more than MaxBytes.
func TestParserLimit(t *testing.T) {
	const limit = 700
	head := func(line, fields int) string {
		path := strings.Repeat("p", line-len("GET / HTTP/1.1\r\n"))
		value := strings.Repeat("x", fields-len("Host: a\r\nX: \r\n\r\n"))
		return "GET /" + path + " HTTP/1.1\r\nHost: a\r\nX: " + value + "\r\n\r\n"
	}
	for _, c := range []struct{ line, fields, status int }{
		{limit, limit, 0}, {limit, limit + 1, 431}, {limit + 1, 100, 414}, {100, 4 * limit, 431}, {4 * limit, 100, 414},
	} {
		for _, part := range []int{1, 7, limit, 10 * limit} {
			var p Parser
			p.SetLimit(limit)
			b, n, at := []byte(head(c.line, c.fields)), 0, 0
			var err error
			for n == 0 && err == nil {
				if at == len(b) || at >= p.MaxBytes() && at > part {
					t.Fatalf("%+v in parts of %d: no result after %d bytes, want a head or an error", c, part, at)
				}
				at = min(at+part, len(b))
				n, err = p.Parse(b[:at], new(Head))
			}
			malformed := (*Error)(nil)
			accepted := err == nil && n == len(b)
			if c.status == 0 && !accepted || c.status != 0 && (!errors.As(err, &malformed) || malformed.Status != c.status) {
				t.Errorf("%+v in parts of %d: parsed %d bytes, error %v; want the status given (0: accepted)", c, part, n, err)
			}
			if p.Reset(); p.MaxBytes() != 2*limit {
				t.Error("Reset changed the limit of the parser, want it kept")
			}
		}
	}
}
