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
	fileName = "caperarch-bans.json"
	lockName = "caperarch-bans.lock"
	fileMost = 1 << 20 // bytes of the file; more is none of ours
	form     = 1       // of the file
)

// file keeps the bans where they outlive the process, and where another process of the same sidecar sees them.
type file struct{ dir string }

// kept is the file's text.
type kept struct {
	Form int             `json:"form"`
	Bans json.RawMessage `json:"bans"`
	Sum  uint64          `json:"sum"` // of Bans' bytes: half a file, or one that was edited, is none
}

// stamp tells one writing of the file from another. They are renamed into place, so each has an inode of its own.
type stamp struct {
	inode uint64
	time  syscall.Timespec
	size  int64
}

func (f file) path() string { return filepath.Join(f.dir, fileName) }

// stamp is the file's present one; the zero one where there is no file.
func (f file) stamp() stamp {
	var s syscall.Stat_t
	if f.dir == "" || syscall.Stat(f.path(), &s) != nil {
		return stamp{}
	}
	return stamp{s.Ino, s.Mtim, s.Size}
}

// read returns the bans; none where there is no file. One that is damaged is put aside, so that it can be looked at and is not read again.
func (f file) read() ([]string, error) {
	bans, err := f.parse()
	if errors.Is(err, durable.ErrCorrupt) {
		return nil, errors.Join(err, durable.Quarantine(f.path()))
	}
	return bans, err
}

func (f file) parse() ([]string, error) {
	raw, err := durable.ReadBounded(f.path(), fileMost)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return nil, nil
	case errors.Is(err, durable.ErrTooLarge):
		return nil, fmt.Errorf("%w: %w", durable.ErrCorrupt, err)
	case err != nil:
		return nil, err
	}
	var k kept
	if err := json.Unmarshal(raw, &k); err != nil {
		return nil, fmt.Errorf("%w: %w", durable.ErrCorrupt, err)
	}
	if k.Form != form || k.Sum != xxhash.Sum64(k.Bans) {
		return nil, fmt.Errorf("%w: form %d or its sum is not right", durable.ErrCorrupt, k.Form)
	}
	var bans []string
	if err := json.Unmarshal(k.Bans, &bans); err != nil {
		return nil, fmt.Errorf("%w: %w", durable.ErrCorrupt, err)
	}
	return bans, nil
}

// write replaces the file, whole or not at all.
func (f file) write(bans []string) error {
	text, err := json.Marshal(bans)
	if err != nil {
		return err
	}
	raw, err := json.Marshal(kept{form, text, xxhash.Sum64(text)})
	if err != nil {
		return err
	}
	return durable.Replace(f.path(), raw)
}

// change reads, edits and writes the bans while no other process does. The result is what they are now, also where they could not be
// written: then it holds in this process alone.
func (f file) change(have []string, edit func([]string) []string) ([]string, error) {
	if f.dir == "" {
		return edit(slices.Clone(have)), errors.New("TMPDIR is not set")
	}
	l, err := os.OpenFile(filepath.Join(f.dir, lockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return edit(slices.Clone(have)), err
	}
	defer l.Close() // which unlocks it
	if err := syscall.Flock(int(l.Fd()), syscall.LOCK_EX); err != nil {
		return edit(slices.Clone(have)), err
	}
	bans, err := f.read()
	if err != nil {
		bans = slices.Clone(have)
	}
	bans = edit(bans)
	return bans, errors.Join(err, f.write(bans))
}
