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
	// kind begins the file, before the length and the sum of what is behind them.
	fileKind = "caperarch-fleet-state"
	// textsMost bounds the texts kept; a sidecar works with fewer.
	maxTexts = 32
	// fileMost bounds what is read into memory: a log of raftlog.LogMost entries and textsMost texts of 64 KiB,
	// all in base64, come to 6 MB.
	maxFileSize = 8 << 20
)

// contents is what the file holds.
type contents struct {
	Format    int      `json:"format"`
	Fleet     string   `json:"fleet"`
	Number    int      `json:"number"` // of the sidecar
	Seat      uint64   `json:"seat"`
	Epoch     uint64   `json:"epoch"`             // of the log; 0: there was none
	HardState []byte   `json:"vote,omitempty"`    // raftpb.HardState
	Entries   [][]byte `json:"entries,omitempty"` // raftpb.Entry, the first has index 1
	Texts     [][]byte `json:"texts,omitempty"`   // the oldest first
}

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

// decode reads a file of this program's format. What does not fit together is durable.ErrCorrupt.
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
		return nil, fmt.Errorf("it has format %d, this program knows format %d", c.Format, formatVersion)
	}
	if _, err := c.log(); err != nil {
		return nil, err
	}
	return c, nil
}

// belongsTo says why it is not the state of this sidecar.
func (c *contents) belongsTo(fleet string, number int) error {
	if c.Fleet == fleet && c.Number == number {
		return nil
	}
	return fmt.Errorf("it is sidecar %d's of fleet %q, this is %d of %q", c.Number, c.Fleet, number, fleet)
}

// saved is the part of the log, or why it is none.
func (c *contents) log() (*raftlog.Saved, error) {
	if c.Seat == 0 {
		return nil, fmt.Errorf("%w: it has no seat", durable.ErrCorrupt)
	}
	saved := &raftlog.Saved{Epoch: c.Epoch}
	if c.HardState != nil {
		saved.Vote = new(raftpb.HardState)
		if err := proto.Unmarshal(c.HardState, saved.Vote); err != nil {
			return nil, fmt.Errorf("%w: its vote: %w", durable.ErrCorrupt, err)
		}
	}
	for i, raw := range c.Entries {
		e := new(raftpb.Entry)
		if err := proto.Unmarshal(raw, e); err != nil || e.GetIndex() != uint64(i)+1 {
			return nil, fmt.Errorf("%w: entry %d", durable.ErrCorrupt, i+1)
		}
		saved.Entries = append(saved.Entries, e)
	}
	switch {
	case saved.Vote == nil && len(saved.Entries) > 0:
		return nil, fmt.Errorf("%w: it has entries and no vote", durable.ErrCorrupt)
	case saved.Vote.GetCommit() > uint64(len(saved.Entries)):
		return nil, fmt.Errorf("%w: %d entries are committed, it has %d", durable.ErrCorrupt, saved.Vote.GetCommit(), len(saved.Entries))
	}
	return saved, nil
}

// withVote is the contents after a change of the vote; nil is no change.
func (c contents) withHardState(hardState *raftpb.HardState) (contents, error) {
	if hardState == nil {
		return c, nil
	}
	var err error
	c.HardState, err = proto.Marshal(hardState)
	return c, err
}

var errEntryGap = errors.New("entries that don't follow on those kept")

// withEntries is the contents after entries were added; those kept from the first one's index on go.
func (c contents) withEntries(added []*raftpb.Entry) (contents, error) {
	if len(added) == 0 {
		return c, nil
	}
	first := added[0].GetIndex()
	if first == 0 || first > uint64(len(c.Entries))+1 {
		return c, fmt.Errorf("%w: %d behind %d", errEntryGap, first, len(c.Entries))
	}
	stored := c.Entries[:first-1]
	c.Entries = append(make([][]byte, 0, len(stored)+len(added)), stored...)
	for _, e := range added {
		raw, err := proto.Marshal(e)
		if err != nil {
			return c, err
		}
		c.Entries = append(c.Entries, raw)
	}
	return c, nil
}

// withText is the contents with one text more; of too many the oldest goes.
func (c contents) withText(text []byte) contents {
	stored := c.Texts[max(0, len(c.Texts)-maxTexts+1):]
	c.Texts = append(append(make([][]byte, 0, len(stored)+1), stored...), append([]byte{}, text...))
	return c
}
