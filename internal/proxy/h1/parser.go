package h1

import (
	"bytes"
)

// Parser parses one head that comes in parts. The zero value is ready and goes by DefaultMaxHeadBytes and MaxFields;
// Reset and SetLimit begin a new head.
type Parser struct {
	limit         int // bytes of the fields, and of the request line; 0: DefaultMaxHeadBytes for both together
	scanned       int // bytes searched for line ends
	lineStart     int // of the incomplete line
	fieldsStart   int // 0: the request line is incomplete
	completeLines int
}

// Reset begins a new head under the same limit.
func (p *Parser) Reset() { *p = Parser{limit: p.limit} }

// SetLimit begins a new head whose fields, the empty line behind them included, may have so many bytes, and its request
// line as many again; 0: both together
// have DefaultMaxHeadBytes.
func (p *Parser) SetLimit(bytes int) { *p = Parser{limit: bytes} }

// MaxBytes is how many bytes a head may have: a buffer of that size is never full without a head or an error.
func (p *Parser) MaxBytes() int {
	if p.limit == 0 {
		return DefaultMaxHeadBytes
	}
	return 2 * p.limit
}

// exceedsLimit returns whether a head of so many bytes is over the limit.
func (p *Parser) exceedsLimit(size int) bool {
	if p.limit == 0 {
		return size > DefaultMaxHeadBytes
	}
	return size-p.fieldsStart > p.limit
}

// maxFields is how many fields a head may have.
func (p *Parser) maxFields() int {
	if p.limit == 0 {
		return MaxFields
	}
	return MaxFieldsBySize
}

// Parse parses all that has come of a head so far, which must begin with what it was given before. It returns the
// head's size in bytes, 0 where more have to come. An error is an *Error.
func (p *Parser) Parse(b []byte, h *Head) (int, error) {
	for p.scanned < len(b) {
		i := bytes.IndexByte(b[p.scanned:], '\n')
		if i < 0 {
			// Noise without a line end is an error now, not once it is too long or its time is over.
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
	switch { // a complete head of the largest size would have ended
	case p.limit > 0 && p.completeLines == 0 && len(b) >= p.limit:
		return 0, errLineTooLong
	case p.exceedsLimit(len(b) + 1):
		return 0, errHeadTooLong
	}
	return 0, nil
}

// isPlausibleLine returns whether the beginning of a request line may become one.
func isPlausibleLine(line []byte) bool {
	for _, c := range line {
		if c < ' ' && c != '\r' || c >= 0x7f {
			return false
		}
	}
	return true
}
