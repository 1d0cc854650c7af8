package state

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"go.etcd.io/raft/v3/raftpb"

	"caperarch/internal/lab/testbed/damage"
	"caperarch/internal/proxy/durable"
)

const (
	corruptionBlock = 512 // bytes of the blocks that are zeroed or swapped; the file itself has no pages
	openRounds      = 100 // corruptions that are opened from disk, which syncs several files each time
	decodeRounds    = 500 // corruptions that are decoded in memory
)

// sampleFile returns a file with log entries, a hard state and a policy text.
func sampleFile(t *testing.T) []byte {
	t.Helper()
	dir := t.TempDir()
	s := open(t, dir)
	var entries []*raftpb.Entry
	for i := range uint64(100) {
		entries = append(entries, entry(i+1, 1))
	}
	text := bytes.Repeat([]byte("open = 3\n"), 100)
	if err := errors.Join(s.Begin(5), s.Save(hardState(1, 100), entries), s.SaveText([32]byte{1}, text)); err != nil {
		t.Fatal(err)
	}
	s.Close()
	raw, err := os.ReadFile(filepath.Join(dir, fileName))
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// checkQuarantined opens a directory with a corrupt file. Open has to rename the file without changing it, and to
// create a new state. how describes the corruption.
func checkQuarantined(t *testing.T, name string, raw []byte, how string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := Open(filepath.Dir(path), "hives", 3, 1)
	if err != nil {
		t.Fatalf("%s: opening the state: %v", how, err)
	}
	defer s.Close()
	saved, texts, err := s.Saved()
	if err != nil || s.VoterIncarnation() != 1 || saved.Epoch != 0 || saved.HardState != nil ||
		len(saved.Entries)+len(texts) != 0 {
		t.Errorf(
			"%s: voter incarnation %d, log %+v, %d texts, error %v; want a new state with incarnation 1", how,
			s.VoterIncarnation(), saved, len(texts), err,
		)
	}
	if s.Corruption() == nil || !strings.Contains(s.Corruption().Error(), path) {
		t.Errorf("%s: Corruption returned %v, want an error that names the file", how, s.Corruption())
	}
	if quarantined, err := os.ReadFile(path + ".damaged"); err != nil || !bytes.Equal(quarantined, raw) {
		t.Errorf(
			"%s: the quarantined file has %d bytes, error %v; want the corrupt file unchanged", how,
			len(quarantined), err,
		)
	}
}

func TestCorruptFileIsQuarantined(t *testing.T) {
	intact := sampleFile(t)
	zeroed := bytes.Clone(intact)
	clear(zeroed[corruptionBlock : 2*corruptionBlock])
	for how, raw := range map[string][]byte{
		"noise":                        []byte(strings.Repeat("noise", 4000)),
		"empty":                        {},
		"truncated to half":            intact[:len(intact)/2],
		"truncated to one block":       intact[:corruptionBlock],
		"one block zeroed":             zeroed,
		"longer than maxFileSize":      append(bytes.Clone(intact), make([]byte, maxFileSize)...),
		"no voter incarnation":         sealed(`{"format":2,"fleet":"hives","number":3}`),
		"entries without a hard state": sealed(`{"format":2,"fleet":"hives","number":3,"seat":7,"entries":["IAE="]}`),
		"hard state is no protobuf":    sealed(`{"format":2,"fleet":"hives","number":3,"seat":7,"vote":"/w=="}`),
		"no JSON":                      sealed(`{`),
		"another kind of file":         durable.Seal("caperarch-other", []byte(`{}`)),
	} {
		checkQuarantined(t, fileName, raw, how)
	}
	source := damage.NewSource(t, corruptionBlock)
	for range damage.Rounds(openRounds) {
		raw, how := source.Of(intact)
		checkQuarantined(t, fileName, raw, how)
	}
}

// Every corruption is detected: random ones, each single changed bit, and each truncation.
func TestCorruptionIsDetected(t *testing.T) {
	intact := sampleFile(t)
	expectCorrupt := func(raw []byte, how string) {
		t.Helper()
		if _, err := decode(raw); !errors.Is(err, durable.ErrCorrupt) {
			t.Errorf("%s: error %v, want durable.ErrCorrupt", how, err)
		}
	}
	if _, err := decode(intact); err != nil {
		t.Fatal(err)
	}
	source := damage.NewSource(t, corruptionBlock)
	for range damage.Rounds(decodeRounds) {
		raw, how := source.Of(intact)
		expectCorrupt(raw, how)
	}
	small := sealed(`{"format":2,"fleet":"hives","number":3,"seat":7}`)
	for i := range small {
		expectCorrupt(small[:i], fmt.Sprintf("truncated to %d bytes", i))
		for bit := range 8 {
			raw := bytes.Clone(small)
			raw[i] ^= 1 << bit
			expectCorrupt(raw, fmt.Sprintf("bit %d of byte %d changed", bit, i))
		}
	}
}
