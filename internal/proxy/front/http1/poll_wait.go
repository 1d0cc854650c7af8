package http1

import (
	"errors"
	"os"
	"sync"
	"syscall"
)

// pollWaits waits for the next time that the Go runtime polls the network. The runtime polls when no goroutine is
// runnable, or after 10 ms at the latest. So a goroutine that waits lets all other runnable goroutines proceed first,
// and lets input that has arrived be noticed. runtime.Gosched would have the opposite effect: a goroutine that yields
// stays runnable, and while any goroutine is runnable the network is polled only every 10 ms, which would delay all
// responses.
type pollWaits struct {
	mu   sync.Mutex
	free []*pollPipe // pipes that no goroutine waits on; guarded by mu
}

// pollPipe is a pipe that the runtime polls: a byte written to it wakes its reader at the next poll.
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

// wait returns after the next network poll of the runtime, or at once if the system can create no pipe.
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
		if !written { // write only after internal/poll's prepareRead has cleared the pipe's readiness
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

// close closes the pipes that no goroutine waits on.
func (w *pollWaits) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.free {
		p.close()
	}
	w.free = nil
}
