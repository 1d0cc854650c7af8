package state

import (
	"errors"
	"os"
	"syscall"
	"time"
)

const (
	// lockTimeout is how long to wait for a lock. A process that is terminating releases its lock sooner; a process
	// that continues to run does not release it at all.
	lockTimeout       = 200 * time.Millisecond
	lockRetryInterval = 10 * time.Millisecond
)

// ErrInUse is returned while another process has the state open.
var ErrInUse = errors.New("another process holds the lock")

// lockFile opens a file and holds an exclusive lock on it until the file is closed. The lock excludes other processes
// and other opens by this process. The error is ErrInUse if the lock can't be acquired within lockTimeout.
func lockFile(path string, flags int) (*os.File, error) {
	f, err := os.OpenFile(path, flags|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := lock(f); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}

// lock acquires an exclusive lock on an open file, and retries until lockTimeout.
func lock(f *os.File) error {
	deadline := time.Now().Add(lockTimeout)
	for ; ; time.Sleep(lockRetryInterval) {
		err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		switch {
		case err == nil:
			return nil
		case !errors.Is(err, syscall.EWOULDBLOCK) && !errors.Is(err, syscall.EINTR):
			return os.NewSyscallError("flock", err)
		case time.Now().After(deadline):
			return ErrInUse
		}
	}
}
