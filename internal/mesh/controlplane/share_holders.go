package controlplane

import (
	"context"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"slices"
	"time"

	"caperarch/internal/mesh/errs"
	"caperarch/internal/mesh/registry"
	"caperarch/internal/proxy/durable"

	"go.uber.org/zap"
)

const (
	// shareHoldersName is the file in the data directory that holds a shareHoldersFile.
	shareHoldersName = "sidecars.json"
	// shareHoldersInterval is the time between two looks at the sidecars. It guards the disk against a write
	// for each sidecar that comes.
	shareHoldersInterval = time.Second
	// maxShareHoldersBytes bounds the file. It guards the memory against one that is no such file, and spans
	// as many sidecars as a registry holds.
	maxShareHoldersBytes = 4 << 20
)

// shareHoldersFile is what a core machine remembers of the sidecars across its restarts. Tenants' limits are
// divided by their number, and the leases that it is counted from are in memory alone: while a machine that
// has just started hears from them one by one, a sidecar that hears a part of the number would take too
// large a share, and so it would where silent ones are forgotten.
type shareHoldersFile struct {
	Sidecars []string `json:"sidecars"` // that have not left in order, by name
}

// loadShareHolders reads the sidecars in a data directory, none if there is no file, and removes what writers
// that were killed have left. An error is DiskFailed if the file can't be read and Malformed if it makes no
// sense; there are none then.
func loadShareHolders(directory string) ([]string, error) {
	path := filepath.Join(directory, shareHoldersName)
	if err := durable.RemoveTemporary(path); err != nil {
		return nil, errs.Wrap(err, errs.DiskFailed, "remove what was left beside %s", path)
	}
	data, err := durable.ReadBounded(path, maxShareHoldersBytes)
	switch {
	case os.IsNotExist(err):
		return nil, nil
	case errors.Is(err, durable.ErrTooLarge):
		return nil, errs.Wrap(err, errs.Malformed, "read %s", path)
	case err != nil:
		return nil, errs.Wrap(err, errs.DiskFailed, "read %s", path)
	}
	var file shareHoldersFile
	if err := json.Unmarshal(data, &file); err != nil {
		return nil, errs.Wrap(err, errs.Malformed, "read %s", path)
	}
	if len(file.Sidecars) > registry.MaxLeases || slices.Contains(file.Sidecars, "") {
		return nil, errs.New(errs.Malformed, "read %s: %d sidecars, or one without a name", path, len(file.Sidecars))
	}
	return file.Sidecars, nil
}

// saveShareHolders replaces the sidecars in a data directory, so that after a loss of power the file holds
// either those before or these. An error is of kind DiskFailed.
func saveShareHolders(directory string, names []string) error {
	data, err := json.Marshal(shareHoldersFile{Sidecars: names})
	if err != nil {
		return errs.Wrap(err, errs.Internal, "encode the sidecars")
	}
	path := filepath.Join(directory, shareHoldersName)
	if err := durable.Replace(path, data); err != nil {
		return errs.Wrap(err, errs.DiskFailed, "replace %s", path)
	}
	return nil
}

// restoredShareHolders is loadShareHolders, and none with a log line where that fails.
func (s *Server) restoredShareHolders() []string {
	names, err := loadShareHolders(s.settings.Self.DataDirectory)
	if err != nil {
		s.log.Warn("sidecars not read, counting anew", zap.Error(err))
	}
	return names
}

// keepShareHolders saves the sidecars when they change, until ctx ends. A failed write is tried again.
func (s *Server) keepShareHolders(ctx context.Context, saved []string) {
	slices.Sort(saved)
	for sleep(ctx, shareHoldersInterval) {
		names := s.watchServer.ShareHolders()
		slices.Sort(names)
		if slices.Equal(names, saved) {
			continue
		}
		if err := saveShareHolders(s.settings.Self.DataDirectory, names); err != nil {
			s.log.Warn("sidecars not saved, retrying", zap.Error(err))
			continue
		}
		saved = names
	}
}
