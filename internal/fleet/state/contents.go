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
	// fileKind begins the file, before the length and the checksum of what is behind them.
	fileKind = "caperarch-fleet-state"
	// maxTexts bounds the policy texts that are stored; a sidecar works with fewer.
	maxTexts = 32
	// maxFileSize bounds what is read into memory: a log of raftlog.LogMost entries and maxTexts texts of
	// 64 KiB, all in base64, come to 6 MB.
	maxFileSize = 8 << 20
)

// errEntryGap says that entries don't follow the stored ones.
var errEntryGap = errors.New("entries leave a gap behind the stored ones")

// contents is what the file holds. It is changed by copies, so that a failed write changes nothing.
type contents struct {
	Format    int      `json:"format"`
	Fleet     string   `json:"fleet"`
	Number    int      `json:"number"` // of the sidecar
	Seat      uint64   `json:"seat"`
	Epoch     uint64   `json:"epoch"`             // of the log; 0: there was none
	HardState []byte   `json:"vote,omitempty"`    // raftpb.HardState
	Entries   [][]byte `json:"entries,omitempty"` // raftpb.Entry, the first has index 1
	Texts     [][]byte `json:"texts,omitempty"`   // of policies, the oldest first
}

// encode returns the file's bytes. Contents that its reader would reject are durable.ErrTooLarge.
func (c *contents) encode() ([]byte, error) {
	raw, err := json.Marshal(c)
	if err != nil {
		return nil, err
	}
	sealed := durable.Seal(fileKind, raw)
	if len(sealed) > maxFileSize {
		return nil, fmt.Errorf("%w: %d bytes", durable.ErrTooLarge, len(sealed))
	}
	return sealed, nil
}

// decode reads a file of the current format. Contents that are inconsistent are durable.ErrCorrupt.
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
		return nil, fmt.Errorf("it has format %d, this program reads format %d", c.Format, formatVersion)
	}
	if _, err := c.log(); err != nil {
		return nil, err
	}
	return c, nil
}

// checkOwner is an error if this is another sidecar's state.
func (c *contents) checkOwner(fleet string, number int) error {
	if c.Fleet == fleet && c.Number == number {
		return nil
	}
	return fmt.Errorf("it is sidecar %d's of fleet %q, this is %d of %q", c.Number, c.Fleet, number, fleet)
}

// log returns the stored part of the log, or durable.ErrCorrupt if it is inconsistent.
func (c *contents) log() (*raftlog.SavedState, error) {
	if c.Seat == 0 {
		return nil, fmt.Errorf("%w: it has no seat", durable.ErrCorrupt)
	}
	log := &raftlog.SavedState{Epoch: c.Epoch}
	if c.HardState != nil {
		log.HardState = new(raftpb.HardState)
		if err := proto.Unmarshal(c.HardState, log.HardState); err != nil {
			return nil, fmt.Errorf("%w: its hard state: %w", durable.ErrCorrupt, err)
		}
	}
	for i, raw := range c.Entries {
		entry := new(raftpb.Entry)
		if err := proto.Unmarshal(raw, entry); err != nil || entry.GetIndex() != uint64(i)+1 {
			return nil, fmt.Errorf("%w: entry %d", durable.ErrCorrupt, i+1)
		}
		log.Entries = append(log.Entries, entry)
	}
	commit, last := log.HardState.GetCommit(), uint64(len(log.Entries))
	switch {
	case log.HardState == nil && last > 0:
		return nil, fmt.Errorf("%w: it has entries and no hard state", durable.ErrCorrupt)
	case commit > last:
		return nil, fmt.Errorf("%w: %d entries are committed, it has %d", durable.ErrCorrupt, commit, last)
	}
	return log, nil
}

// withHardState returns the contents with another hard state; nil is no change.
func (c contents) withHardState(hardState *raftpb.HardState) (contents, error) {
	if hardState == nil {
		return c, nil
	}
	var err error
	c.HardState, err = proto.Marshal(hardState)
	return c, err
}

// withEntries returns the contents with these entries, which replace the stored ones from the first
// one's index on. Entries that leave a gap are errEntryGap.
func (c contents) withEntries(added []*raftpb.Entry) (contents, error) {
	if len(added) == 0 {
		return c, nil
	}
	first := added[0].GetIndex()
	if first == 0 || first > uint64(len(c.Entries))+1 {
		return c, fmt.Errorf("%w: entry %d after %d", errEntryGap, first, len(c.Entries))
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

// withText returns the contents with one more text. Beyond maxTexts the oldest is dropped.
func (c contents) withText(text []byte) contents {
	kept := c.Texts[max(0, len(c.Texts)-maxTexts+1):]
	c.Texts = append(make([][]byte, 0, len(kept)+1), kept...)
	c.Texts = append(c.Texts, append([]byte{}, text...))
	return c
}
