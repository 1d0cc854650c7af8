package peer

import "time"

// Priority says what goes first when there are more bytes than the budget has.
type Priority int

// The priorities, the most important first.
const (
	Contact Priority = iota
	Urgent           // decisions that others wait for
	Decision
	Hint
)

// reserved is how much of a full budget is left to what is more important.
var reserved = [...]float64{Contact: 0, Urgent: 0.1, Decision: 0.25, Hint: 0.5}

// budget is a bucket of bytes that fills at a rate. It is not safe for concurrent use.
type budget struct {
	rate  float64 // bytes a second
	level float64
	at    time.Duration
}

// full is how much it holds at most: what two seconds bring.
func (b *budget) full() float64 { return 2 * b.rate }

// take takes so many bytes, or says that they are not there.
func (b *budget) take(now time.Duration, bytes int, p Priority) bool {
	if b.at == 0 {
		b.level = b.full()
	} else {
		b.level = min(b.full(), b.level+b.rate*(now-b.at).Seconds())
	}
	b.at = now
	if b.level-float64(bytes) < reserved[p]*b.full() {
		return false
	}
	b.level -= float64(bytes)
	return true
}
