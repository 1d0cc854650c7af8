package gate

import (
	"crypto/sha256"
	"sync"
	"time"
)

const (
	// maxRecords bounds the memory of the attempt log: a record takes some 100 bytes, and the log holds the
	// requests of 64 s at 1,000 requests/s. While the log is full, it admits no further non-idempotent request:
	// the gate answers that such a request may have run, which promises nothing.
	maxRecords = 1 << 16
	// retentionMargin is how long a record is kept after the request's own time has ended. It exceeds the time
	// for which bytes can stay in flight between two machines that the system still considers connected.
	retentionMargin = time.Minute
	// maxClockStep is the longest time between two events that counts as elapsed. A process that was suspended
	// still finds the bytes that its socket buffers held when it stopped, so records must not age during a
	// suspension.
	maxClockStep = time.Second
	// sweepInterval is the time between two sweeps for expired records. It bounds the cost of sweeping.
	sweepInterval = 5 * time.Second
)

// AttemptIDHash is the truncated SHA-256 hash of a request's attempt id. All hashes have 16 bytes, so that long ids
// take no more memory than short ones.
type AttemptIDHash [16]byte

// HashAttemptID returns the hash under which the attempt log stores an attempt id.
func HashAttemptID(attemptID string) AttemptIDHash {
	sum := sha256.Sum256([]byte(attemptID))
	return AttemptIDHash(sum[:len(AttemptIDHash{})])
}

// SendID identifies one send of a request by its caller's sidecar. A later send of the same request has a higher
// Number; a delayed duplicate of a send has the same Number.
type SendID struct {
	Sender uint64 // drawn at random at each start of a sidecar
	Number uint64
}

// after reports whether s was issued later than before, by the same run of the same sidecar.
func (s SendID) after(before SendID) bool {
	return s.Sender == before.Sender && s.Number > before.Number
}

// admitResult is the attempt log's decision on an arriving request.
type admitResult int

const (
	// admitted means that the request may be queued or sent to the upstream.
	admitted admitResult = iota
	// notExecuted means that this send was rejected before, with the promise that it never runs.
	notExecuted
	// mayHaveExecuted means that another arrival of the request is queued or was sent to the upstream, or that the
	// log is full.
	mayHaveExecuted
)

// phase is the progress of a recorded request.
type phase int8

const (
	// started means that the request is queued or was sent to the upstream, whatever the outcome was.
	started phase = iota
	// rejected means that the request never reached the upstream, or that the upstream rejected the request. A
	// later send of the request may run.
	rejected
)

// AttemptLog records non-idempotent requests, so that no request is sent to the upstream by two of its arrivals, and no
// send runs that was rejected before. Until a record has expired, the log guarantees:
//
//   - Once a request has started, no other arrival of the request starts. The other arrivals are answered that the
//     request may have run.
//   - Once a send was rejected, no delayed duplicate of the send starts. The duplicates are rejected, too; only a later
//     send by the same sidecar can start.
//
// Its methods may be called from any goroutine. The zero value is ready for use.
type AttemptLog struct {
	mu      sync.Mutex // guards the fields below
	records map[AttemptIDHash]record
	lastNow time.Duration // time of the last event, by the caller's clock
	elapsed time.Duration // time for which this process has run, without suspensions
	sweepAt time.Duration // time of the next sweep, in terms of elapsed
}

type record struct {
	sendID    SendID
	expiresAt time.Duration // in terms of AttemptLog.elapsed
	phase     phase
}

// admit decides whether a completely received request may start, and records the request as started if so. remaining is
// the time until the request's deadline.
func (l *AttemptLog) admit(
	now time.Duration, hash AttemptIDHash, sendID SendID, remaining time.Duration,
) admitResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advanceClock(now)
	before, known := l.records[hash]
	switch {
	case !known && !l.hasCapacity():
		return mayHaveExecuted
	case !known, before.phase == rejected && sendID.after(before.sendID):
		l.store(hash, sendID, remaining, started)
		return admitted
	case before.phase == rejected:
		return notExecuted
	}
	return mayHaveExecuted
}

// RecordRejection records that a send is about to be rejected before it reaches the gate. It reports whether the
// rejection may promise that the request was not executed: it may not if another arrival of the request has started, or
// if the log is full.
func (l *AttemptLog) RecordRejection(
	now time.Duration, hash AttemptIDHash, sendID SendID, remaining time.Duration,
) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advanceClock(now)
	before, known := l.records[hash]
	switch {
	case !known && !l.hasCapacity(), known && before.phase == started:
		return false
	case !known, before.phase == rejected && sendID.after(before.sendID):
		l.store(hash, sendID, remaining, rejected)
	}
	return true
}

// setPhase updates the phase of an admitted request. A request without a record is ignored.
func (l *AttemptLog) setPhase(hash AttemptIDHash, to phase) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r, known := l.records[hash]; known {
		r.phase = to
		l.records[hash] = r
	}
}

// Size returns the number of records, including expired records that no sweep has removed yet.
func (l *AttemptLog) Size() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.records)
}

func (l *AttemptLog) store(hash AttemptIDHash, sendID SendID, remaining time.Duration, phase phase) {
	if l.records == nil {
		l.records = make(map[AttemptIDHash]record)
	}
	l.records[hash] = record{
		sendID: sendID, expiresAt: l.elapsed + remaining + retentionMargin, phase: phase,
	}
}

// advanceClock adds the time since the last event to elapsed, at most maxClockStep, and sweeps every sweepInterval.
func (l *AttemptLog) advanceClock(now time.Duration) {
	l.elapsed += min(max(0, now-l.lastNow), maxClockStep)
	l.lastNow = now
	if l.elapsed >= l.sweepAt {
		l.sweepAt = l.elapsed + sweepInterval
		l.removeExpired()
	}
}

// hasCapacity reports whether one more record fits into the log.
func (l *AttemptLog) hasCapacity() bool {
	if len(l.records) >= maxRecords {
		l.removeExpired()
	}
	return len(l.records) < maxRecords
}

// removeExpired removes expired records. The record of a queued request never expires: the request is sent or rejected
// before its deadline.
func (l *AttemptLog) removeExpired() {
	for hash, r := range l.records {
		if l.elapsed >= r.expiresAt {
			delete(l.records, hash)
		}
	}
}
