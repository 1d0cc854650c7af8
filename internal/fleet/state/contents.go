package state

import (
	"encoding/json"
	"errors"
	"fmt"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"caperarch/internal/fleet/raftlog"
	"caperarch/internal/proxy/durable"
)

const (
	formatVersion = 2
	// fileKind is the name of the file format in the file's header, which also has the length and the checksum of
	// the content.
	fileKind = "caperarch-fleet-state"
	// maxTexts bounds how many policy texts are stored, which is more than a sidecar needs at a time.
	maxTexts = 32
	// maxFileSize bounds how many bytes are read into memory. The largest valid file has 6 MB: a log of
	// raftlog.MaxEntries entries and maxTexts texts of 64 KiB each, all in base64.
	maxFileSize = 8 << 20
)

// errEntryGap is returned for entries that would leave a gap after the stored log.
var errEntryGap = errors.New("log entries do not follow the stored ones without a gap")

// contents is the content of the file. Changes are made to a copy, so that a failed write leaves the stored contents
// as they were.
type contents struct {
	Format int    `json:"format"`
	Fleet  string `json:"fleet"`
	Number int    `json:"number"` // of the sidecar
	// VoterIncarnation is the incarnation under which the sidecar votes, see Store.VoterIncarnation.
	VoterIncarnation uint64   `json:"seat"`
	Epoch            uint64   `json:"epoch"`             // of the log; 0: no log has been stored
	HardState        []byte   `json:"vote,omitempty"`    // encoded raftpb.HardState
	Entries          [][]byte `json:"entries,omitempty"` // encoded raftpb.Entry each; the first has index 1
	Texts            [][]byte `json:"texts,omitempty"`   // policy texts, oldest first
}

// encode returns the file's bytes, or durable.ErrTooLarge if the file would be too large to be read again.
func (c *contents) encode() ([]byte, error) {
	raw, err := json.Marshal(c)
	if err != nil {
		return nil, err
	}
	sealed := durable.Seal(fileKind, raw)
	if len(sealed) > maxFileSize {
		return nil, fmt.Errorf("%w: the state has %d bytes", durable.ErrTooLarge, len(sealed))
	}
	return sealed, nil
}

// decode reads a file of the current format. The error is durable.ErrCorrupt if the contents are damaged or
// inconsistent.
func decode(raw []byte) (*contents, error) {
	content, err := durable.Unseal(fileKind, raw)
	if err != nil {
		return nil, err
	}
	c := new(contents)
	if err := json.Unmarshal(content, c); err != nil {
		return nil, fmt.Errorf("%w: %w", durable.ErrCorrupt, err)
	}
	if c.Format != formatVersion {
		return nil, fmt.Errorf("state file has format %d, this program reads format %d", c.Format, formatVersion)
	}
	if _, err := c.log(); err != nil {
		return nil, err
	}
	return c, nil
}

// checkOwner returns an error if the state belongs to another sidecar.
func (c *contents) checkOwner(fleet string, number int) error {
	if c.Fleet == fleet && c.Number == number {
		return nil
	}
	return fmt.Errorf(
		"state belongs to sidecar %d of fleet %q, this process is sidecar %d of fleet %q",
		c.Number, c.Fleet, number, fleet,
	)
}

// log decodes the stored log. The error is durable.ErrCorrupt if the log is inconsistent.
func (c *contents) log() (*raftlog.SavedState, error) {
	if c.VoterIncarnation == 0 {
		return nil, fmt.Errorf("%w: the voter incarnation is missing", durable.ErrCorrupt)
	}
	log := &raftlog.SavedState{Epoch: c.Epoch}
	if c.HardState != nil {
		log.HardState = new(raftpb.HardState)
		if err := proto.Unmarshal(c.HardState, log.HardState); err != nil {
			return nil, fmt.Errorf("%w: decoding the hard state: %w", durable.ErrCorrupt, err)
		}
	}
	for i, raw := range c.Entries {
		entry := new(raftpb.Entry)
		if err := proto.Unmarshal(raw, entry); err != nil || entry.GetIndex() != uint64(i)+1 {
			return nil, fmt.Errorf("%w: log entry %d cannot be decoded or has another index", durable.ErrCorrupt, i+1)
		}
		log.Entries = append(log.Entries, entry)
	}
	commit, last := log.HardState.GetCommit(), uint64(len(log.Entries))
	switch {
	case log.HardState == nil && last > 0:
		return nil, fmt.Errorf("%w: log entries are stored without a hard state", durable.ErrCorrupt)
	case commit > last:
		return nil, fmt.Errorf(
			"%w: the hard state says that %d log entries are committed, but %d are stored",
			durable.ErrCorrupt, commit, last,
		)
	}
	return log, nil
}

// withHardState returns the contents with another hard state, or unchanged if hardState is nil.
func (c contents) withHardState(hardState *raftpb.HardState) (contents, error) {
	if hardState == nil {
		return c, nil
	}
	var err error
	c.HardState, err = proto.Marshal(hardState)
	return c, err
}

// withEntries returns the contents with entries added. They replace the stored entries from the first added index
// on. The error is errEntryGap if entries are missing between the stored and the added ones.
func (c contents) withEntries(added []*raftpb.Entry) (contents, error) {
	if len(added) == 0 {
		return c, nil
	}
	first := added[0].GetIndex()
	if first == 0 || first > uint64(len(c.Entries))+1 {
		return c, fmt.Errorf(
			"%w: first new entry has index %d, last stored entry has index %d",
			errEntryGap, first, len(c.Entries),
		)
	}
	kept := c.Entries[:first-1]
	c.Entries = append(make([][]byte, 0, len(kept)+len(added)), kept...)
	for _, entry := range added {
		raw, err := proto.Marshal(entry)
		if err != nil {
			return c, err
		}
		c.Entries = append(c.Entries, raw)
	}
	return c, nil
}

// withText returns the contents with one more policy text; of more than maxTexts the oldest is dropped.
func (c contents) withText(text []byte) contents {
	kept := c.Texts[max(0, len(c.Texts)-maxTexts+1):]
	c.Texts = append(make([][]byte, 0, len(kept)+1), kept...)
	c.Texts = append(c.Texts, append([]byte{}, text...))
	return c
}
