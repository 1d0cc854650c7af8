package wire

import (
	"encoding/binary"
	"math"
	"time"
)

const replyHeaderLen = 12

// Reply gathers the actions that answer one batch.
type Reply struct {
	buf   []byte
	count uint32
}

// Begin starts the reply to the batch of this number.
func (p *Reply) Begin(number uint32) {
	p.buf = append(p.buf[:0], make([]byte, replyHeaderLen)...)
	binary.LittleEndian.PutUint32(p.buf, number)
	p.count = 0
}

// Bytes completes the frame; it stays valid until the next Begin.
func (p *Reply) Bytes() []byte {
	binary.LittleEndian.PutUint32(p.buf[4:], uint32(len(p.buf)-replyHeaderLen))
	binary.LittleEndian.PutUint32(p.buf[8:], p.count)
	return p.buf
}

// head begins an action with so many bytes of fields, the instance's number among them.
func (p *Reply) head(code uint16, size int, instance uint32) {
	p.count++
	p.buf = binary.LittleEndian.AppendUint16(p.buf, code)
	p.buf = binary.LittleEndian.AppendUint32(p.buf, uint32(size))
	p.u32(instance)
}

func (p *Reply) u32(v uint32)  { p.buf = binary.LittleEndian.AppendUint32(p.buf, v) }
func (p *Reply) u64(v uint64)  { p.buf = binary.LittleEndian.AppendUint64(p.buf, v) }
func (p *Reply) f64(v float64) { p.u64(math.Float64bits(v)) }

// addr appends the six bytes of an address.
func (p *Reply) addr(u Upstream) {
	for range 6 {
		p.buf = append(p.buf, byte(u))
		u >>= 8
	}
}

// text is an action with a text, which is truncated to what its length field can hold.
func (p *Reply) text(code uint16, instance uint32, s string) {
	s = s[:min(len(s), math.MaxUint16)]
	p.head(code, 6+len(s), instance)
	p.buf = binary.LittleEndian.AppendUint16(p.buf, uint16(len(s)))
	p.buf = append(p.buf, s...)
}

// SendAttempt starts an attempt.
func (p *Reply) SendAttempt(instance, request uint32, to Upstream, timeout time.Duration) {
	p.head(ActSendAttempt, 22, instance)
	p.u32(request)
	p.addr(to)
	p.f64(ToMillis(timeout))
}

// SetTimer asks for an EvTimer.
func (p *Reply) SetTimer(instance uint32, after time.Duration, id uint64) {
	p.head(ActSetTimer, 20, instance)
	p.f64(ToMillis(after))
	p.u64(id)
}

// Probe probes an upstream.
func (p *Reply) Probe(instance uint32, to Upstream) {
	p.head(ActProbe, 10, instance)
	p.addr(to)
}

// CloseIdle closes the idle connections to an upstream.
func (p *Reply) CloseIdle(instance uint32, to Upstream) {
	p.head(ActCloseIdle, 10, instance)
	p.addr(to)
}

// Refuse refuses a request.
func (p *Reply) Refuse(instance, request uint32, retryAfter time.Duration) {
	p.head(ActRefuse, 16, instance)
	p.u32(request)
	p.f64(ToMillis(retryAfter))
}

// Fail fails a request.
func (p *Reply) Fail(instance, request uint32) {
	p.head(ActFail, 8, instance)
	p.u32(request)
}

// CancelAttempt cancels an attempt.
func (p *Reply) CancelAttempt(instance, request uint32, attempt uint8) {
	p.head(ActCancelAttempt, 9, instance)
	p.u32(request)
	p.buf = append(p.buf, attempt)
}

// WatchList subscribes to the server list, or ends the subscription.
func (p *Reply) WatchList(instance uint32, on bool) {
	p.head(ActWatchList, 5, instance)
	flag := byte(0)
	if on {
		flag = 1
	}
	p.buf = append(p.buf, flag)
}

// Log writes a line for the report.
func (p *Reply) Log(instance uint32, line string) { p.text(ActLog, instance, line) }

// Crash says that the decision code has failed.
func (p *Reply) Crash(instance uint32, reason string) { p.text(ActCrash, instance, reason) }
