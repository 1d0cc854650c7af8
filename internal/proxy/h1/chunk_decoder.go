package h1

import "net/http"

const (
	maxChunkLineBytes = 1 << 10 // length of a chunk's size line in bytes, so that endless extensions end in an error
	maxTrailerBytes   = 8 << 10 // length of all trailer lines in bytes
	maxSizeDigits     = 15      // hexadecimal digits of a size; real sizes are shorter, and 15 digits fit into an int64
)

var (
	errChunkSize      = &Error{http.StatusBadRequest, "a chunk's size is malformed"}
	errChunkExtension = &Error{http.StatusBadRequest, "a chunk's extensions are malformed or too long"}
	errChunkEnd       = &Error{http.StatusBadRequest, "a chunk or its line does not end in CR LF"}
	errTrailer        = &Error{http.StatusBadRequest, "the trailers are malformed or too long"}
)

// chunkState is the part of a chunked body that the next byte belongs to.
type chunkState int

const (
	chunkSize      chunkState = iota // digits of a chunk's size
	chunkSpace                       // white space after the size, before an extension or the end of the line
	chunkExtension                   // extensions after the size
	chunkLF                          // LF at the end of the size line
	chunkData                        // data of the chunk
	chunkCR                          // CR after the data
	chunkDataLF                      // LF after the data
	trailerStart                     // first byte of a trailer line, or CR of the final empty line
	trailerName                      // name of a trailer
	trailerValue                     // value of a trailer
	trailerLF                        // LF of a trailer line
	finalLF                          // LF of the final empty line
	chunksDone                       // the body is complete
)

// ChunkDecoder decodes a chunked body (RFC 9112, 7.1) that is received in parts of any size. It discards trailers and
// extensions, which the proxy does not use. It is as strict as the Parser: input that two readers may interpret
// differently is an error. The zero value is ready for use.
type ChunkDecoder struct {
	state        chunkState
	remaining    int64 // bytes left of the chunk's data or, while its size is read, the size so far
	sizeDigits   int
	lineBytes    int // bytes of the current size line after its digits
	trailerBytes int // bytes of the trailer lines so far
}

// Done returns whether the complete body was decoded.
func (d *ChunkDecoder) Done() bool { return d.state == chunksDone }

// Next decodes the next bytes, b. It returns how many bytes of b it used, and the body data that ends at b[used]. It
// returns as soon as it has found body data, has used all of b, or has reached the end of the body; bytes after the
// end are not used. An error is an *Error.
func (d *ChunkDecoder) Next(b []byte) (used int, data []byte, err error) {
	for used < len(b) && d.state != chunksDone {
		if d.state == chunkData {
			n := int(min(d.remaining, int64(len(b)-used)))
			data = b[used : used+n]
			if d.remaining -= int64(n); d.remaining == 0 {
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

// step decodes one byte that is not body data.
func (d *ChunkDecoder) step(c byte) error {
	switch d.state {
	case chunkSize:
		return d.stepSize(c)
	case chunkSpace:
		switch {
		case c == ';':
			d.state = chunkExtension
		case c == '\r':
			d.state = chunkLF
		case c != ' ' && c != '\t': // some readers take such a byte for a second size
			return errChunkSize
		}
		if d.lineBytes++; d.lineBytes > maxChunkLineBytes {
			return errChunkExtension
		}
	case chunkExtension:
		if d.lineBytes++; d.lineBytes > maxChunkLineBytes || c < ' ' && c != '\t' && c != '\r' || c == 0x7f {
			return errChunkExtension
		}
		if c == '\r' {
			d.state = chunkLF
		}
	case chunkLF:
		if c != '\n' {
			return errChunkEnd
		}
		d.state, d.sizeDigits, d.lineBytes = chunkData, 0, 0
		if d.remaining == 0 {
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
		return d.stepTrailer(c)
	}
	return nil
}

// stepSize decodes one byte of a chunk's size, or the byte after the size.
func (d *ChunkDecoder) stepSize(c byte) error {
	v := int64(0)
	switch {
	case isDigit(c):
		v = int64(c - '0')
	case 'a' <= c && c <= 'f':
		v = int64(c-'a') + 10
	case 'A' <= c && c <= 'F':
		v = int64(c-'A') + 10
	case d.sizeDigits == 0:
		return errChunkSize
	case c == '\r':
		d.state = chunkLF
		return nil
	case c == ';':
		d.state = chunkExtension
		return nil
	case c == ' ' || c == '\t': // RFC 9112, 7.1.1: white space before an extension is ignored
		d.state = chunkSpace
		return nil
	default:
		return errChunkSize
	}
	if d.sizeDigits++; d.sizeDigits > maxSizeDigits {
		return errChunkSize
	}
	d.remaining = d.remaining<<4 | v
	return nil
}

// stepTrailer decodes one byte after the last chunk.
func (d *ChunkDecoder) stepTrailer(c byte) error {
	if d.trailerBytes++; d.trailerBytes > maxTrailerBytes {
		return errTrailer
	}
	switch d.state {
	case trailerStart:
		switch {
		case c == '\r':
			d.state = finalLF
		case tokenBytes[c]:
			d.state = trailerName
		default:
			return errTrailer
		}
	case trailerName:
		switch {
		case c == ':':
			d.state = trailerValue
		case !tokenBytes[c]:
			return errTrailer
		}
	case trailerValue:
		switch {
		case c == '\r':
			d.state = trailerLF
		case c < ' ' && c != '\t' || c == 0x7f:
			return errTrailer
		}
	case trailerLF, finalLF:
		if c != '\n' {
			return errTrailer
		}
		if d.state == finalLF {
			d.state = chunksDone
			return nil
		}
		d.state = trailerStart
	}
	return nil
}
