// Package durable writes files that are there whole or not at all, whatever ends the process meanwhile.
package durable

import (
	"errors"
	"os"
	"path/filepath"
)

// Replace puts a file in another's place. With sync it is on the disk, where there is one, before it takes that place.
func Replace(path string, raw []byte, sync bool) error {
	t, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*")
	if err != nil {
		return err
	}
	defer os.Remove(t.Name()) // after the rename there is none
	if _, err = t.Write(raw); err == nil && sync {
		err = t.Sync()
	}
	if err = errors.Join(err, t.Close()); err != nil {
		return err
	}
	return os.Rename(t.Name(), path)
}
