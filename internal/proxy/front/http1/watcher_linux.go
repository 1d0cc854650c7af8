package http1

import (
	"errors"
	"os"
	"sync"
	"syscall"
)

// epollET is EPOLLET: syscall's own constant is negative and doesn't fit the field.
const epollET = 1 << 31

// watcher notices clients that leave while their requests are open, for all connections at once. Each connection is
// added when it is accepted and removed by the system when it closes, so a request costs no system call for that and
// no goroutine of its own. The watcher's goroutine ends with close.
type watcher struct {
	file *os.File // of epoll(7): the runtime's poller waits for it, no thread does
	raw  syscall.RawConn

	mu    sync.Mutex
	conns map[int32]*conn // by descriptor; guarded by mu
}

func newWatcher() (*watcher, error) {
	fd, err := syscall.EpollCreate1(syscall.EPOLL_CLOEXEC)
	if err != nil {
		return nil, os.NewSyscallError("epoll_create1", err)
	}
	if err := syscall.SetNonblock(fd, true); err != nil { // so that os.NewFile hands it to the runtime's poller
		syscall.Close(fd)
		return nil, os.NewSyscallError("fcntl", err)
	}
	w := &watcher{file: os.NewFile(uintptr(fd), "epoll"), conns: make(map[int32]*conn)}
	if w.raw, err = w.file.SyscallConn(); err != nil {
		w.file.Close()
		return nil, err
	}
	go w.run()
	return w, nil
}

func (w *watcher) close() { w.file.Close() }

// add has a connection told once when its client ends its side or resets it, and each time that bytes come if
// notifyOnData is set.
func (w *watcher) add(c *conn) {
	if c.rawConn == nil {
		return
	}
	_ = c.rawConn.Control(func(fd uintptr) {
		c.fd = int32(fd)
		w.mu.Lock()
		w.conns[c.fd] = c
		w.mu.Unlock()
		w.control(syscall.EPOLL_CTL_ADD, c)
	})
}

// update has a connection told of bytes as well, or no longer, by c.notifyOnData. Bytes that have come already count
// too.
func (w *watcher) update(c *conn) {
	_ = c.rawConn.Control(func(uintptr) { w.control(syscall.EPOLL_CTL_MOD, c) })
}

// control is called while the connection's descriptor is sure to be its own.
func (w *watcher) control(op int, c *conn) {
	event := syscall.EpollEvent{Events: syscall.EPOLLRDHUP | epollET, Fd: c.fd}
	if c.notifyOnData {
		event.Events |= syscall.EPOLLIN
	}
	_ = w.raw.Control(func(epoll uintptr) {
		_ = syscall.EpollCtl(int(epoll), op, int(c.fd), &event)
	})
}

// remove removes a connection that is about to close.
func (w *watcher) remove(c *conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.conns[c.fd] == c {
		delete(w.conns, c.fd)
	}
}

// run reports events until the watcher is closed.
func (w *watcher) run() {
	var events [64]syscall.EpollEvent
	for {
		var n int
		err := w.raw.Read(func(epoll uintptr) bool {
			var err error
			n, err = syscall.EpollWait(int(epoll), events[:], 0)
			return n > 0 || err != nil && !errors.Is(err, syscall.EINTR)
		})
		if err != nil {
			return // closed
		}
		w.mu.Lock()
		for _, e := range events[:max(n, 0)] {
			// The descriptor may be another connection's by now: who is told checks, see conn.clientGone.
			if c := w.conns[e.Fd]; c != nil {
				if e.Events&^syscall.EPOLLIN != 0 {
					c.signalHangup()
				}
				if e.Events&syscall.EPOLLIN != 0 {
					c.notifyData()
				}
			}
		}
		w.mu.Unlock()
	}
}
