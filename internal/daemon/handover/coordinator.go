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

// Names of the files by which the processes of a sidecar find each other.
const (
	primaryLockName   = "caperarch-seat.lock"
	successorLockName = "caperarch-newcomer.lock"
	successorIDName   = "caperarch-arrival"
	recordName        = "caperarch-record.json"

	maxIDBytes = 64
)

// Coordinator coordinates this process with the other processes of its sidecar through files in a shared directory. The
// primary, which is the oldest live process, holds the primary lock. A successor, which is a process that replaces the
// primary, holds the successor lock. The kernel releases the locks of a process when the process ends.
type Coordinator struct {
	dir           string
	id            string // id of this process as a successor; "": no older process lived when this process started
	primaryLock   *os.File
	isPrimary     bool // this process holds primaryLock
	successorLock *os.File
	isSuccessor   bool // this process holds successorLock
	released      bool // this process has released its locks permanently
}

// Open makes this process the primary, or a successor if an older process is the primary.
func Open(dir string) (c *Coordinator, err error) {
	c = &Coordinator{dir: dir}
	opened := c // a return with an error sets c to nil
	defer func() {
		if err != nil {
			opened.Close()
		}
	}()
	if c.primaryLock, err = os.OpenFile(filepath.Join(dir, primaryLockName), os.O_CREATE|os.O_RDWR, 0o600); err != nil {
		return nil, err
	}
	if c.successorLock, err = os.OpenFile(
		filepath.Join(dir, successorLockName), os.O_CREATE|os.O_RDWR, 0o600,
	); err != nil {
		return nil, err
	}
	if c.isPrimary, err = lock(c.primaryLock); err != nil || c.isPrimary {
		return c, err
	}
	// isSuccessor is false if another successor holds the lock. Both successors then observe the older process.
	if c.isSuccessor, err = lock(c.successorLock); err != nil {
		return nil, err
	}
	c.id = rand.Text()
	if err := durable.ReplaceUnsynced(filepath.Join(dir, successorIDName), []byte(c.id)); err != nil {
		return nil, fmt.Errorf("successor id not written: %w", err)
	}
	return c, nil
}

// lock tries to lock a file without waiting, and returns false if another process holds the lock.
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

// ID returns the id of this process as a successor, or "" if no older process lived when this process started.
func (c *Coordinator) ID() string { return c.id }

// Observe returns which processes of the sidecar live, and makes this process the primary if the older process has
// ended. The caller sets HoldsFewConns.
func (c *Coordinator) Observe() Observation {
	if c.released {
		return Observation{}
	}
	if !c.isPrimary {
		if c.isPrimary, _ = lock(c.primaryLock); c.isPrimary && c.isSuccessor { // unlocks for the next successor
			_ = syscall.Flock(int(c.successorLock.Fd()), syscall.LOCK_UN)
			c.isSuccessor = false
		}
	}
	seen := Observation{IsPrimary: c.isPrimary, LatestSuccessorID: c.latestSuccessorID()}
	if !c.isSuccessor {
		if free, err := lock(c.successorLock); err == nil && !free {
			seen.HasSuccessor = true
		} else if free {
			_ = syscall.Flock(int(c.successorLock.Fd()), syscall.LOCK_UN)
		}
	}
	return seen
}

// latestSuccessorID returns the id of the successor that started last, or "" if no successor has ever started.
func (c *Coordinator) latestSuccessorID() string {
	raw, err := durable.ReadBounded(filepath.Join(c.dir, successorIDName), maxIDBytes)
	if err != nil {
		return ""
	}
	return string(raw)
}

// WriteRecord writes the handover record for the successor with the given id.
func (c *Coordinator) WriteRecord(id string, r *Record) error {
	raw, err := r.encode(id)
	if err != nil {
		return err
	}
	return durable.ReplaceUnsynced(filepath.Join(c.dir, recordName), raw)
}

// ErrNoRecord is returned if the older process did not write a handover record within the timeout.
var ErrNoRecord = errors.New("the older process wrote no handover record within the timeout")

// AwaitRecord waits for the handover record that the older process writes for this process. It returns ErrNoRecord if
// no record is written within the timeout, and another error if the record is not valid.
func (c *Coordinator) AwaitRecord(timeout time.Duration) (*Record, error) {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(pollInterval) {
		r, err := c.record()
		if err == nil {
			return r, nil
		}
		// A record for another process is a leftover of an earlier replacement.
		if !errors.Is(err, ErrNoRecord) && !errors.Is(err, errOtherRecipient) {
			return nil, err // the record was renamed into place complete, so a retry would read the same content
		}
	}
	return nil, ErrNoRecord
}

// record reads the current record file.
func (c *Coordinator) record() (*Record, error) {
	raw, err := durable.ReadBounded(filepath.Join(c.dir, recordName), maxRecordBytes)
	switch {
	case errors.Is(err, durable.ErrTooLarge):
		return nil, fmt.Errorf("%w: %w", errCorrupt, err)
	case err != nil:
		return nil, fmt.Errorf("%w: %w", ErrNoRecord, err)
	}
	return decode(raw, c.id)
}

// pollInterval is the interval at which AwaitRecord reads the record file.
const pollInterval = 5 * time.Millisecond

// Release releases the locks permanently. Further calls do nothing.
func (c *Coordinator) Release() {
	if !c.released {
		c.released = true
		c.Close()
	}
}

// Close closes the lock files, which releases the locks.
func (c *Coordinator) Close() {
	for _, f := range []*os.File{c.primaryLock, c.successorLock} {
		if f != nil {
			f.Close()
		}
	}
}
