// Package durable writes files that are there completely or not at all, whatever ends the process
// meanwhile, and reads them so that corruption is noticed. It keeps no state: its functions may be called
// from any goroutine, but no two of them at once for one path.
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

// ErrTooLarge says that a file holds more than its reader allows.
var ErrTooLarge = errors.New("the file is too long")

// Replace replaces a file or creates it. Content and name are on the disk when it returns; until then
// either the old content or the new one is found there.
func Replace(path string, content []byte) error {
	if err := replace(path, content, (*os.File).Sync); err != nil {
		return err
	}
	return SyncName(path)
}

// ReplaceUnsynced replaces a file or creates it, for readers on this machine only: a crash of the machine
// may leave any content.
func ReplaceUnsynced(path string, content []byte) error {
	return replace(path, content, func(*os.File) error { return nil })
}

// replace writes a temporary file, calls finish on it and renames it.
func replace(path string, content []byte, finish func(*os.File) error) error {
	temporary, err := os.CreateTemp(filepath.Dir(path), temporaryPattern(path))
	if err != nil {
		return err
	}
	defer os.Remove(temporary.Name()) // after the rename there is none
	if _, err = temporary.Write(content); err == nil {
		err = finish(temporary)
	}
	if err = errors.Join(err, temporary.Close()); err != nil {
		return err
	}
	return os.Rename(temporary.Name(), path)
}

// RemoveTemporary removes the files that calls of Replace for this path have left behind whose process
// was killed. No such call may be running.
func RemoveTemporary(path string) error {
	abandoned, err := filepath.Glob(filepath.Join(filepath.Dir(path), temporaryPattern(path)))
	for _, name := range abandoned {
		err = errors.Join(err, os.Remove(name))
	}
	return err
}

func temporaryPattern(path string) string { return filepath.Base(path) + ".*" + temporarySuffix }

// ReadBounded reads a file of at most so many bytes. A larger one is ErrTooLarge, and no more of it than
// the bound is held in memory.
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
		return nil, fmt.Errorf("%s: %w: more than %d bytes", path, ErrTooLarge, maxBytes)
	}
	return content, nil
}

// Quarantine renames a corrupt file, so that it can be examined and is not read again. One that was
// quarantined earlier is replaced.
func Quarantine(path string) error {
	if err := os.Rename(path, path+quarantineSuffix); err != nil {
		return err
	}
	return SyncName(path)
}

// Remove removes a file; its name is gone from the disk when it returns.
func Remove(path string) error {
	if err := os.Remove(path); err != nil {
		return err
	}
	return SyncName(path)
}

// SyncName makes the name of a file or directory durable, or that it is gone: it syncs the directory that
// holds it.
func SyncName(path string) error {
	directory, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	return errors.Join(directory.Sync(), directory.Close())
}
