//go:build !linux

package http1

// watcher works on Linux only. Elsewhere a client that leaves is noticed when its response is written, and only what
// comes with a request's head is read ahead.
type watcher struct{}

func newWatcher() (*watcher, error) { return new(watcher), nil }
func (*watcher) close()             {}
func (*watcher) add(*conn)          {}
func (*watcher) update(*conn)       {}
func (*watcher) remove(*conn)       {}
