package cordonstore

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"syscall"

	"caperarch/internal/proxy/durable"

	"github.com/cespare/xxhash/v2"
)

const (
	fileName        = "caperarch-bans.json"
	lockName        = "caperarch-bans.lock"
	maxFileBytes    = 1 << 20 // a larger file is not one of ours
	documentVersion = 1
)

// file stores the bans so that they outlive the process and other processes of the same sidecar see them.
type file struct{ dir string }

// document is the content of the file.
type document struct {
	Form int             `json:"form"`
	Bans json.RawMessage `json:"bans"`
	Sum  uint64          `json:"sum"` // xxhash of Bans: a truncated or edited file is corrupt
}

// stamp identifies one version of the file. Each is renamed into place, so it has an inode of its own.
type stamp struct {
	inode uint64
	time  syscall.Timespec
	size  int64
}

func (f file) path() string { return filepath.Join(f.dir, fileName) }

// stamp returns the stamp of the present file; the zero stamp if there is none.
func (f file) stamp() stamp {
	var s syscall.Stat_t
	if f.dir == "" || syscall.Stat(f.path(), &s) != nil {
		return stamp{}
	}
	return stamp{s.Ino, s.Mtim, s.Size}
}

// read returns the bans; none if there is no file. A corrupt file is quarantined, so that it can be inspected and is
// not read again.
func (f file) read() ([]string, error) {
	banned, err := f.parse()
	if errors.Is(err, durable.ErrCorrupt) {
		return nil, errors.Join(err, durable.Quarantine(f.path()))
	}
	return banned, err
}

// parse reads and checks the file; the error is durable.ErrCorrupt if its content is not valid.
func (f file) parse() ([]string, error) {
	raw, err := durable.ReadBounded(f.path(), maxFileBytes)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return nil, nil
	case errors.Is(err, durable.ErrTooLarge):
		return nil, fmt.Errorf("%w: %w", durable.ErrCorrupt, err)
	case err != nil:
		return nil, err
	}
	var d document
	if err := json.Unmarshal(raw, &d); err != nil {
		return nil, fmt.Errorf("%w: %w", durable.ErrCorrupt, err)
	}
	if d.Form != documentVersion || d.Sum != xxhash.Sum64(d.Bans) {
		return nil, fmt.Errorf("%w: form %d or its sum is not right", durable.ErrCorrupt, d.Form)
	}
	var banned []string
	if err := json.Unmarshal(d.Bans, &banned); err != nil {
		return nil, fmt.Errorf("%w: %w", durable.ErrCorrupt, err)
	}
	return banned, nil
}

// write replaces the file atomically.
func (f file) write(banned []string) error {
	text, err := json.Marshal(banned)
	if err != nil {
		return err
	}
	raw, err := json.Marshal(document{documentVersion, text, xxhash.Sum64(text)})
	if err != nil {
		return err
	}
	return durable.Replace(f.path(), raw)
}

// change reads, edits and writes the bans under a lock that other processes respect. It returns the bans as they are
// now, even with an error: then they hold in this process alone.
func (f file) change(current []string, edit func([]string) []string) ([]string, error) {
	if f.dir == "" {
		return edit(slices.Clone(current)), errors.New("TMPDIR is not set")
	}
	lock, err := os.OpenFile(filepath.Join(f.dir, lockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return edit(slices.Clone(current)), err
	}
	defer lock.Close() // which unlocks it
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX); err != nil {
		return edit(slices.Clone(current)), err
	}
	banned, err := f.read()
	if err != nil {
		banned = slices.Clone(current)
	}
	banned = edit(banned)
	return banned, errors.Join(err, f.write(banned))
}
