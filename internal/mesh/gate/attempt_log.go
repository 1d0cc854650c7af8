package gate

import (
	"crypto/sha256"
	"sync"
	"time"
)

const (
	// maxRecords bounds the requests that are remembered, some 100 bytes each: those of 64 s at 1,000
	// a second. With that many remembered no other request that must not run twice is begun: it is
	// answered as unknown, which promises nothing.
	maxRecords = 1 << 16
	// retentionMargin is how much longer than its own time a request is remembered: longer than bytes
	// stay in flight between two machines that the system still counts as connected.
	retentionMargin = time.Minute
	// maxClockStep is the longest time between two events that counts as elapsed. A process that was
	// suspended finds bytes in its sockets that are as old as they were when it stopped, so records
	// must not age meanwhile.
	maxClockStep = time.Second
	// sweepInterval is the time between two sweeps for expired records. It bounds their cost.
	sweepInterval = 5 * time.Second
)

// Key identifies a request's attempt id by 16 bytes of its hash, so that long ids cost no memory.
type Key [16]byte

// KeyOf is the key of an attempt id.
func KeyOf(attemptID string) Key {
	sum := sha256.Sum256([]byte(attemptID))
	return Key(sum[:len(Key{})])
}

// SendID names one send of a request by its caller's sidecar. A later send of the same request has a
// higher number; a late copy of a send has the same one.
type SendID struct {
	Sender uint64 // drawn anew at each start of a sidecar
	Number uint64
}

// after reports whether a send is a later one of the same sidecar.
func (s SendID) after(before SendID) bool {
	return s.Sender == before.Sender && s.Number > before.Number
}

// admission is the log's decision on a request that arrives.
type admission int

const (
	// admitted: it may go on.
	admitted admission = iota
	// notExecuted: it was rejected before, with the promise that it never runs.
	notExecuted
	// mayHaveExecuted: another arrival of it is queued or was sent to the upstream, or the log is full.
	mayHaveExecuted
)

// phase is how far a remembered request has got.
type phase int8

const (
	// started: it is queued, or was sent to the upstream, whatever became of it there.
	started phase = iota
	// rejected: it never reached the upstream, or the upstream rejected it; a later send may run.
	rejected
)

// AttemptLog remembers requests that must not run twice, so that no two arrivals of one are sent to
// the upstream, and none runs that was promised never to. Until a request has expired it keeps these
// promises:
//
//   - a request that has started is not started by another arrival, which is answered that it may have
//     run;
//   - a send that was rejected is not started by a late copy of it, which is rejected too. Only a
//     later send of the same sidecar may be.
//
// Its methods may be called from any goroutine. The zero value is ready for use.
type AttemptLog struct {
	mu      sync.Mutex // guards all below
	records map[Key]record
	lastNow time.Duration // of the last event
	elapsed time.Duration // while this process ran
	sweepAt time.Duration // of elapsed
}

type record struct {
	sendID    SendID
	expiresAt time.Duration // of elapsed
	phase     phase
}

// admit records a request that has arrived completely, with the time that it has, and reports whether
// it may go on.
func (l *AttemptLog) admit(
	now time.Duration, key Key, sendID SendID, remaining time.Duration,
) admission {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tick(now)
	before, known := l.records[key]
	switch {
	case !known && !l.hasCapacity():
		return mayHaveExecuted
	case !known, before.phase == rejected && sendID.after(before.sendID):
		l.store(key, sendID, remaining, started)
		return admitted
	case before.phase == rejected:
		return notExecuted
	}
	return mayHaveExecuted
}

// RecordRejection records that a send is about to be rejected before it reaches the gate, and reports
// whether "not executed" may be promised: not where another arrival of the request has started, nor
// where the log is full.
func (l *AttemptLog) RecordRejection(
	now time.Duration, key Key, sendID SendID, remaining time.Duration,
) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tick(now)
	before, known := l.records[key]
	switch {
	case !known && !l.hasCapacity(), known && before.phase == started:
		return false
	case !known, before.phase == rejected && sendID.after(before.sendID):
		l.store(key, sendID, remaining, rejected)
	}
	return true
}

// setPhase records how far an admitted request has got.
func (l *AttemptLog) setPhase(key Key, to phase) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r, known := l.records[key]; known {
		r.phase = to
		l.records[key] = r
	}
}

// Size is how many requests are remembered.
func (l *AttemptLog) Size() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.records)
}

func (l *AttemptLog) store(key Key, sendID SendID, remaining time.Duration, phase phase) {
	if l.records == nil {
		l.records = make(map[Key]record)
	}
	l.records[key] = record{
		sendID: sendID, expiresAt: l.elapsed + remaining + retentionMargin, phase: phase,
	}
}

// tick lets time pass, and sweeps at intervals.
func (l *AttemptLog) tick(now time.Duration) {
	l.elapsed += min(max(0, now-l.lastNow), maxClockStep)
	l.lastNow = now
	if l.elapsed >= l.sweepAt {
		l.sweepAt = l.elapsed + sweepInterval
		l.expire()
	}
}

// hasCapacity reports whether one more can be remembered.
func (l *AttemptLog) hasCapacity() bool {
	if len(l.records) >= maxRecords {
		l.expire()
	}
	return len(l.records) < maxRecords
}

// expire drops expired records. That of a queued request does not expire before it is rejected or
// sent.
func (l *AttemptLog) expire() {
	for key, r := range l.records {
		if l.elapsed >= r.expiresAt {
			delete(l.records, key)
		}
	}
}
