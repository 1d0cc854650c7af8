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
	maxFileBytes    = 1 << 20 // a larger file is treated as corrupt
	documentVersion = 1
)

// file is the bans file. The bans in the file outlive the process and are visible to other processes of the same
// sidecar.
type file struct{ dir string }

// document is the content of the bans file.
type document struct {
	Version int             `json:"form"`
	Bans    json.RawMessage `json:"bans"`
	Sum     uint64          `json:"sum"` // xxhash of Bans, detects a truncated or edited file
}

// stamp identifies one version of the file. Each version is written to a new file that is renamed to the file name, so
// each version has its own inode.
type stamp struct {
	inode uint64
	time  syscall.Timespec
	size  int64
}

func (f file) path() string { return filepath.Join(f.dir, fileName) }

// stamp returns the stamp of the current file, or the zero stamp if the file does not exist.
func (f file) stamp() stamp {
	var s syscall.Stat_t
	if f.dir == "" || syscall.Stat(f.path(), &s) != nil {
		return stamp{}
	}
	return stamp{s.Ino, s.Mtim, s.Size}
}

// read returns the bans, or none if the file does not exist. read moves a corrupt file to quarantine, so that the file
// can be inspected and is not read again.
func (f file) read() ([]string, error) {
	banned, err := f.parse()
	if errors.Is(err, durable.ErrCorrupt) {
		return nil, errors.Join(err, durable.Quarantine(f.path()))
	}
	return banned, err
}

// parse reads and validates the file. The error is durable.ErrCorrupt if the content is not valid.
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
	if d.Version != documentVersion || d.Sum != xxhash.Sum64(d.Bans) {
		return nil, fmt.Errorf("%w: unknown version or wrong checksum, version is %d", durable.ErrCorrupt, d.Version)
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

// change reads, edits and writes the bans under a file lock that all processes of the sidecar use. It returns the
// resulting bans even if it also returns an error; after an error the bans apply in this process only.
func (f file) change(current []string, edit func([]string) []string) ([]string, error) {
	if f.dir == "" {
		return edit(slices.Clone(current)), errors.New("TMPDIR is not set")
	}
	lock, err := os.OpenFile(filepath.Join(f.dir, lockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return edit(slices.Clone(current)), err
	}
	defer lock.Close() // releases the file lock
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
