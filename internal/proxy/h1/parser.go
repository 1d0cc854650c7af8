package h1

import (
	"bytes"
)

// Parser parses one head that is received in parts. The zero value is ready for use with the limits
// DefaultMaxHeadBytes and MaxFields. Reset and SetLimit prepare the parser for another head.
type Parser struct {
	limit         int // of the fields and of the request line, in bytes each; 0: DefaultMaxHeadBytes for both together
	scanned       int // bytes that were searched for line ends
	lineStart     int // offset of the incomplete line
	fieldsStart   int // offset of the fields; 0: the request line is incomplete
	completeLines int
}

// Reset prepares the parser for another head with the same limit.
func (p *Parser) Reset() { *p = Parser{limit: p.limit} }

// SetLimit prepares the parser for another head. The fields, including the final empty line, may have the given
// number of bytes, and the request line the same number again. 0: both together may have DefaultMaxHeadBytes.
func (p *Parser) SetLimit(bytes int) { *p = Parser{limit: bytes} }

// MaxBytes returns the maximum size of a head in bytes. When a buffer of this size is full, Parse returns a head or
// an error.
func (p *Parser) MaxBytes() int {
	if p.limit == 0 {
		return DefaultMaxHeadBytes
	}
	return 2 * p.limit
}

// exceedsLimit returns whether a head of the given size in bytes exceeds the limit.
func (p *Parser) exceedsLimit(size int) bool {
	if p.limit == 0 {
		return size > DefaultMaxHeadBytes
	}
	return size-p.fieldsStart > p.limit
}

// maxFields returns the maximum number of fields in a head.
func (p *Parser) maxFields() int {
	if p.limit == 0 {
		return MaxFields
	}
	return MaxFieldsBySize
}

// Parse parses all bytes received of a head so far; b must begin with the bytes of the previous call. It returns the
// size of the head in bytes, or 0 if the head is incomplete. An error is an *Error.
func (p *Parser) Parse(b []byte, h *Head) (int, error) {
	for p.scanned < len(b) {
		i := bytes.IndexByte(b[p.scanned:], '\n')
		if i < 0 {
			// Input that can't be a request line is rejected at once, before it reaches the size limit or its
			// client's time-out.
			if p.completeLines == 0 && !isPlausibleLine(b[p.lineStart:]) {
				return 0, errControl
			}
			p.scanned = len(b)
			break
		}
		end := p.scanned + i
		if end == 0 || b[end-1] != '\r' {
			return 0, errLineEnd
		}
		p.scanned = end + 1
		if end-1 == p.lineStart { // an empty line
			if p.completeLines == 0 {
				return 0, errRequestLine
			}
			if p.exceedsLimit(p.scanned) {
				return 0, errHeadTooLong
			}
			return p.scanned, h.parse(b[:p.scanned])
		}
		if p.completeLines++; p.completeLines > p.maxFields()+1 {
			return 0, errTooManyFields
		}
		if p.lineStart = p.scanned; p.completeLines == 1 {
			p.fieldsStart = p.scanned
			if p.limit > 0 && p.fieldsStart > p.limit {
				return 0, errLineTooLong
			}
		}
	}
	switch { // a complete head of the maximum size would have ended by now
	case p.limit > 0 && p.completeLines == 0 && len(b) >= p.limit:
		return 0, errLineTooLong
	case p.exceedsLimit(len(b) + 1):
		return 0, errHeadTooLong
	}
	return 0, nil
}

// isPlausibleLine returns whether the bytes can be the beginning of a request line.
func isPlausibleLine(line []byte) bool {
	for _, c := range line {
		if c < ' ' && c != '\r' || c >= 0x7f {
			return false
		}
	}
	return true
}
