// Package durable replaces files atomically, so that a file is never partially written even if the process or the
// machine crashes, and detects corruption of files. The package has no state. Its functions may be called from any
// goroutine, but not concurrently for the same path.
package durable

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
)

const (
	temporarySuffix  = ".tmp"
	quarantineSuffix = ".damaged"
)

// ErrTooLarge is returned for a file that exceeds its size limit.
var ErrTooLarge = errors.New("file exceeds its size limit")

// Replace replaces or creates a file. When Replace returns, the content and the name are synced to the disk. If the
// process or the machine crashes before, the file has either the old content or the new content.
func Replace(path string, content []byte) error {
	if err := replace(path, content, (*os.File).Sync); err != nil {
		return err
	}
	return SyncName(path)
}

// ReplaceUnsynced replaces or creates a file without syncing it to the disk. A crash of the process leaves either the
// old content or the new content, but a crash of the machine may leave any content.
func ReplaceUnsynced(path string, content []byte) error {
	return replace(path, content, func(*os.File) error { return nil })
}

// replace writes a temporary file, calls finish on the file and renames it to path.
func replace(path string, content []byte, finish func(*os.File) error) error {
	temporary, err := os.CreateTemp(filepath.Dir(path), temporaryPattern(path))
	if err != nil {
		return err
	}
	defer os.Remove(temporary.Name()) // has no effect after the rename
	if _, err = temporary.Write(content); err == nil {
		err = finish(temporary)
	}
	if err = errors.Join(err, temporary.Close()); err != nil {
		return err
	}
	return os.Rename(temporary.Name(), path)
}

// RemoveTemporary removes the temporary files that were left by calls of Replace for this path when their process was
// killed. Replace must not be running for this path.
func RemoveTemporary(path string) error {
	abandoned, err := filepath.Glob(filepath.Join(filepath.Dir(path), temporaryPattern(path)))
	for _, name := range abandoned {
		err = errors.Join(err, os.Remove(name))
	}
	return err
}

// temporaryPattern returns the pattern of the names of temporary files, for os.CreateTemp and filepath.Glob.
func temporaryPattern(path string) string { return filepath.Base(path) + ".*" + temporarySuffix }

// ReadBounded reads a file of at most maxBytes bytes. It returns ErrTooLarge for a larger file, of which it reads not
// more than maxBytes+1 bytes.
func ReadBounded(path string, maxBytes int64) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	content, err := io.ReadAll(io.LimitReader(f, maxBytes+1))
	if err != nil {
		return nil, err
	}
	if int64(len(content)) > maxBytes {
		return nil, fmt.Errorf("%s: %w of %d bytes", path, ErrTooLarge, maxBytes)
	}
	return content, nil
}

// Quarantine renames a corrupt file by adding the suffix ".damaged", so that the file can be examined and is not read
// again. A file that was quarantined earlier under the same name is replaced.
func Quarantine(path string) error {
	if err := os.Rename(path, path+quarantineSuffix); err != nil {
		return err
	}
	return SyncName(path)
}

// Remove removes a file and syncs the removal to the disk.
func Remove(path string) error {
	if err := os.Remove(path); err != nil {
		return err
	}
	return SyncName(path)
}

// SyncName makes the creation, renaming or removal of a file or directory durable. It syncs the parent directory of
// path.
func SyncName(path string) error {
	directory, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	return errors.Join(directory.Sync(), directory.Close())
}
