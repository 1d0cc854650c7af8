package handover

import (
	"crypto/rand"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"caperarch/internal/proxy/durable"
)

const (
	seatName     = "caperarch-seat.lock"
	newcomerName = "caperarch-newcomer.lock"
	arrivalName  = "caperarch-arrival"
	recordName   = "caperarch-record.json"

	markMost = 64 // bytes of a mark
)

// Seat is a process' place among those of its sidecar, in the folder that they share. Locks end with the process that has them.
type Seat struct {
	dir   string
	mark  string   // its own; "": it came first
	seat  *os.File // locked once held
	held  bool
	young *os.File // the newcomers' lock
	yours bool     // young is locked by this process
	left  bool     // it gave its place up, and lives on
}

// Open takes the seat, or a newcomer's place where an older process has it.
func Open(dir string) (s *Seat, err error) {
	s = &Seat{dir: dir}
	made := s // a return with an error leaves none in s
	defer func() {
		if err != nil {
			made.Close()
		}
	}()
	if s.seat, err = os.OpenFile(filepath.Join(dir, seatName), os.O_CREATE|os.O_RDWR, 0o600); err != nil {
		return nil, err
	}
	if s.young, err = os.OpenFile(filepath.Join(dir, newcomerName), os.O_CREATE|os.O_RDWR, 0o600); err != nil {
		return nil, err
	}
	if s.held, err = lock(s.seat); err != nil || s.held {
		return s, err
	}
	if s.yours, err = lock(s.young); err != nil { // false: another one is on its way too, and each finds the older one
		return nil, err
	}
	s.mark = rand.Text()
	if err := durable.ReplaceUnsynced(filepath.Join(dir, arrivalName), []byte(s.mark)); err != nil {
		return nil, fmt.Errorf("arrival: %w", err)
	}
	return s, nil
}

// lock takes a lock if nobody has it.
func lock(f *os.File) (bool, error) {
	for {
		switch err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); {
		case err == nil:
			return true, nil
		case errors.Is(err, syscall.EWOULDBLOCK):
			return false, nil
		case !errors.Is(err, syscall.EINTR):
			return false, os.NewSyscallError("flock", err)
		}
	}
}

// ID is the newcomer's mark; "": this process came first.
func (s *Seat) ID() string { return s.mark }

// Observe sees who lives. Where the older process is gone it takes the seat.
func (s *Seat) Observe() Observation {
	if s.left {
		return Observation{}
	}
	if !s.held {
		if s.held, _ = lock(s.seat); s.held && s.yours { // its place is the next newcomer's
			_ = syscall.Flock(int(s.young.Fd()), syscall.LOCK_UN)
			s.yours = false
		}
	}
	seen := Observation{HasSeat: s.held, LatestArrival: s.arrival()}
	if !s.yours {
		if free, err := lock(s.young); err == nil && !free {
			seen.Newcomer = true
		} else if free {
			_ = syscall.Flock(int(s.young.Fd()), syscall.LOCK_UN)
		}
	}
	return seen
}

func (s *Seat) arrival() string {
	raw, err := durable.ReadBounded(filepath.Join(s.dir, arrivalName), markMost)
	if err != nil {
		return ""
	}
	return string(raw)
}

// WriteRecord writes the record for a newcomer.
func (s *Seat) WriteRecord(mark string, r *Record) error {
	raw, err := r.encode(mark)
	if err != nil {
		return err
	}
	return durable.ReplaceUnsynced(filepath.Join(s.dir, recordName), raw)
}

// ErrNoRecord is why a newcomer starts without a record.
var ErrNoRecord = errors.New("no record came in time")

// AwaitRecord waits for the record that the older process writes under this one's mark, for so long at most. Where that process is gone there is nothing to wait for.
func (s *Seat) AwaitRecord(within time.Duration) (*Record, error) {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(awaitEvery) {
		r, err := s.record()
		if err == nil {
			return r, nil
		}
		if !errors.Is(err, ErrNoRecord) && !errors.Is(err, errOther) { // other: of an earlier replacement
			return nil, err // renamed into place, it gets no better
		}
	}
	return nil, ErrNoRecord
}

// record reads what is there now.
func (s *Seat) record() (*Record, error) {
	raw, err := durable.ReadBounded(filepath.Join(s.dir, recordName), recordMost)
	switch {
	case errors.Is(err, durable.ErrTooLarge):
		return nil, fmt.Errorf("%w: %w", errDamaged, err)
	case err != nil:
		return nil, fmt.Errorf("%w: %w", ErrNoRecord, err)
	}
	return decode(raw, s.mark)
}

const awaitEvery = 5 * time.Millisecond

// Release gives the place up for good; a second call changes nothing.
func (s *Seat) Release() {
	if !s.left {
		s.left = true
		s.Close()
	}
}

// Close gives the place up.
func (s *Seat) Close() {
	for _, f := range []*os.File{s.seat, s.young} {
		if f != nil {
			f.Close()
		}
	}
}
