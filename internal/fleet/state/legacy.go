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
	// maxLegacyFileSize bounds what is read into memory of a file of the first format: it held up to
	// 4 MB, and grew to a few times that.
	maxLegacyFileSize = 64 << 20
)

// errForeignDatabase says that a database isn't one of this program's.
var errForeignDatabase = errors.New("it is not a database of this program")

// legacyOwner was stored under "owner" in the bucket "about" of the first format.
type legacyOwner struct {
	Form   int    `json:"form"`
	Fleet  string `json:"fleet"`
	Number int    `json:"number"`
	Seat   uint64 `json:"seat"`
	Epoch  uint64 `json:"epoch"`
}

// decodeLegacy reads a file of the first format, a bbolt database. It returns nil without an error if
// nothing was stored in it yet.
//
// Such a file has no checksum over its values. Whatever its pages show to be wrong is durable.ErrCorrupt:
// a page that isn't the one referred to, lies outside, is used twice or never, keys out of order, a last
// transaction that can't be determined. A byte that changed inside a value may go unnoticed.
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
		return nil, fmt.Errorf("%w: its owner: %w", durable.ErrCorrupt, err)
	}
	if owner.Form != legacyFormatVersion {
		return nil, fmt.Errorf("it has format %d, a database has format %d", owner.Form, legacyFormatVersion)
	}
	c := &contents{
		Format: formatVersion, Fleet: owner.Fleet, Number: owner.Number, Seat: owner.Seat, Epoch: owner.Epoch,
		HardState: about.value("vote"),
	}
	entries, hasEntries := buckets["entries"]
	texts, hasTexts := buckets["texts"]
	if !hasEntries || !hasTexts {
		return nil, fmt.Errorf("%w: a bucket is missing", durable.ErrCorrupt)
	}
	for i, pair := range entries {
		if len(pair.key) != 8 || binary.BigEndian.Uint64(pair.key) != uint64(i)+1 {
			return nil, fmt.Errorf("%w: the key of entry %d", durable.ErrCorrupt, i+1)
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
