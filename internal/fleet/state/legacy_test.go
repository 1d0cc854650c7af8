package state

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"go.etcd.io/bbolt"
	"google.golang.org/protobuf/proto"

	"caperarch/internal/lab/testbed/damage"
)

// boltPageSize is what bbolt uses on machines with pages of this size.
const boltPageSize = 4096

// writeLegacy writes a file as the release with the first format did, with versions of its pages that were
// overwritten.
func writeLegacy(t *testing.T, path string, entries uint64, text int) {
	t.Helper()
	db, err := bbolt.Open(path, 0o600, nil)
	if err != nil {
		t.Fatal(err)
	}
	db.NoSync = true
	update := func(do func(tx *bbolt.Tx) error) { err = errors.Join(err, db.Update(do)) }
	marshal := func(m proto.Message) []byte {
		raw, marshalErr := proto.Marshal(m)
		err = errors.Join(err, marshalErr)
		return raw
	}
	update(func(tx *bbolt.Tx) error {
		about, _ := tx.CreateBucket([]byte("about"))
		tx.CreateBucket([]byte("entries"))
		tx.CreateBucket([]byte("texts"))
		return about.Put([]byte("owner"), []byte(`{"form":1,"fleet":"hives","number":3,"seat":99,"epoch":5}`))
	})
	for last := range entries {
		update(func(tx *bbolt.Tx) error {
			return errors.Join(
				tx.Bucket([]byte("about")).Put([]byte("vote"), marshal(vote(1, last+1))),
				tx.Bucket([]byte("entries")).Put(key(last+1), marshal(entry(last+1, 1))))
		})
	}
	for i := range uint64(3) {
		update(func(tx *bbolt.Tx) error {
			return tx.Bucket([]byte("texts")).Put(key(i+1), bytes.Repeat([]byte{'a' + byte(i)}, text))
		})
	}
	if err := errors.Join(err, db.Close()); err != nil {
		t.Fatal(err)
	}
}

// legacySample returns a legacy file with so many entries, and what it holds.
func legacySample(t *testing.T, entries uint64) ([]byte, *contents) {
	t.Helper()
	path := filepath.Join(t.TempDir(), legacyFileName)
	writeLegacy(t, path, entries, 9)
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := decodeLegacy(raw)
	if err != nil {
		t.Fatal(err)
	}
	return raw, decoded
}

func key(index uint64) []byte { return []byte{0, 0, 0, 0, 0, 0, byte(index >> 8), byte(index)} }

// A legacy file is converted completely, whether its buckets have pages of their own or not, and is read
// once.
func TestLegacyFileIsConverted(t *testing.T) {
	for _, entries := range []uint64{0, 1, 40, 600} {
		for _, text := range []int{0, 9, 3 * boltPageSize} {
			dir := t.TempDir()
			legacy := filepath.Join(dir, legacyFileName)
			writeLegacy(t, legacy, entries, text)
			for range 2 {
				s, err := Open(dir, "hives", 3, 1)
				if err != nil {
					t.Fatalf("%d entries, texts of %d: %v", entries, text, err)
				}
				saved, texts, err := s.Saved()
				if err != nil || s.Corruption() != nil || s.Seat() != 99 || saved.Epoch != 5 {
					t.Errorf("%d entries: seat %d, %+v, %v, %v", entries, s.Seat(), saved, s.Corruption(), err)
				}
				if uint64(len(saved.Entries)) != entries || saved.HardState.GetCommit() != entries {
					t.Errorf("%d entries: converted are %d, hard state %v", entries, len(saved.Entries), saved.HardState)
				}
				if len(texts) != 3 || len(texts[0]) != text || text > 0 && texts[2][text-1] != 'c' {
					t.Errorf("texts of %d bytes: %d texts", text, len(texts))
				}
				if _, err := os.Stat(legacy); !errors.Is(err, os.ErrNotExist) {
					t.Errorf("the legacy file is still there: %v", err)
				}
				s.Close()
			}
		}
	}
}

// A legacy file that another process has open or that is another fleet's stays; one whose conversion was
// interrupted is not read again.
func TestLegacyFileOfOthersStays(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, legacyFileName)
	writeLegacy(t, path, 3, 9)
	db, err := bbolt.Open(path, 0o600, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Open(dir, "hives", 3, 1); !errors.Is(err, ErrInUse) {
		t.Errorf("in use: %v", err)
	}
	db.Close()
	if _, err := Open(dir, "bees", 3, 1); err == nil || !strings.Contains(err.Error(), path) {
		t.Errorf("another fleet's: %v", err)
	}
	stored, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	open(t, dir).Close()
	if err := os.WriteFile(path, stored, 0o600); err != nil {
		t.Fatal(err)
	}
	s := open(t, dir)
	if err := s.Save(vote(7, 3), nil); err != nil {
		t.Fatal(err)
	}
	s.Close()
	if err := os.WriteFile(path, stored, 0o600); err != nil {
		t.Fatal(err)
	}
	if saved, _, err := open(t, dir).Saved(); err != nil || saved.HardState.GetTerm() != 7 {
		t.Errorf("%+v, %v", saved, err)
	}
	if _, err := os.Stat(path); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("the legacy file: %v", err)
	}
}

// A legacy file that holds nothing is no state; one that isn't of this program is an error.
func TestLegacyFileWithoutState(t *testing.T) {
	for _, foreign := range []bool{false, true} {
		dir := t.TempDir()
		path := filepath.Join(dir, legacyFileName)
		db, err := bbolt.Open(path, 0o600, nil)
		if err == nil && foreign {
			err = db.Update(func(tx *bbolt.Tx) error { _, err := tx.CreateBucket([]byte("other")); return err })
		}
		if err := errors.Join(err, db.Close()); err != nil {
			t.Fatal(err)
		}
		s, err := Open(dir, "hives", 3, 1)
		if foreign {
			if err == nil || !strings.Contains(err.Error(), path) {
				t.Errorf("another program's: %v", err)
			}
			continue
		}
		if err != nil || s.Seat() != 1 || s.Corruption() != nil {
			t.Fatalf("empty: %v", err)
		}
		s.Close()
	}
}

// Corruption of a legacy file never ends the process, and what pages show is rejected: of each page that
// is zeroed, each two that are swapped and each truncation, none passes for another state. A byte inside
// a value may; how many do is logged.
func TestLegacyCorruptionIsDetected(t *testing.T) {
	intact, want := legacySample(t, 100)
	passesForOther := func(raw []byte) bool {
		got, err := decodeLegacy(raw)
		return err == nil && !reflect.DeepEqual(got, want)
	}
	pages := len(intact) / boltPageSize
	for one := range pages {
		raw := bytes.Clone(intact)
		clear(damage.Page(raw, boltPageSize, one))
		if passesForOther(raw) {
			t.Errorf("page %d zeroed: accepted", one)
		}
		if passesForOther(intact[:one*boltPageSize]) {
			t.Errorf("truncated at page %d: accepted", one)
		}
		for other := range one {
			raw := bytes.Clone(intact)
			damage.SwapPages(raw, boltPageSize, one, other)
			if passesForOther(raw) {
				t.Errorf("pages %d and %d swapped: accepted", one, other)
			}
		}
	}
	source, unnoticed := damage.NewSource(t, boltPageSize), 0
	rounds := damage.Rounds(decodeRounds)
	for range rounds {
		if raw, _ := source.Of(intact); passesForOther(raw) {
			unnoticed++
		}
	}
	t.Logf("%d of %d corruptions changed a value unnoticed", unnoticed, rounds)
	checkQuarantined(t, legacyFileName, intact[:3*boltPageSize], "three pages of a legacy file")
	checkQuarantined(t, legacyFileName, []byte("noise"), "noise for a legacy file")
}
