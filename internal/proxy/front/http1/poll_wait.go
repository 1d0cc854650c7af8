package http1

import (
	"errors"
	"os"
	"sync"
	"syscall"
)

// turns wait for the runtime's poller to have looked at the network once more. It does when nothing is runnable any
// more, or after 10 ms. One that waits for that has let all go first that others have begun, and all that has come in
// over the network; yielding does the opposite: whoever yields is runnable, and as long as somebody is, the
// network is looked at every 10 ms only, which all answers then wait for.
type pollWaits struct {
	mu   sync.Mutex
	free []*pollPipe
}

// turn is a pipe: a byte that is written to it is seen by the poller.
type pollPipe struct {
	r, w *os.File
	raw  syscall.RawConn
}

func newPollPipe() (*pollPipe, error) {
	r, w, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	t := &pollPipe{r: r, w: w}
	if t.raw, err = r.SyscallConn(); err != nil {
		t.close()
		return nil, err
	}
	return t, nil
}

func (t *pollPipe) close() {
	t.r.Close()
	t.w.Close()
}

// wait returns behind one look of the poller at the network, or at once where the system has no pipe left.
func (ts *pollWaits) wait() {
	ts.mu.Lock()
	var t *pollPipe
	if n := len(ts.free); n > 0 {
		t, ts.free = ts.free[n-1], ts.free[:n-1]
	}
	ts.mu.Unlock()
	if t == nil {
		var err error
		if t, err = newPollPipe(); err != nil {
			return
		}
	}
	written := false
	err := t.raw.Read(func(fd uintptr) bool {
		if !written { // only now that the poller's memory of the pipe is cleared, see internal/poll's prepareRead
			written = true
			_, err := t.w.Write([]byte{1})
			return err != nil
		}
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		return !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
	})
	if err != nil {
		t.close()
		return
	}
	ts.mu.Lock()
	defer ts.mu.Unlock()
	ts.free = append(ts.free, t)
}

// close closes those that nobody waits on.
func (ts *pollWaits) close() {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	for _, t := range ts.free {
		t.close()
	}
	ts.free = nil
}
