package state

import (
	"errors"
	"os"
	"syscall"
	"time"
)

const (
	lockTimeout       = 200 * time.Millisecond // another process that has it ends soon, or does not
	lockRetryInterval = 10 * time.Millisecond
)

// ErrInUse is that another process has the state open.
var ErrInUse = errors.New("another process has it open")

// lockFile opens a file and locks it, against other processes and other opens of this one, until it is closed.
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
	for end := time.Now().Add(lockTimeout); ; time.Sleep(lockRetryInterval) {
		err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		switch {
		case err == nil:
			return nil
		case !errors.Is(err, syscall.EWOULDBLOCK) && !errors.Is(err, syscall.EINTR):
			return os.NewSyscallError("flock", err)
		case time.Now().After(end):
			return ErrInUse
		}
	}
}
