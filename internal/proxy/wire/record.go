package wire

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"
)

const (
	recordHeaderLen = 6
	entryLen        = 23 // bytes of one server in a list
)

// Record is one record of a batch.
type Record struct {
	Code   uint16
	Fields []byte
}

// Next returns the first record of body and the remaining bytes.
func Next(body []byte) (Record, []byte, error) {
	if len(body) < recordHeaderLen {
		return Record{}, nil, fmt.Errorf("record header truncated: got %d of 6 bytes", len(body))
	}
	n := binary.LittleEndian.Uint32(body[2:])
	rec := Record{Code: binary.LittleEndian.Uint16(body)}
	body = body[recordHeaderLen:]
	if uint64(n) > uint64(len(body)) {
		return Record{}, nil, fmt.Errorf("record %d: size is %d bytes, but the batch has %d left", rec.Code, n, len(body))
	}
	rec.Fields = body[:n]
	return rec, body[n:], nil
}

// cursor reads the fields of a record. If the record is too short, truncated is set, and this field and all following
// fields are read as zero. Bytes after the last field are allowed, because later versions may add fields.
type cursor struct {
	rest      []byte
	truncated bool
}

// next returns the next n bytes, or nil if fewer are left.
func (c *cursor) next(n int) []byte {
	if c.truncated || n < 0 || n > len(c.rest) {
		c.truncated = true
		return nil
	}
	f := c.rest[:n]
	c.rest = c.rest[n:]
	return f
}

func (c *cursor) u8() uint8 {
	if f := c.next(1); f != nil {
		return f[0]
	}
	return 0
}

func (c *cursor) u16() uint16 {
	if f := c.next(2); f != nil {
		return binary.LittleEndian.Uint16(f)
	}
	return 0
}

func (c *cursor) u32() uint32 {
	if f := c.next(4); f != nil {
		return binary.LittleEndian.Uint32(f)
	}
	return 0
}

func (c *cursor) u64() uint64 {
	if f := c.next(8); f != nil {
		return binary.LittleEndian.Uint64(f)
	}
	return 0
}

func (c *cursor) f64() float64 { return math.Float64frombits(c.u64()) }

func (c *cursor) upstream() Upstream {
	f := c.next(6)
	if f == nil {
		return 0
	}
	var b [8]byte
	copy(b[:], f)
	return Upstream(binary.LittleEndian.Uint64(b[:]))
}

func (c *cursor) loadReport() Report {
	var r Report
	n := int(c.u8())
	f := c.next(4 * n)
	if f == nil {
		return r
	}
	r.N = min(n, len(r.Values))
	for i := range r.N {
		r.Values[i] = math.Float32frombits(binary.LittleEndian.Uint32(f[4*i:]))
	}
	return r
}

// err returns an error if the record, which has the given code, was too short.
func (c *cursor) err(code uint16) error {
	if c.truncated {
		return fmt.Errorf("record %d: fields truncated", code)
	}
	return nil
}

// Upstream is an upstream's address and port: the six bytes on the wire as a little-endian number.
type Upstream uint64

// Report is a load report. It has up to four values, in the order of Settings.Columns.
type Report struct {
	N      int
	Values [4]float32
}

// Entry is one server of a server list.
type Entry struct {
	Upstream Upstream
	Zone     uint8
	Family   uint8 // not used
	Cell     uint16
	State    uint8
	Weight   float64
	Started  time.Duration
}

// Instance returns the number of the instance that a record is for. All records except EvServerList have this field.
func (r Record) Instance() (uint32, error) {
	c := cursor{rest: r.Fields}
	number := c.u32()
	return number, c.err(r.Code)
}

// ServerList reads a server list and its number, page, which EvListUpdate refers to.
func (r Record) ServerList() (page uint16, entries []Entry, err error) {
	c := cursor{rest: r.Fields}
	page = c.u16()
	n := c.u32()
	if c.truncated || uint64(n)*entryLen > uint64(len(c.rest)) {
		return 0, nil, fmt.Errorf("record %d: %d list entries do not fit into %d bytes", r.Code, n, len(c.rest))
	}
	entries = make([]Entry, n)
	for i := range entries {
		e := Entry{Upstream: c.upstream(), Zone: c.u8(), Family: c.u8(), Cell: c.u16(), State: c.u8()}
		e.Weight = float64(math.Float32frombits(c.u32()))
		e.Started = Millis(c.f64())
		entries[i] = e
	}
	return page, entries, c.err(r.Code)
}

// InstanceStart reads the start of an instance. The settings are valid until the next ReadBatch.
func (r Record) InstanceStart() (seed uint64, settings []byte, err error) {
	c := cursor{rest: r.Fields}
	c.u32()
	seed = c.u64()
	settings = c.next(int(c.u32()))
	return seed, settings, c.err(r.Code)
}

// ListUpdate reads a list update: its kind, its version and the number (page) of the server list that applies from now
// on.
func (r Record) ListUpdate() (kind uint8, version uint32, page uint16, err error) {
	c := cursor{rest: r.Fields}
	c.u32()
	kind, version, page = c.u8(), c.u32(), c.u16()
	return kind, version, page, c.err(r.Code)
}

// Request is a client's request.
type Request struct {
	ID       uint32
	Flags    uint16
	Key      uint64
	Tenant   uint32
	TimeLeft time.Duration
	Work     time.Duration // expected work; valid if FlagHasWork is set
	Class    uint8
}

// Request reads a client's request.
func (r Record) Request() (Request, error) {
	c := cursor{rest: r.Fields}
	c.u32()
	q := Request{ID: c.u32(), Flags: c.u16(), Key: c.u64(), Tenant: c.u32()}
	q.TimeLeft, q.Work, q.Class = Millis(c.f64()), Millis(c.f64()), c.u8()
	return q, c.err(r.Code)
}

// AttemptResult is the outcome of an attempt.
type AttemptResult struct {
	RequestID uint32
	Attempt   uint8
	Upstream  Upstream
	Ending    uint16
	Duration  time.Duration
	Finished  bool // the server has finished with the attempt
	Load      Report
}

// AttemptResult reads the outcome of an attempt.
func (r Record) AttemptResult() (AttemptResult, error) {
	c := cursor{rest: r.Fields}
	c.u32()
	result := AttemptResult{RequestID: c.u32(), Attempt: c.u8(), Upstream: c.upstream(), Ending: c.u16()}
	result.Duration, result.Finished, result.Load = Millis(c.f64()), c.u8() != 0, c.loadReport()
	return result, c.err(r.Code)
}

// ProbeResult reads the result of a probe.
func (r Record) ProbeResult() (up Upstream, ending uint16, report Report, err error) {
	c := cursor{rest: r.Fields}
	c.u32()
	up, ending = c.upstream(), c.u16()
	c.f64()
	report = c.loadReport()
	return up, ending, report, c.err(r.Code)
}

// RequestID reads the id of the request that an EvClientGone or EvResponseHeaders record refers to.
func (r Record) RequestID() (uint32, error) {
	c := cursor{rest: r.Fields}
	c.u32()
	id := c.u32()
	return id, c.err(r.Code)
}

// TimerID reads the id that was passed to SetTimer.
func (r Record) TimerID() (uint64, error) {
	c := cursor{rest: r.Fields}
	c.u32()
	id := c.u64()
	return id, c.err(r.Code)
}
