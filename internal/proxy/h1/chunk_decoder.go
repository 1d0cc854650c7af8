package h1

import "net/http"

const (
	maxChunkLineBytes = 1 << 10 // bytes of a chunk's line, extensions included: endless ones must not be read for ever
	maxTrailerBytes   = 8 << 10 // bytes of all trailers
	maxSizeDigits     = 15      // of a chunk's size; more are no size that anybody sends
)

var (
	errChunkSize      = &Error{http.StatusBadRequest, "a chunk's size is malformed"}
	errChunkExtension = &Error{http.StatusBadRequest, "a chunk's extensions are malformed or too long"}
	errChunkEnd       = &Error{http.StatusBadRequest, "a chunk or its line does not end in CR LF"}
	errTrailer        = &Error{http.StatusBadRequest, "the trailers are malformed or too long"}
)

type chunkState int

const (
	chunkSize      chunkState = iota // its digits
	chunkSpace                       // white space behind them, before an extension or the line's end
	chunkExtension                   // what follows them
	chunkLF                          // the LF of its line
	chunkData                        // what it holds
	chunkCR                          // CR LF behind that
	chunkDataLF
	trailerStart // the beginning of a line of trailers
	trailerName
	trailerValue
	trailerLF
	finalLF
	chunksDone
)

// ChunkDecoder decodes a body in chunks (RFC 9112, 7.1) that comes in parts cut anywhere. Trailers and extensions are
// discarded: nobody here has a use for them. It is as strict as the Parser: what two readers may understand differently
// is an error. The zero value is ready.
type ChunkDecoder struct {
	state        chunkState
	remaining    int64 // of the chunk's data, or of its size so far
	sizeDigits   int
	lineBytes    int // bytes of the line under way
	trailerBytes int // bytes of trailers
}

// Done returns whether the complete body was decoded.
func (d *ChunkDecoder) Done() bool { return d.state == chunksDone }

// Next decodes the next bytes, b: it returns how many of them it has used, and the last of those that are the body's.
// It returns when some are, when b is used up, and at the body's end, behind which it uses nothing. An error is an
// *Error.
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

// step decodes one byte that is not the body's own.
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
		case c != ' ' && c != '\t': // some readers take it for a second size
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

// stepSize decodes one byte of a chunk's size, or the one behind it.
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
	case c == ' ' || c == '\t': // RFC 9112, 7.1.1: to be ignored
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

// stepTrailer decodes one byte behind the last chunk.
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
