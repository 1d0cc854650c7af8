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

// decodeChunks reads a body that comes in pieces of a size.
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

const chunked = "5\r\nhello\r\n1;a=\"b;c\" \r\n,\r\n0006 ;x\r\n world\r\n0\r\nTrailer-A: 1\r\nB:\r\n\r\n"

// Every cut position of a small body, and random ones of a large one: the same bytes, and nothing read behind the end.
func TestChunksInParts(t *testing.T) {
	whole := chunked + "GET / next"
	for i := range len(whole) {
		for j := i; j <= len(whole); j++ {
			var d ChunkDecoder
			var got []byte
			rest := 0
			for _, part := range []string{whole[:i], whole[i:j], whole[j:]} {
				for b := []byte(part); len(b) > 0; {
					used, data, err := d.Next(b)
					if err != nil {
						t.Fatalf("cut at %d and %d: %v", i, j, err)
					}
					got = append(got, data...)
					if b = b[used:]; d.Done() {
						rest += len(b)
						break
					}
				}
			}
			if string(got) != "hello, world" || !d.Done() || rest != len("GET / next") {
				t.Fatalf("cut at %d and %d: %q, done %v, %d left", i, j, got, d.Done(), rest)
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
			t.Fatalf("seed %d: %d bytes of %d, done %v, %v", seed, len(got), plain.Len(), done, err)
		}
	}
}

func TestChunksMalformed(t *testing.T) {
	for _, text := range []string{
		"\r\n", "g\r\n", "-1\r\n", "+1\r\n", "0x1\r\n", " 1\r\n", "1\n", "1\rx", "1\r\nab", "1\r\na\n", "1\r\na\rx",
		"1;a\x00\r\n", "1;a\nb\r\n",
		"1234567890abcdef1\r\n", "1;" + strings.Repeat("x", maxChunkLineBytes+1), "0\r\n x: 1\r\n", "0\r\n:\r\n",
		"0\r\nX : 1\r\n", "0\r\nX\r\n", "0\r\n\n", "0\r\n\rx", "0\r\nX: \x01\r\n",
		"0\r\nX: " + strings.Repeat("x", maxTrailerBytes),
	} {
		var bad *Error
		if body, done, err := decodeChunks([]byte(text), 3); !errors.As(err, &bad) || bad.Status != 400 {
			t.Errorf("%.30q: %q, done %v, %v", text, body, done, err)
		}
	}
}

// What we take as a whole body an independent reader takes as the same one.
func FuzzChunks(f *testing.F) {
	for _, seed := range []string{
		chunked, "0\r\n\r\n", "1\r\na\r\n0\r\n\r\n", "1;;\r\na\r\n0 \r\n\r\n", "a\r\n0123456789\r\n0\r\n\r\nrest",
	} {
		f.Add([]byte(seed), 3)
	}
	f.Fuzz(func(t *testing.T, b []byte, piece int) {
		body, done, err := decodeChunks(b, piece)
		whole, again, err2 := decodeChunks(b, len(b))
		if again != done || (err == nil) != (err2 == nil) || string(whole) != string(body) {
			t.Fatalf("%q: in pieces of %d %q %v %v, at once %q %v %v", b, piece, body, done, err, whole, again, err2)
		}
		if !done {
			return
		}
		if bytes.Contains(b, []byte(" ;")) || bytes.Contains(b, []byte("\t;")) {
			return // net/http does not take white space before an extension; RFC 9112, 7.1.1 has it read
		}
		oracle, err := io.ReadAll(httputil.NewChunkedReader(bytes.NewReader(b)))
		if err != nil || string(oracle) != string(body) {
			t.Fatalf("%q: %q, net/http/httputil has %q, %v", b, body, oracle, err)
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

// What is framed is read back as the same.
func TestFrameChunk(t *testing.T) {
	for _, n := range []int{1, 9, 15, 16, 255, 4096, 32 << 10} {
		b := make([]byte, ChunkPrefixBytes+n+ChunkSuffixBytes)
		copy(b[ChunkPrefixBytes:], strings.Repeat("x", n))
		text := string(FrameChunk(b, n)) + LastChunk
		body, done, err := decodeChunks([]byte(text), 7)
		if !done || err != nil || len(body) != n || strings.Trim(string(body), "x") != "" {
			t.Errorf("%d bytes: %d, done %v, %v", n, len(body), done, err)
		}
	}
}
