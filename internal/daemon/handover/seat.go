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

	maxIDBytes = 64
)

// Seat is the claim of a process among those of its sidecar, in the folder that they share. The oldest process
// has the seat; one that is to replace it is the newcomer. Locks end with the process that holds them.
type Seat struct {
	dir          string
	id           string // its own; "": it came first
	seatLock     *os.File
	hasSeat      bool // seatLock is locked by this process
	newcomerLock *os.File
	isNewcomer   bool // newcomerLock is locked by this process
	released     bool // it gave up its claim, and lives on
}

// Open takes the seat, or announces a newcomer if an older process has the seat.
func Open(dir string) (s *Seat, err error) {
	s = &Seat{dir: dir}
	opened := s // a return with an error clears s
	defer func() {
		if err != nil {
			opened.Close()
		}
	}()
	if s.seatLock, err = os.OpenFile(filepath.Join(dir, seatName), os.O_CREATE|os.O_RDWR, 0o600); err != nil {
		return nil, err
	}
	if s.newcomerLock, err = os.OpenFile(filepath.Join(dir, newcomerName), os.O_CREATE|os.O_RDWR, 0o600); err != nil {
		return nil, err
	}
	if s.hasSeat, err = lock(s.seatLock); err != nil || s.hasSeat {
		return s, err
	}
	// False: there is another newcomer, and both find the older process.
	if s.isNewcomer, err = lock(s.newcomerLock); err != nil {
		return nil, err
	}
	s.id = rand.Text()
	if err := durable.ReplaceUnsynced(filepath.Join(dir, arrivalName), []byte(s.id)); err != nil {
		return nil, fmt.Errorf("arrival: %w", err)
	}
	return s, nil
}

// lock takes a lock without waiting; false: another process has it.
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

// ID returns the newcomer's id; "": this process came first.
func (s *Seat) ID() string { return s.id }

// Observe looks which processes live, and takes the seat if the older process has ended.
func (s *Seat) Observe() Observation {
	if s.released {
		return Observation{}
	}
	if !s.hasSeat {
		if s.hasSeat, _ = lock(s.seatLock); s.hasSeat && s.isNewcomer { // the next newcomer may come
			_ = syscall.Flock(int(s.newcomerLock.Fd()), syscall.LOCK_UN)
			s.isNewcomer = false
		}
	}
	seen := Observation{HasSeat: s.hasSeat, LatestArrival: s.arrival()}
	if !s.isNewcomer {
		if free, err := lock(s.newcomerLock); err == nil && !free {
			seen.Newcomer = true
		} else if free {
			_ = syscall.Flock(int(s.newcomerLock.Fd()), syscall.LOCK_UN)
		}
	}
	return seen
}

// arrival returns the id of the newest newcomer; "": there was none.
func (s *Seat) arrival() string {
	raw, err := durable.ReadBounded(filepath.Join(s.dir, arrivalName), maxIDBytes)
	if err != nil {
		return ""
	}
	return string(raw)
}

// WriteRecord writes the record for the newcomer of this id.
func (s *Seat) WriteRecord(id string, r *Record) error {
	raw, err := r.encode(id)
	if err != nil {
		return err
	}
	return durable.ReplaceUnsynced(filepath.Join(s.dir, recordName), raw)
}

// ErrNoRecord says that the older process wrote no record in time.
var ErrNoRecord = errors.New("no record came in time")

// AwaitRecord waits for the record that the older process writes for this one. Its error is ErrNoRecord if none
// came in time, or says why the record can't be used.
func (s *Seat) AwaitRecord(within time.Duration) (*Record, error) {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(pollInterval) {
		r, err := s.record()
		if err == nil {
			return r, nil
		}
		// A record for another process was left by an earlier replacement.
		if !errors.Is(err, ErrNoRecord) && !errors.Is(err, errOtherRecipient) {
			return nil, err // it was renamed into place, so a retry would find the same
		}
	}
	return nil, ErrNoRecord
}

// record reads the record that is there now.
func (s *Seat) record() (*Record, error) {
	raw, err := durable.ReadBounded(filepath.Join(s.dir, recordName), maxRecordBytes)
	switch {
	case errors.Is(err, durable.ErrTooLarge):
		return nil, fmt.Errorf("%w: %w", errCorrupt, err)
	case err != nil:
		return nil, fmt.Errorf("%w: %w", ErrNoRecord, err)
	}
	return decode(raw, s.id)
}

// pollInterval is the time between two looks for the record.
const pollInterval = 5 * time.Millisecond

// Release gives up seat and claim for good; a second call changes nothing.
func (s *Seat) Release() {
	if !s.released {
		s.released = true
		s.Close()
	}
}

// Close closes the lock files, which releases the locks.
func (s *Seat) Close() {
	for _, f := range []*os.File{s.seatLock, s.newcomerLock} {
		if f != nil {
			f.Close()
		}
	}
}
