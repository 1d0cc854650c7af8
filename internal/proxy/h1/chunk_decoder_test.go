package h1

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http/httputil"
	"strings"
	"testing"
)

// decodeChunks decodes a body that is received in pieces of the given size.
func decodeChunks(b []byte, piece int) (body []byte, done bool, err error) {
	var d ChunkDecoder
	for len(b) > 0 && !d.Done() {
		part := b[:min(max(piece, 1), len(b))]
		used, data, err := d.Next(part)
		body = append(body, data...)
		if err != nil {
			return body, false, err
		}
		b = b[used:]
	}
	return body, d.Done(), nil
}

// chunked is the chunked encoding of "hello, world" with extensions, white space and trailers.
const chunked = "5\r\nhello\r\n1;a=\"b;c\" \r\n,\r\n0006 ;x\r\n world\r\n0\r\nTrailer-A: 1\r\nB:\r\n\r\n"

// A small body is decoded to the same bytes for every pair of cut positions, and a large one for random piece sizes.
// Nothing is read past the end of the body.
func TestChunksInParts(t *testing.T) {
	input := chunked + "GET / next"
	for i := range len(input) {
		for j := i; j <= len(input); j++ {
			var d ChunkDecoder
			var got []byte
			unread := 0
			for _, part := range []string{input[:i], input[i:j], input[j:]} {
				for b := []byte(part); len(b) > 0; {
					used, data, err := d.Next(b)
					if err != nil {
						t.Fatalf("cut at %d and %d: decoding failed: %v", i, j, err)
					}
					got = append(got, data...)
					if b = b[used:]; d.Done() {
						unread += len(b)
						break
					}
				}
			}
			if string(got) != "hello, world" || !d.Done() || unread != len("GET / next") {
				t.Fatalf("cut at %d and %d: body %q, done %v, %d bytes unread; want \"hello, world\", true, 10",
					i, j, got, d.Done(), unread)
			}
		}
	}
	seed := rand.Uint64()
	rng := rand.New(rand.NewPCG(seed, 0))
	var wire, plain bytes.Buffer
	w := httputil.NewChunkedWriter(&wire)
	for range 200 {
		part := bytes.Repeat([]byte{byte(rng.Uint32())}, 1+rng.IntN(5000))
		plain.Write(part)
		_, _ = w.Write(part)
	}
	_ = w.Close()
	wire.WriteString("\r\n")
	for range 20 {
		got, done, err := decodeChunks(wire.Bytes(), 1+rng.IntN(3000))
		if !done || err != nil || !bytes.Equal(got, plain.Bytes()) {
			t.Fatalf("seed %d: decoded %d bytes of %d, done %v, error %v; want the same bytes and done",
				seed, len(got), plain.Len(), done, err)
		}
	}
}

// Malformed or oversized chunks and trailers are rejected with status 400.
func TestChunksMalformed(t *testing.T) {
	for _, text := range []string{
		"\r\n", "g\r\n", "-1\r\n", "+1\r\n", "0x1\r\n", " 1\r\n", "1\n", "1\rx", "1\r\nab", "1\r\na\n", "1\r\na\rx",
		"1;a\x00\r\n", "1;a\nb\r\n",
		"1234567890abcdef1\r\n", "1;" + strings.Repeat("x", maxChunkLineBytes+1), "0\r\n x: 1\r\n", "0\r\n:\r\n",
		"0\r\nX : 1\r\n", "0\r\nX\r\n", "0\r\n\n", "0\r\n\rx", "0\r\nX: \x01\r\n",
		"0\r\nX: " + strings.Repeat("x", maxTrailerBytes),
	} {
		var malformed *Error
		if body, done, err := decodeChunks([]byte(text), 3); !errors.As(err, &malformed) || malformed.Status != 400 {
			t.Errorf("%.30q: body %q, done %v, error %v; want an Error with status 400", text, body, done, err)
		}
	}
}

// A body that the decoder accepts is decoded to the same bytes by net/http/httputil, and in one piece as in several.
func FuzzChunks(f *testing.F) {
	for _, seed := range []string{
		chunked, "0\r\n\r\n", "1\r\na\r\n0\r\n\r\n", "1;;\r\na\r\n0 \r\n\r\n", "a\r\n0123456789\r\n0\r\n\r\nrest",
	} {
		f.Add([]byte(seed), 3)
	}
	f.Fuzz(func(t *testing.T, b []byte, piece int) {
		body, done, err := decodeChunks(b, piece)
		whole, wholeDone, wholeErr := decodeChunks(b, len(b))
		if wholeDone != done || (err == nil) != (wholeErr == nil) || string(whole) != string(body) {
			t.Fatalf("%q: in pieces of %d: body %q, done %v, error %v; at once: body %q, done %v, error %v; want the same",
				b, piece, body, done, err, whole, wholeDone, wholeErr)
		}
		if !done {
			return
		}
		if bytes.Contains(b, []byte(" ;")) || bytes.Contains(b, []byte("\t;")) {
			return // net/http rejects white space before an extension; RFC 9112, 7.1.1 requires it to be accepted
		}
		oracle, err := io.ReadAll(httputil.NewChunkedReader(bytes.NewReader(b)))
		if err != nil || string(oracle) != string(body) {
			t.Fatalf("%q: body %q, net/http/httputil decodes %q, error %v", b, body, oracle, err)
		}
	})
}

func BenchmarkChunks(b *testing.B) {
	piece := []byte(fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", 32<<10, strings.Repeat("x", 32<<10)))
	b.SetBytes(32 << 10)
	for b.Loop() {
		if _, done, err := decodeChunks(piece, len(piece)); !done || err != nil {
			b.Fatal(err)
		}
	}
}

// A chunk written by FrameChunk is decoded to the same data.
func TestFrameChunk(t *testing.T) {
	for _, n := range []int{1, 9, 15, 16, 255, 4096, 32 << 10} {
		b := make([]byte, ChunkPrefixBytes+n+ChunkSuffixBytes)
		copy(b[ChunkPrefixBytes:], strings.Repeat("x", n))
		text := string(FrameChunk(b, n)) + LastChunk
		body, done, err := decodeChunks([]byte(text), 7)
		if !done || err != nil || len(body) != n || strings.Trim(string(body), "x") != "" {
			t.Errorf("framed %d bytes: decoded %d bytes, done %v, error %v; want the same data and done",
				n, len(body), done, err)
		}
	}
}
