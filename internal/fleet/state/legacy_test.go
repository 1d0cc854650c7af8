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

// boltPageSize is the page size of the test databases: bbolt uses the operating system's.
const boltPageSize = 4096

// writeLegacy writes a legacy file in the way in which the release that used it did: one transaction for each entry
// and text, so that the file contains freed pages. text is the length of each policy text in bytes.
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
				tx.Bucket([]byte("about")).Put([]byte("vote"), marshal(hardState(1, last+1))),
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

// legacySample returns a legacy file with the given number of log entries, and its decoded contents.
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

// key returns the key of a log entry or text in a legacy file.
func key(index uint64) []byte { return []byte{0, 0, 0, 0, 0, 0, byte(index >> 8), byte(index)} }

// A legacy file is converted completely, with buckets that are inline or have pages of their own, and removed after
// the conversion.
func TestLegacyFileIsConverted(t *testing.T) {
	for _, entries := range []uint64{0, 1, 40, 600} {
		for _, text := range []int{0, 9, 3 * boltPageSize} {
			dir := t.TempDir()
			legacy := filepath.Join(dir, legacyFileName)
			writeLegacy(t, legacy, entries, text)
			for range 2 {
				s, err := Open(dir, "hives", 3, 1)
				if err != nil {
					t.Fatalf("opening a legacy file with %d entries and texts of %d bytes: %v", entries, text, err)
				}
				saved, texts, err := s.Saved()
				if err != nil || s.Corruption() != nil || s.VoterIncarnation() != 99 || saved.Epoch != 5 {
					t.Errorf(
						"%d entries: voter incarnation %d, log %+v, corruption %v, error %v; want 99, epoch 5, no errors",
						entries, s.VoterIncarnation(), saved, s.Corruption(), err,
					)
				}
				if uint64(len(saved.Entries)) != entries || saved.HardState.GetCommit() != entries {
					t.Errorf(
						"%d entries: %d were converted, hard state %v; want all of them committed", entries,
						len(saved.Entries), saved.HardState,
					)
				}
				if len(texts) != 3 || len(texts[0]) != text || text > 0 && texts[2][text-1] != 'c' {
					t.Errorf("texts of %d bytes: %d texts were converted or their contents differ, want 3", text, len(texts))
				}
				if _, err := os.Stat(legacy); !errors.Is(err, os.ErrNotExist) {
					t.Errorf("the legacy file still exists after the conversion: %v", err)
				}
				s.Close()
			}
		}
	}
}

// A legacy file that another process has open or that belongs to another fleet is not touched. A legacy file that is
// left from an interrupted conversion is removed without being read.
func TestLegacyFileOfOthersIsKept(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, legacyFileName)
	writeLegacy(t, path, 3, 9)
	db, err := bbolt.Open(path, 0o600, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Open(dir, "hives", 3, 1); !errors.Is(err, ErrInUse) {
		t.Errorf("opening a legacy file that another process has open: error %v, want ErrInUse", err)
	}
	db.Close()
	if _, err := Open(dir, "bees", 3, 1); err == nil || !strings.Contains(err.Error(), path) {
		t.Errorf("opening another fleet's legacy file: error %v, want one that names the file", err)
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
	if err := s.Save(hardState(7, 3), nil); err != nil {
		t.Fatal(err)
	}
	s.Close()
	if err := os.WriteFile(path, stored, 0o600); err != nil {
		t.Fatal(err)
	}
	if saved, _, err := open(t, dir).Saved(); err != nil || saved.HardState.GetTerm() != 7 {
		t.Errorf("after an interrupted conversion: log %+v, error %v; want the converted state of term 7", saved, err)
	}
	if _, err := os.Stat(path); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("the legacy file left from the interrupted conversion still exists: %v", err)
	}
}

// An empty legacy file is ignored; a database of another program is an error.
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
				t.Errorf("opening another program's database: error %v, want one that names the file", err)
			}
			continue
		}
		if err != nil || s.VoterIncarnation() != 1 || s.Corruption() != nil {
			t.Fatalf("opening an empty legacy file: error %v, or no new state", err)
		}
		s.Close()
	}
}

// A corrupt legacy file never crashes the process, and corruption of the page structure is detected: the test zeroes
// each page, swaps each two pages and truncates the file at each page. A changed byte inside a value can't be
// detected; the test logs how often that happened.
func TestLegacyCorruptionIsDetected(t *testing.T) {
	intact, want := legacySample(t, 100)
	acceptedWithOtherContents := func(raw []byte) bool {
		got, err := decodeLegacy(raw)
		return err == nil && !reflect.DeepEqual(got, want)
	}
	pages := len(intact) / boltPageSize
	for one := range pages {
		raw := bytes.Clone(intact)
		clear(damage.Page(raw, boltPageSize, one))
		if acceptedWithOtherContents(raw) {
			t.Errorf("page %d zeroed: the file was accepted with other contents", one)
		}
		if acceptedWithOtherContents(intact[:one*boltPageSize]) {
			t.Errorf("truncated at page %d: the file was accepted with other contents", one)
		}
		for other := range one {
			raw := bytes.Clone(intact)
			damage.SwapPages(raw, boltPageSize, one, other)
			if acceptedWithOtherContents(raw) {
				t.Errorf("pages %d and %d swapped: the file was accepted with other contents", one, other)
			}
		}
	}
	source, undetected := damage.NewSource(t, boltPageSize), 0
	rounds := damage.Rounds(decodeRounds)
	for range rounds {
		if raw, _ := source.Of(intact); acceptedWithOtherContents(raw) {
			undetected++
		}
	}
	t.Logf("%d of %d corruptions changed a value and were not detected", undetected, rounds)
	checkQuarantined(t, legacyFileName, intact[:3*boltPageSize], "legacy file truncated to three pages")
	checkQuarantined(t, legacyFileName, []byte("noise"), "noise in place of a legacy file")
}
