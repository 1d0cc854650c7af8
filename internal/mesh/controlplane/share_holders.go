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
	// shareHoldersFileName is the name of the file in the data directory that contains the share holders
	// as JSON.
	shareHoldersFileName = "sidecars.json"
	// shareHoldersCheckInterval is the time between checks for changed share holders. It limits the
	// writes to the disk while many sidecars start one after another.
	shareHoldersCheckInterval = time.Second
	// maxShareHoldersBytes bounds the size of the file that is read, to protect the memory against a
	// file of other content. It is large enough for as many sidecars as a registry holds.
	maxShareHoldersBytes = 4 << 20
)

// shareHoldersFile is the content of the file in which a core machine keeps the names of the share
// holders, the sidecars that may hold a share of the tenants' limits, across restarts.
//
// Each sidecar's share is a limit divided by the number of share holders, which is counted from leases
// in memory. A core machine that has just started receives these leases one by one. Without the file it
// would report too small a number to the sidecars, and each of them would take too large a share. The
// same would happen if sidecars that have stopped renewing their leases were left out.
type shareHoldersFile struct {
	Sidecars []string `json:"sidecars"` // names of the sidecars that have not shut down in order
}

// loadShareHolders reads the share holders' names from a data directory, and removes temporary files
// that interrupted writes have left there. It returns no names if there is no file. The error is
// DiskFailed if the file can't be read, and Malformed if its content is invalid.
func loadShareHolders(directory string) ([]string, error) {
	path := filepath.Join(directory, shareHoldersFileName)
	if err := durable.RemoveTemporary(path); err != nil {
		return nil, errs.Wrap(err, errs.DiskFailed, "remove temporary files of interrupted writes of %s", path)
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
		return nil, errs.New(errs.Malformed, "read %s: got %d sidecar names: too many, or one is empty",
			path, len(file.Sidecars))
	}
	return file.Sidecars, nil
}

// saveShareHolders atomically replaces the file of share holders in a data directory: after a power
// failure the file contains either the previous names or the new ones. The error is of kind DiskFailed.
func saveShareHolders(directory string, names []string) error {
	data, err := json.Marshal(shareHoldersFile{Sidecars: names})
	if err != nil {
		return errs.Wrap(err, errs.Internal, "encode the names of the share holders")
	}
	path := filepath.Join(directory, shareHoldersFileName)
	if err := durable.Replace(path, data); err != nil {
		return errs.Wrap(err, errs.DiskFailed, "replace %s", path)
	}
	return nil
}

// restoreShareHolders returns the names from loadShareHolders. If loading fails, it logs the error and
// returns no names.
func (s *Server) restoreShareHolders() []string {
	names, err := loadShareHolders(s.settings.Self.DataDirectory)
	if err != nil {
		s.log.Warn("sidecars not read, counting anew", zap.Error(err))
	}
	return names
}

// persistShareHolders saves the share holders whenever they have changed, until ctx ends. A failed write
// is retried after shareHoldersCheckInterval.
func (s *Server) persistShareHolders(ctx context.Context, saved []string) {
	slices.Sort(saved)
	for sleep(ctx, shareHoldersCheckInterval) {
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
