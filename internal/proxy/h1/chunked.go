package h1

import "net/http"

const (
	chunkLineMost = 1 << 10 // bytes of a chunk's line, extensions included: endless ones must not be read for ever
	trailerMost   = 8 << 10 // bytes of all trailers
	sizeDigits    = 15      // of a chunk's size; more are no size that anybody sends
)

var (
	errChunkSize = &Error{http.StatusBadRequest, "a chunk's size is malformed"}
	errChunkExt  = &Error{http.StatusBadRequest, "a chunk's extensions are malformed or too long"}
	errChunkEnd  = &Error{http.StatusBadRequest, "a chunk or its line does not end in CR LF"}
	errTrailer   = &Error{http.StatusBadRequest, "the trailers are malformed or too long"}
)

type chunkState int

const (
	chunkSize  chunkState = iota // its digits
	chunkSpace                   // white space behind them, before an extension or the line's end
	chunkExt                     // what follows them
	chunkLF                      // the LF of its line
	chunkData                    // what it holds
	chunkCR                      // CR LF behind that
	chunkDataLF
	trailerStart // the beginning of a line of trailers
	trailerName
	trailerValue
	trailerLF
	lastLF
	chunksDone
)

// ChunkDecoder reads a body in chunks (RFC 9112, 7.1) that comes in pieces cut anywhere. Trailers and extensions are read over: nobody here has a use for them. It is as
// strict as the head's reader: what two readers may take differently is an error. The zero value is ready.
type ChunkDecoder struct {
	state  chunkState
	left   int64 // of the chunk's data, or of its size so far
	digits int
	line   int // bytes of the line under way
	total  int // bytes of trailers
}

// Done says that the whole body was read.
func (d *ChunkDecoder) Done() bool { return d.state == chunksDone }

// Next reads on in b: it returns how many bytes of it are read, and the last of them that are the body's. It returns when some are, when b is used up, and at the
// body's end, behind which it reads nothing.
func (d *ChunkDecoder) Next(b []byte) (used int, data []byte, err error) {
	for used < len(b) && d.state != chunksDone {
		if d.state == chunkData {
			n := int(min(d.left, int64(len(b)-used)))
			data = b[used : used+n]
			if d.left -= int64(n); d.left == 0 {
				d.state = chunkCR
			}
			return used + n, data, nil
		}
		if err := d.step(b[used]); err != nil {
			return used, nil, err
		}
		used++
	}
	return used, nil, nil
}

// step reads one byte that is not the body's own.
func (d *ChunkDecoder) step(c byte) error {
	switch d.state {
	case chunkSize:
		return d.size(c)
	case chunkSpace:
		switch {
		case c == ';':
			d.state = chunkExt
		case c == '\r':
			d.state = chunkLF
		case c != ' ' && c != '\t': // a second size, for some
			return errChunkSize
		}
		if d.line++; d.line > chunkLineMost {
			return errChunkExt
		}
	case chunkExt:
		if d.line++; d.line > chunkLineMost || c < ' ' && c != '\t' && c != '\r' || c == 0x7f {
			return errChunkExt
		}
		if c == '\r' {
			d.state = chunkLF
		}
	case chunkLF:
		if c != '\n' {
			return errChunkEnd
		}
		d.state, d.digits, d.line = chunkData, 0, 0
		if d.left == 0 {
			d.state = trailerStart
		}
	case chunkCR:
		if c != '\r' {
			return errChunkEnd
		}
		d.state = chunkDataLF
	case chunkDataLF:
		if c != '\n' {
			return errChunkEnd
		}
		d.state = chunkSize
	default:
		return d.trailer(c)
	}
	return nil
}

func (d *ChunkDecoder) size(c byte) error {
	v := int64(0)
	switch {
	case digit(c):
		v = int64(c - '0')
	case 'a' <= c && c <= 'f':
		v = int64(c-'a') + 10
	case 'A' <= c && c <= 'F':
		v = int64(c-'A') + 10
	case d.digits == 0:
		return errChunkSize
	case c == '\r':
		d.state = chunkLF
		return nil
	case c == ';':
		d.state = chunkExt
		return nil
	case c == ' ' || c == '\t': // RFC 9112, 7.1.1: to be read over
		d.state = chunkSpace
		return nil
	default:
		return errChunkSize
	}
	if d.digits++; d.digits > sizeDigits {
		return errChunkSize
	}
	d.left = d.left<<4 | v
	return nil
}

// trailer reads one byte behind the last chunk.
func (d *ChunkDecoder) trailer(c byte) error {
	if d.total++; d.total > trailerMost {
		return errTrailer
	}
	switch d.state {
	case trailerStart:
		switch {
		case c == '\r':
			d.state = lastLF
		case token[c]:
			d.state = trailerName
		default:
			return errTrailer
		}
	case trailerName:
		switch {
		case c == ':':
			d.state = trailerValue
		case !token[c]:
			return errTrailer
		}
	case trailerValue:
		switch {
		case c == '\r':
			d.state = trailerLF
		case c < ' ' && c != '\t' || c == 0x7f:
			return errTrailer
		}
	case trailerLF, lastLF:
		if c != '\n' {
			return errTrailer
		}
		if d.state == lastLF {
			d.state = chunksDone
			return nil
		}
		d.state = trailerStart
	}
	return nil
}

// A chunk's frame: its size stands before what it holds, CR LF behind it.
const (
	ChunkPrefixBytes = 10
	ChunkSuffixBytes = 2
	LastChunk        = "0\r\n\r\n"
)

// FrameChunk makes n bytes at b[ChunkPrefixBytes:] a chunk and returns it. b has room for ChunkSuffixBytes behind them, and n is above 0 and below 1<<32.
func FrameChunk(b []byte, n int) []byte {
	const digits = "0123456789abcdef"
	at := ChunkPrefixBytes
	put := func(c byte) { at--; b[at] = c }
	put('\n')
	put('\r')
	for size := n; size > 0; size >>= 4 {
		put(digits[size&15])
	}
	end := ChunkPrefixBytes + n
	b[end], b[end+1] = '\r', '\n'
	return b[at : end+ChunkSuffixBytes]
}
