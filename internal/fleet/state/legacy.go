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
	// oldFileMost bounds what is read into memory of a file of the first format: it kept up to 4 MB, and grew
	// to a few times that.
	maxLegacyFileSize = 64 << 20
)

// oldOwner was kept under "owner" in the bucket "about" of the first format.
type legacyOwner struct {
	Form   int    `json:"form"`
	Fleet  string `json:"fleet"`
	Number int    `json:"number"`
	Seat   uint64 `json:"seat"`
	Epoch  uint64 `json:"epoch"`
}

// decodeOld reads a file of the first format, a bbolt database; nil is that nothing was kept in it yet.
//
// Such a file has no sum over what it keeps. Whatever its pages show to be wrong is refused: a page that is not
// the one that is named, lies outside, is used twice or never, keys out of order, a last transaction that can't
// be told. A byte that changed inside a value may pass.
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
		return nil, errors.New("it is none of this program's")
	}
	var owner legacyOwner
	if err := json.Unmarshal(about.value("owner"), &owner); err != nil {
		return nil, fmt.Errorf("%w: whose it is: %w", durable.ErrCorrupt, err)
	}
	if owner.Form != legacyFormatVersion {
		return nil, fmt.Errorf("it has form %d, the first format has %d", owner.Form, legacyFormatVersion)
	}
	c := &contents{
		Format: formatVersion, Fleet: owner.Fleet, Number: owner.Number, Seat: owner.Seat, Epoch: owner.Epoch, HardState: about.value("vote"),
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
