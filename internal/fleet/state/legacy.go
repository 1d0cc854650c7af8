package state

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"

	"caperarch/internal/proxy/durable"
)

const (
	legacyFormatVersion = 1
	// maxLegacyFileSize bounds how many bytes of a legacy file are read into memory. Such a file held up to 4 MB of
	// data, and the database could grow to several times that size.
	maxLegacyFileSize = 64 << 20
)

// errForeignDatabase is returned for a bbolt database that another program has written.
var errForeignDatabase = errors.New("bbolt database was not written by this program")

// legacyOwner is the value of the key "owner" in the bucket "about" of the legacy format.
type legacyOwner struct {
	Format           int    `json:"form"`
	Fleet            string `json:"fleet"`
	Number           int    `json:"number"`
	VoterIncarnation uint64 `json:"seat"`
	Epoch            uint64 `json:"epoch"`
}

// decodeLegacy reads a file of the legacy format 1, a bbolt database. It returns nil without an error if nothing has
// been stored in the database yet.
//
// Errors that the page structure reveals are durable.ErrCorrupt: a page with another page's number, a reference
// beyond the end of the file, a page that is referred to twice or never, keys that are not sorted, meta pages from
// which the last transaction can't be determined. A changed byte inside a value may go unnoticed, because the format
// has no checksum over values.
func decodeLegacy(raw []byte) (*contents, error) {
	buckets, err := readBolt(raw)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", durable.ErrCorrupt, err)
	}
	if len(buckets) == 0 {
		return nil, nil
	}
	about, found := buckets["about"]
	if !found {
		return nil, errForeignDatabase
	}
	var owner legacyOwner
	if err := json.Unmarshal(about.value("owner"), &owner); err != nil {
		return nil, fmt.Errorf("%w: decoding the owner record: %w", durable.ErrCorrupt, err)
	}
	if owner.Format != legacyFormatVersion {
		return nil, fmt.Errorf(
			"database has format %d, this program reads databases of format %d", owner.Format, legacyFormatVersion,
		)
	}
	c := &contents{
		Format: formatVersion, Fleet: owner.Fleet, Number: owner.Number, VoterIncarnation: owner.VoterIncarnation,
		Epoch: owner.Epoch, HardState: about.value("vote"),
	}
	entries, hasEntries := buckets["entries"]
	texts, hasTexts := buckets["texts"]
	if !hasEntries || !hasTexts {
		return nil, fmt.Errorf("%w: the bucket of log entries or of policy texts is missing", durable.ErrCorrupt)
	}
	for i, pair := range entries {
		if len(pair.key) != 8 || binary.BigEndian.Uint64(pair.key) != uint64(i)+1 {
			return nil, fmt.Errorf("%w: log entry %d is missing or has an invalid key", durable.ErrCorrupt, i+1)
		}
		c.Entries = append(c.Entries, pair.value)
	}
	for _, pair := range texts {
		c.Texts = append(c.Texts, pair.value)
	}
	if _, err := c.log(); err != nil {
		return nil, err
	}
	return c, nil
}
