package http1

import (
	"errors"
	"os"
	"sync"
	"syscall"
)

// pollWaits waits for the runtime's poller to look at the network once more. It does when no goroutine is runnable
// any more, or after 10 ms. One that waits for that lets all go first that others have begun, and all that has come
// in over the network. Yielding does the opposite: whoever yields is runnable, and as long as somebody is, the
// network is looked at every 10 ms only, which all responses then wait for.
type pollWaits struct {
	mu   sync.Mutex
	free []*pollPipe // that nobody waits on; guarded by mu
}

// pollPipe is a pipe: a byte that is written to it is seen by the poller.
type pollPipe struct {
	r, w *os.File
	raw  syscall.RawConn
}

func newPollPipe() (*pollPipe, error) {
	r, w, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	p := &pollPipe{r: r, w: w}
	if p.raw, err = r.SyscallConn(); err != nil {
		p.close()
		return nil, err
	}
	return p, nil
}

func (p *pollPipe) close() {
	p.r.Close()
	p.w.Close()
}

// wait returns after one look of the poller at the network, or at once where the system has no pipe left.
func (w *pollWaits) wait() {
	w.mu.Lock()
	var p *pollPipe
	if n := len(w.free); n > 0 {
		p, w.free = w.free[n-1], w.free[:n-1]
	}
	w.mu.Unlock()
	if p == nil {
		var err error
		if p, err = newPollPipe(); err != nil {
			return
		}
	}
	written := false
	err := p.raw.Read(func(fd uintptr) bool {
		if !written { // only now that the poller's memory of the pipe is cleared, see internal/poll's prepareRead
			written = true
			_, err := p.w.Write([]byte{1})
			return err != nil
		}
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		return !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
	})
	if err != nil {
		p.close()
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.free = append(w.free, p)
}

// close closes the pipes that nobody waits on.
func (w *pollWaits) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.free {
		p.close()
	}
	w.free = nil
}
