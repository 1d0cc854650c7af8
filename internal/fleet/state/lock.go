package state

import (
	"errors"
	"os"
	"syscall"
	"time"
)

const (
	// lockTimeout is how long to wait for a lock: a process that is about to end releases it sooner, and
	// any other doesn't release it.
	lockTimeout       = 200 * time.Millisecond
	lockRetryInterval = 10 * time.Millisecond
)

// ErrInUse says that another process has the state open.
var ErrInUse = errors.New("another process has it open")

// lockFile opens a file and locks it, against other processes and other opens of this one, until it is
// closed. It is ErrInUse if the lock isn't released within lockTimeout.
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
