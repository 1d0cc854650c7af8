package wire

import (
	"encoding/binary"
	"math"
	"time"
)

const replyHeaderLen = 12

// Reply collects the actions in response to one batch.
type Reply struct {
	buf   []byte
	count uint32
}

// Begin starts the reply to the batch with the given number.
func (p *Reply) Begin(number uint32) {
	p.buf = append(p.buf[:0], make([]byte, replyHeaderLen)...)
	binary.LittleEndian.PutUint32(p.buf, number)
	p.count = 0
}

// Bytes completes the frame and returns it. The frame is valid until the next Begin.
func (p *Reply) Bytes() []byte {
	binary.LittleEndian.PutUint32(p.buf[4:], uint32(len(p.buf)-replyHeaderLen))
	binary.LittleEndian.PutUint32(p.buf[8:], p.count)
	return p.buf
}

// beginAction appends the header of an action whose fields have the given size in bytes, and the first field, the
// instance.
func (p *Reply) beginAction(code uint16, size int, instance uint32) {
	p.count++
	p.buf = binary.LittleEndian.AppendUint16(p.buf, code)
	p.buf = binary.LittleEndian.AppendUint32(p.buf, uint32(size))
	p.u32(instance)
}

func (p *Reply) u32(v uint32)  { p.buf = binary.LittleEndian.AppendUint32(p.buf, v) }
func (p *Reply) u64(v uint64)  { p.buf = binary.LittleEndian.AppendUint64(p.buf, v) }
func (p *Reply) f64(v float64) { p.u64(math.Float64bits(v)) }

// addr appends the six bytes of an upstream's address.
func (p *Reply) addr(u Upstream) {
	for range 6 {
		p.buf = append(p.buf, byte(u))
		u >>= 8
	}
}

// text appends an action with a text. The text is truncated to 65535 bytes, the limit of its length field.
func (p *Reply) text(code uint16, instance uint32, s string) {
	s = s[:min(len(s), math.MaxUint16)]
	p.beginAction(code, 6+len(s), instance)
	p.buf = binary.LittleEndian.AppendUint16(p.buf, uint16(len(s)))
	p.buf = append(p.buf, s...)
}

// SendAttempt appends an action that starts an attempt.
func (p *Reply) SendAttempt(instance, request uint32, to Upstream, timeout time.Duration) {
	p.beginAction(ActSendAttempt, 22, instance)
	p.u32(request)
	p.addr(to)
	p.f64(ToMillis(timeout))
}

// SetTimer appends an action that requests an EvTimer with the given id after a delay.
func (p *Reply) SetTimer(instance uint32, after time.Duration, id uint64) {
	p.beginAction(ActSetTimer, 20, instance)
	p.f64(ToMillis(after))
	p.u64(id)
}

// Probe appends an action that probes an upstream.
func (p *Reply) Probe(instance uint32, to Upstream) {
	p.beginAction(ActProbe, 10, instance)
	p.addr(to)
}

// CloseIdle appends an action that closes the idle connections to an upstream.
func (p *Reply) CloseIdle(instance uint32, to Upstream) {
	p.beginAction(ActCloseIdle, 10, instance)
	p.addr(to)
}

// Refuse appends an action that refuses a request. The client may retry after retryAfter.
func (p *Reply) Refuse(instance, request uint32, retryAfter time.Duration) {
	p.beginAction(ActRefuse, 16, instance)
	p.u32(request)
	p.f64(ToMillis(retryAfter))
}

// Fail appends an action that fails a request.
func (p *Reply) Fail(instance, request uint32) {
	p.beginAction(ActFail, 8, instance)
	p.u32(request)
}

// CancelAttempt appends an action that cancels an attempt of a request.
func (p *Reply) CancelAttempt(instance, request uint32, attempt uint8) {
	p.beginAction(ActCancelAttempt, 9, instance)
	p.u32(request)
	p.buf = append(p.buf, attempt)
}

// WatchList appends an action that starts or ends the subscription to the server list.
func (p *Reply) WatchList(instance uint32, on bool) {
	p.beginAction(ActWatchList, 5, instance)
	flag := byte(0)
	if on {
		flag = 1
	}
	p.buf = append(p.buf, flag)
}

// Log appends an action that writes a line to the simulator's report.
func (p *Reply) Log(instance uint32, line string) { p.text(ActLog, instance, line) }

// Crash appends an action that reports a panic of the policy.
func (p *Reply) Crash(instance uint32, reason string) { p.text(ActCrash, instance, reason) }
