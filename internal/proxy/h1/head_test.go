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

const usable = "POST /entry/7?x=%41&y HTTP/1.1\r\nHost: a.example:80\r\nX-Request-ID: r1\r\n" +
	"x-timeout:\t480m \r\nContent-Length: 3\r\n\r\n"

func read(b string) (Head, int, error) {
	var p Parser
	var h Head
	n, err := p.Parse([]byte(b), &h)
	return h, n, err
}

func TestHead(t *testing.T) {
	h, n, err := read(usable + "abcGET /next")
	if err != nil || n != len(usable) {
		t.Fatalf("%d bytes, error %v, want %d", n, err, len(usable))
	}
	want := Head{
		Method: "POST", Target: "/entry/7?x=%41&y", Host: "a.example:80", Length: 3,
		Fields: []Field{{"Host", "a.example:80"}, {"X-Request-Id", "r1"}, {"X-Timeout", "480m"}, {"Content-Length", "3"}},
	}
	if !reflect.DeepEqual(h, want) {
		t.Errorf("%+v, want %+v", h, want)
	}
}

// In parts of any size a head is the same, and nothing is said before its last byte.
func TestHeadInParts(t *testing.T) {
	var p Parser
	var h Head
	for i := range usable {
		n, err := p.Parse([]byte(usable[:i+1]), &h)
		if err != nil || (n != 0) != (i+1 == len(usable)) {
			t.Fatalf("after %d of %d bytes: %d, error %v", i+1, len(usable), n, err)
		}
	}
	if whole, _, _ := read(usable); !reflect.DeepEqual(h, whole) {
		t.Errorf("%+v, in one part %+v", h, whole)
	}
}

// What two readers may take differently has its fixed status.
func TestAmbiguousHeadsAreRejected(t *testing.T) {
	line, host := "POST / HTTP/1.1\r\n", "Host: a\r\n"
	for text, status := range map[string]int{
		// an empty line first:
		"\r\n" + usable: 400,
		"\n":            400,
		// before any line end:
		"\x00\x01 noise":                                       400,
		"GET / HTTP/1.1\nHost: a\n\n":                          400, // bare LF
		"GET / HTTP/1.1\r\nHost: a\n\r\n":                      400,
		"GET / HTTP/1.1\r\nX: a\rb\r\n\r\n":                    400, // bare CR
		"GET  / HTTP/1.1\r\nHost: a\r\n\r\n":                   400,
		"GET /a b HTTP/1.1\r\nHost: a\r\n\r\n":                 400,
		"GET / HTTP/1.1 \r\nHost: a\r\n\r\n":                   400,
		"G@T / HTTP/1.1\r\nHost: a\r\n\r\n":                    400,
		"GET http://b/ HTTP/1.1\r\nHost: a\r\n\r\n":            400, // against Host
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
		var bad *Error
		if _, n, err := read(text); !errors.As(err, &bad) || bad.Status != status {
			t.Errorf("%.70q: %d bytes, error %v, want %d", text, n, err, status)
		}
	}
}

// whyStricter are the reasons for which we reject what net/http's reader takes.
var whyStricter = map[*Error]string{
	errLineEnd: "it takes a bare LF as a line's end, and others do not (RFC 9112, 2.2)",
	errControl: "it waits for the line's end", errHeadTooLong: "its bound is its server's",
	errTooManyFields: "it has no bound on the count",
	errRequestLine:   "it takes any spaces and versions that its server rejects",
	errTarget:        "only the origin form, without a fragment, names a class",
	errVersion:       "it takes 1.0 with Transfer-Encoding and drops that",
	errFoldedField:   "it joins folded lines (RFC 9112, 5.2)",
	errHost:          "its server checks Host, its reader does not",
	errLength:        "it takes the same length given twice", errBodyTooLong: "the body's bound comes later there",
	errTransferEncoding: "it passes over Content-Length beside chunks (RFC 9112, 6.1: an attack, maybe)",
	errExpect:           "its server checks that",
	errConnection:       "it passes over what is no token", errMethod: "",
	errFieldName: "it takes white space before the colon (RFC 9112, 5.1)", errFieldValue: "its server checks that",
}

// What we accept net/http accepts, as the same request; where it accepts and we don't, the reason is in the list.
func FuzzAgainstNetHTTP(f *testing.F) {
	for _, seed := range []string{
		usable, "GET /up HTTP/1.1\r\nHost: a\r\n\r\n", "GET / HTTP/1.0\r\n\r\n",
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
		oracle, refused := http.ReadRequest(bufio.NewReaderSize(strings.NewReader(string(b)), 64<<10))
		if err != nil {
			var bad *Error
			if !errors.As(err, &bad) || refused == nil && whyStricter[bad] == "" {
				t.Errorf("%q: %v, net/http takes it and no reason is listed", b, err)
			}
			return
		}
		if n == 0 {
			return
		}
		if refused != nil {
			t.Fatalf("%q: accepted, net/http says %v", b, refused)
		}
		target := oracle.RequestURI
		if h.authority != "" { // it leaves that to whoever asks
			target = oracle.URL.RequestURI()
		}
		if oracle.Method != h.Method || target != h.Target && h.authority == "" ||
			oracle.Host != h.Host || oracle.Close && !h.Close {
			t.Errorf("%q: %+v, net/http has %s %s of %q, close %v",
				b, h, oracle.Method, oracle.RequestURI, oracle.Host, oracle.Close)
		}
		if length := max(h.Length, 0); oracle.ContentLength != length && !(h.Chunked && oracle.ContentLength == -1) {
			t.Errorf("%q: length %d, net/http has %d", b, h.Length, oracle.ContentLength)
		}
		header := h.EndToEnd()
		for _, name := range []string{
			"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Upgrade", "Expect",
			"Content-Length", "X-Server-Load",
		} {
			delete(oracle.Header, name)
		}
		if h.Get("Connection") != "" || h.Get("Pragma") != "" { // net/http edits the one, and the other names fields
			return
		}
		if !reflect.DeepEqual(header, oracle.Header) {
			t.Errorf("%q: fields %v, net/http has %v", b, header, oracle.Header)
		}
		body, err := io.ReadAll(oracle.Body)
		if h.Chunked {
			ours, done, failed := decodeChunks(b[n:], len(b))
			if done && (err != nil || string(ours) != string(body)) {
				t.Errorf("%q: chunks hold %q, net/http has %q, %v", b, ours, body, err)
			}
			if !done && failed == nil && err == nil {
				t.Errorf("%q: unfinished, net/http has the whole", b)
			}
			return
		}
		if told := max(h.Length, 0); int64(len(b)-n) >= told && (err != nil || string(body) != string(b[n:int64(n)+told])) {
			t.Errorf("%q: body %q, error %v, net/http's differs", b, body, err)
		}
	})
}

// What is written net/http reads back; fields of the connection and values that would end a field are left out.
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
		t.Errorf("body %q, error %v, header %v, want %v", body, err, res.Header, want)
	}
	rejection := Response{Status: 503, RetryAfter: 1250e6}
	const wantRejection = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nRetry-After: 1.250\r\n\r\n"
	if got := string(rejection.Append(nil)); got != wantRejection {
		t.Errorf("%q", got)
	}
}

func BenchmarkHead(b *testing.B) {
	head := []byte(usable)
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

// Under a limit of its own a parser takes fields and request line up to that, in parts of any size, and never waits
// for more than MaxBytes.
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
					t.Fatalf("%+v in parts of %d: %d bytes and nothing said", c, part, at)
				}
				at = min(at+part, len(b))
				n, err = p.Parse(b[:at], new(Head))
			}
			bad := (*Error)(nil)
			accepted := err == nil && n == len(b)
			if c.status == 0 && !accepted || c.status != 0 && (!errors.As(err, &bad) || bad.Status != c.status) {
				t.Errorf("%+v in parts of %d: %d bytes, %v", c, part, n, err)
			}
			if p.Reset(); p.MaxBytes() != 2*limit {
				t.Error("the limit is gone with the head")
			}
		}
	}
}
