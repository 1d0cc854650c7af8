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
	corruptionBlock = 512 // the file has no pages: its parts that are zeroed or swapped
	openRounds      = 100 // each syncs some files
	decodeRounds    = 500 // in memory
)

// sampleFile is the file of a sidecar that has stored something of everything.
func sampleFile(t *testing.T) []byte {
	t.Helper()
	dir := t.TempDir()
	s := open(t, dir)
	var entries []*raftpb.Entry
	for i := range uint64(100) {
		entries = append(entries, entry(i+1, 1))
	}
	text := bytes.Repeat([]byte("open = 3\n"), 100)
	if err := errors.Join(s.Begin(5), s.Save(vote(1, 100), entries), s.SaveText([32]byte{1}, text)); err != nil {
		t.Fatal(err)
	}
	s.Close()
	raw, err := os.ReadFile(filepath.Join(dir, fileName))
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// checkQuarantined opens a directory with a corrupt file: it has to be renamed, byte for byte, and the
// sidecar to begin anew.
func checkQuarantined(t *testing.T, name string, raw []byte, how string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := Open(filepath.Dir(path), "hives", 3, 1)
	if err != nil {
		t.Fatalf("%s: %v", how, err)
	}
	defer s.Close()
	saved, texts, err := s.Saved()
	if err != nil || s.Seat() != 1 || saved.Epoch != 0 || saved.HardState != nil || len(saved.Entries)+len(texts) != 0 {
		t.Errorf("%s: accepted: seat %d, %+v, %d texts, %v", how, s.Seat(), saved, len(texts), err)
	}
	if s.Corruption() == nil || !strings.Contains(s.Corruption().Error(), path) {
		t.Errorf("%s: %v does not name the file", how, s.Corruption())
	}
	if quarantined, err := os.ReadFile(path + ".damaged"); err != nil || !bytes.Equal(quarantined, raw) {
		t.Errorf("%s: quarantined: %d bytes, %v", how, len(quarantined), err)
	}
}

func TestCorruptFileIsQuarantined(t *testing.T) {
	intact := sampleFile(t)
	zeroed := bytes.Clone(intact)
	clear(zeroed[corruptionBlock : 2*corruptionBlock])
	for how, raw := range map[string][]byte{
		"noise":                []byte(strings.Repeat("noise", 4000)),
		"empty":                {},
		"half":                 intact[:len(intact)/2],
		"one block":            intact[:corruptionBlock],
		"a block of zeroes":    zeroed,
		"too long":             append(bytes.Clone(intact), make([]byte, maxFileSize)...),
		"no seat":              sealed(`{"format":2,"fleet":"hives","number":3}`),
		"entries, no state":    sealed(`{"format":2,"fleet":"hives","number":3,"seat":7,"entries":["IAE="]}`),
		"no protobuf":          sealed(`{"format":2,"fleet":"hives","number":3,"seat":7,"vote":"/w=="}`),
		"no JSON":              sealed(`{`),
		"another kind of file": durable.Seal("caperarch-other", []byte(`{}`)),
	} {
		checkQuarantined(t, fileName, raw, how)
	}
	source := damage.NewSource(t, corruptionBlock)
	for range damage.Rounds(openRounds) {
		raw, how := source.Of(intact)
		checkQuarantined(t, fileName, raw, how)
	}
}

// No corruption passes for an intact file: random ones, every single bit, every truncation.
func TestCorruptionIsDetected(t *testing.T) {
	intact := sampleFile(t)
	checkCorrupt := func(raw []byte, how string) {
		t.Helper()
		if _, err := decode(raw); !errors.Is(err, durable.ErrCorrupt) {
			t.Errorf("%s: %v", how, err)
		}
	}
	if _, err := decode(intact); err != nil {
		t.Fatal(err)
	}
	source := damage.NewSource(t, corruptionBlock)
	for range damage.Rounds(decodeRounds) {
		raw, how := source.Of(intact)
		checkCorrupt(raw, how)
	}
	small := sealed(`{"format":2,"fleet":"hives","number":3,"seat":7}`)
	for i := range small {
		checkCorrupt(small[:i], fmt.Sprintf("truncated at %d", i))
		for bit := range 8 {
			raw := bytes.Clone(small)
			raw[i] ^= 1 << bit
			checkCorrupt(raw, fmt.Sprintf("bit %d of byte %d", bit, i))
		}
	}
}
