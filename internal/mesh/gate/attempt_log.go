package gate

import (
	"crypto/sha256"
	"sync"
	"time"
)

const (
	// fenceMost bounds the requests that are remembered, some 100 bytes each. It holds those of 64
	// s at 1,000 a second. Beyond it no request that must not run twice is begun: it is answered
	// as unknown, which promises nothing.
	maxRecords = 1 << 16
	// fenceMargin is how much longer than its own time a request is remembered: longer than bytes
	// stay under way between two machines that the system still counts as connected.
	retentionMargin = time.Minute
	// fenceGap is the longest time between two events that counts as passed. A process that stood
	// still finds bytes in its sockets that are as old as they were when it stopped, so its memory
	// must not age meanwhile.
	maxClockStep = time.Second
	// fenceSweep is the time between two looks for what has expired. It bounds what forgetting costs.
	sweepInterval = 5 * time.Second
)

// Key stands for a request's attempt id: 16 bytes of its hash, so that no length of id costs memory.
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

// after says whether a send is a later one of the same sidecar's.
func (s SendID) after(before SendID) bool {
	return s.Sender == before.Sender && s.Number > before.Number
}

// admission is what the fence says of a request that arrives.
type admission int

const (
	admitted admission = iota
	// neverRan: it was turned away here before and was promised never to run.
	notExecuted
	// mayHaveRun: it is here already, or has been sent to the upstream; or there is no room to
	// remember it.
	mayHaveExecuted
)

// phase is how far a remembered request came.
type phase int8

const (
	// underWay: it waits for a slot, or was sent to the upstream, whatever became of it there.
	started phase = iota
	// turnedAway: it never reached the upstream, or the upstream refused it; a later send may run.
	rejected
)

// AttemptLog remembers requests that must not run twice, so that none of them is sent to the upstream by
// two arrivals, and none that was promised never to run runs after all. It keeps these promises until
// a request has expired:
//
//   - a request that is under way is begun by no other arrival, which is told that it may have run;
//   - a send that was turned away is not begun by a late copy of it, which is turned away too. Only a
//     later send of the same sidecar may be.
//
// Its methods may be called from any goroutine. The zero value is ready for use.
type AttemptLog struct {
	mu      sync.Mutex
	records map[Key]record
	lastNow time.Duration // when time was looked at last
	elapsed time.Duration // that passed while this process ran
	sweepAt time.Duration // by age
}

type record struct {
	sendID    SendID
	expiresAt time.Duration // by age
	phase     phase
}

// admit takes a request that has arrived whole, with so much time left, and says whether it may go on.
func (l *AttemptLog) admit(now time.Duration, key Key, sendID SendID, remaining time.Duration) admission {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tick(now)
	before, known := l.records[key]
	switch {
	case !known && !l.hasCapacity():
		return mayHaveExecuted
	case !known, before.phase == rejected && sendID.after(before.sendID):
		l.store(key, record{sendID: sendID, expiresAt: l.elapsed + remaining + retentionMargin, phase: started})
		return admitted
	case before.phase == rejected:
		return notExecuted
	}
	return mayHaveExecuted
}

// RecordRejection takes that a send is to be turned away before it came to the gate, and says whether that
// may be said: not where the request is here by another arrival, nor where there is no room to
// remember the promise.
func (l *AttemptLog) RecordRejection(now time.Duration, key Key, sendID SendID, remaining time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tick(now)
	before, known := l.records[key]
	switch {
	case !known && !l.hasCapacity(), known && before.phase == started:
		return false
	case !known, before.phase == rejected && sendID.after(before.sendID):
		l.store(key, record{sendID: sendID, expiresAt: l.elapsed + remaining + retentionMargin, phase: rejected})
	}
	return true
}

// move takes that a request that was admitted came to another phase.
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

func (l *AttemptLog) store(key Key, r record) {
	if l.records == nil {
		l.records = make(map[Key]record)
	}
	l.records[key] = r
}

// pass takes that time has passed, and forgets what has expired.
func (l *AttemptLog) tick(now time.Duration) {
	l.elapsed += min(max(0, now-l.lastNow), maxClockStep)
	l.lastNow = now
	if l.elapsed >= l.sweepAt {
		l.sweepAt = l.elapsed + sweepInterval
		l.expire()
	}
}

// room says whether one more can be remembered.
func (l *AttemptLog) hasCapacity() bool {
	if len(l.records) >= maxRecords {
		l.expire()
	}
	return len(l.records) < maxRecords
}

// forget forgets what has expired. A request that waits expires no earlier than it is turned back
// or sent.
func (l *AttemptLog) expire() {
	for key, r := range l.records {
		if l.elapsed >= r.expiresAt {
			delete(l.records, key)
		}
	}
}
