// Package durable writes files that are there whole or not at all, whatever ends the process meanwhile, and
// reads them so that damage is seen.
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

// ErrTooLarge is that a file holds more than its reader allows.
var ErrTooLarge = errors.New("the file is too long")

// Replace puts a file in another's place. With sync, file and name are on the disk when it returns; until
// then either the old content or the new one is found there.
func Replace(path string, raw []byte, sync bool) error {
	temporary, err := os.CreateTemp(filepath.Dir(path), temporaryPattern(path))
	if err != nil {
		return err
	}
	defer os.Remove(temporary.Name()) // after the rename there is none
	if _, err = temporary.Write(raw); err == nil && sync {
		err = temporary.Sync()
	}
	if err = errors.Join(err, temporary.Close()); err != nil {
		return err
	}
	if err := os.Rename(temporary.Name(), path); err != nil || !sync {
		return err
	}
	return syncDirectory(path)
}

// RemoveTemporary removes what calls of Replace for this path have left behind whose process was ended. No
// such call may be under way.
func RemoveTemporary(path string) error {
	left, err := filepath.Glob(filepath.Join(filepath.Dir(path), temporaryPattern(path)))
	for _, name := range left {
		err = errors.Join(err, os.Remove(name))
	}
	return err
}

func temporaryPattern(path string) string { return filepath.Base(path) + ".*" + temporarySuffix }

// ReadBounded reads a file of at most so many bytes; of a longer one it holds no more than that in memory.
func ReadBounded(path string, maxBytes int64) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	raw, err := io.ReadAll(io.LimitReader(f, maxBytes+1))
	if err != nil {
		return nil, err
	}
	if int64(len(raw)) > maxBytes {
		return nil, fmt.Errorf("%s: %w: more than %d bytes", path, ErrTooLarge, maxBytes)
	}
	return raw, nil
}

// Quarantine renames a damaged file, so that it can be looked at and is not read again. One that was put aside
// earlier is replaced.
func Quarantine(path string) error {
	if err := os.Rename(path, path+quarantineSuffix); err != nil {
		return err
	}
	return syncDirectory(path)
}

// Remove removes a file for good: its name is gone from the disk when it returns.
func Remove(path string) error {
	if err := os.Remove(path); err != nil {
		return err
	}
	return syncDirectory(path)
}

// syncFolder makes the names in a file's folder last.
func syncDirectory(path string) error {
	directory, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	return errors.Join(directory.Sync(), directory.Close())
}
