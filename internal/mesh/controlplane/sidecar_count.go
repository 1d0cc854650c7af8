package controlplane

import (
	"context"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"time"

	"caperarch/internal/mesh/errs"
	"caperarch/internal/mesh/registry"
	"caperarch/internal/proxy/durable"

	"go.uber.org/zap"
)

const (
	// sidecarCountName is the file in the data directory that holds a sidecarCountFile.
	sidecarCountName = "sidecars.json"
	// sidecarCountInterval is the time between two looks at the number of sidecars. It guards the disk
	// against a write for each sidecar that comes.
	sidecarCountInterval = time.Second
	// maxSidecarCountBytes bounds the file. It guards the memory against one that is no such file.
	maxSidecarCountBytes = 4 << 10
)

// sidecarCountFile is what a core machine remembers of the sidecars across its restarts. Tenants' limits are
// divided by their number, and the leases that it is counted from are in memory alone: while a machine that
// has just started hears from them one by one, a sidecar that hears a part of the number would take too
// large a share.
type sidecarCountFile struct {
	Sidecars int `json:"sidecars"` // that may hold a share
}

// loadSidecarCount reads the number in a data directory, 0 if there is none, and removes what writers that
// were killed have left. An error is DiskFailed if the file can't be read and Malformed if it makes no
// sense; the number is 0 then.
func loadSidecarCount(directory string) (int, error) {
	path := filepath.Join(directory, sidecarCountName)
	if err := durable.RemoveTemporary(path); err != nil {
		return 0, errs.Wrap(err, errs.DiskFailed, "remove what was left beside %s", path)
	}
	data, err := durable.ReadBounded(path, maxSidecarCountBytes)
	switch {
	case os.IsNotExist(err):
		return 0, nil
	case errors.Is(err, durable.ErrTooLarge):
		return 0, errs.Wrap(err, errs.Malformed, "read %s", path)
	case err != nil:
		return 0, errs.Wrap(err, errs.DiskFailed, "read %s", path)
	}
	var file sidecarCountFile
	if err := json.Unmarshal(data, &file); err != nil {
		return 0, errs.Wrap(err, errs.Malformed, "read %s", path)
	}
	if file.Sidecars < 0 || file.Sidecars > registry.MaxLeases {
		return 0, errs.New(errs.Malformed, "read %s: %d sidecars", path, file.Sidecars)
	}
	return file.Sidecars, nil
}

// saveSidecarCount replaces the number in a data directory, so that after a loss of power the file holds
// either number whole. An error is of kind DiskFailed.
func saveSidecarCount(directory string, sidecars int) error {
	data, err := json.Marshal(sidecarCountFile{Sidecars: sidecars})
	if err != nil {
		return errs.Wrap(err, errs.Internal, "encode the number of sidecars")
	}
	path := filepath.Join(directory, sidecarCountName)
	if err := durable.Replace(path, data); err != nil {
		return errs.Wrap(err, errs.DiskFailed, "replace %s", path)
	}
	return nil
}

// loadedSidecarCount is loadSidecarCount, and 0 with a log line where that fails.
func (s *Server) loadedSidecarCount() int {
	sidecars, err := loadSidecarCount(s.settings.Self.DataDirectory)
	if err != nil {
		s.log.Warn("number of sidecars not read, counting anew", zap.Error(err))
	}
	return sidecars
}

// keepSidecarCount saves the number of sidecars when it changes, until ctx ends. While this machine may not
// know all of them it only raises the number. A failed write is tried again.
func (s *Server) keepSidecarCount(ctx context.Context, saved int) {
	for sleep(ctx, sidecarCountInterval) {
		syncing := s.watchServer.Syncing()
		shareHolders := s.watchServer.Counts().ShareHolders
		if shareHolders == saved || syncing && shareHolders < saved {
			continue
		}
		if err := saveSidecarCount(s.settings.Self.DataDirectory, shareHolders); err != nil {
			s.log.Warn("number of sidecars not saved, retrying", zap.Error(err))
			continue
		}
		saved = shareHolders
	}
}
