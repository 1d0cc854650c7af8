//go:build !linux

package http1

// watcher works on Linux only. On other systems a client that leaves is detected when its response is written, and
// only requests received together with the head of another are read ahead.
type watcher struct{}

func newWatcher() (*watcher, error) { return new(watcher), nil }
func (*watcher) close()             {}
func (*watcher) add(*conn)          {}
func (*watcher) update(*conn)       {}
func (*watcher) remove(*conn)       {}
