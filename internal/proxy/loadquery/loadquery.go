// Package loadquery decides whether a balancer asks servers what they hold before it sends, and among how many servers it takes turns.
// The two belong together: who may not ask learns from his own answers alone, and those of one balancer among many are few. It is
// free of I/O and of the module's state.
package loadquery

import "time"

const (
	pairs = 4 // of reports that far apart tell whether they are fresh enough
	fresh = 3 // of them differ then

	// What a request may lose by a turn taken blind, as a share of its worth: where servers are not short a fiftieth of the answers
	// came late that a look would have saved. A probe that costs more saves less than its price: at 0.08 one for each request
	// took a tenth of all worth from a fleet of eighty.
	blind = 0.02

	doubtful = 2.2 // times the usual that answers take

	second = 1.0 // in which each server of the arc gets a turn
	asked  = 3.0 // where asking finds room: best among many
	unseen = 0.4 // where it is too dear: among few, so that each tells often how it fares
)

// Inquiry is what one balancer goes by. It is used from one goroutine.
type Inquiry struct {
	may            bool
	dear           bool
	compared, told int
}

// New makes one. may: probes may be used, and bring what a server holds; price: of a probe, against a request's worth of 1.
func New(may bool, price float64) Inquiry { return Inquiry{may: may, dear: price > blind} }

// Comparing says that it is still to be found out whether reports change as fast as they are used.
func (q *Inquiry) Comparing() bool { return q.may && !q.dear && q.compared < pairs }

// Compare takes whether two reports of one server differed; one that told nothing is no fresh one.
func (q *Inquiry) Compare(differed bool) {
	q.compared++
	if differed {
		q.told++
	}
}

// Pays says that every server is to be asked before it is sent to.
func (q *Inquiry) Pays() bool { return q.may && !q.dear && q.told >= fresh }

// Patience is how long an attempt that may be repeated is waited for: whole, the time in which its answer is of use, or the part of it
// behind which another could still answer. Blind turns meet servers that are slow or silent; who looked before knows that it is the
// request, which would take as long elsewhere.
func (q *Inquiry) Patience(whole, part time.Duration) time.Duration {
	if !q.dear || part < whole/2 {
		return whole
	}
	return part
}

// Doubts says that a server is asked though turns are blind. strain is how many times the usual its answers take, failures counted in.
// A look at one in ten saves most of what a look at all would: the slow and the silent are few, and are known by what they did.
func (q *Inquiry) Doubts(strain float64) bool { return q.may && q.dear && strain >= doubtful }

// Asks says whether a server is to be asked at its turn.
func (q *Inquiry) Asks(strain float64) bool { return q.Pays() || q.Doubts(strain) }

// Every is the time in seconds in which each server of the arc gets a turn.
func (q *Inquiry) Every() float64 {
	switch {
	case q.Pays():
		return asked
	case q.dear:
		return unseen
	}
	return second
}
