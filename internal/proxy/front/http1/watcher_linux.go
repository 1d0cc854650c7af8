package http1

import (
	"errors"
	"os"
	"sync"
	"syscall"
)

// epollET is EPOLLET. The constant syscall.EPOLLET is negative and does not fit into EpollEvent.Events.
const epollET = 1 << 31

// watcher detects clients that leave while their requests are open, for all connections together. Each connection is
// added when it is accepted, and the system removes it from the epoll set when it closes. So a request needs neither
// a system call nor a goroutine of its own for the detection. The watcher's goroutine ends with close.
type watcher struct {
	file *os.File // an epoll(7) instance; the runtime's poller waits for it, so no thread blocks
	raw  syscall.RawConn

	mu    sync.Mutex
	conns map[int32]*conn // by file descriptor; guarded by mu
}

func newWatcher() (*watcher, error) {
	fd, err := syscall.EpollCreate1(syscall.EPOLL_CLOEXEC)
	if err != nil {
		return nil, os.NewSyscallError("epoll_create1", err)
	}
	if err := syscall.SetNonblock(fd, true); err != nil { // otherwise os.NewFile would not use the runtime poller
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

// add begins to report events of a connection: once when its client closes its side or resets the connection and,
// with notifyOnData, each time that bytes are received.
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

// update enables or disables reports of received bytes, by c.notifyOnData. Bytes that are already available when
// reports are enabled are reported, too.
func (w *watcher) update(c *conn) {
	_ = c.rawConn.Control(func(uintptr) { w.control(syscall.EPOLL_CTL_MOD, c) })
}

// control changes the epoll set. It must be called only while the connection's descriptor is certainly open.
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
			return // the watcher was closed
		}
		w.mu.Lock()
		for _, e := range events[:max(n, 0)] {
			// The descriptor may belong to another connection by now. The notified connection checks its own state,
			// see conn.clientGone.
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
