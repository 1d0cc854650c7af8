package state

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"caperarch/internal/lab/testbed/damage"
	"caperarch/internal/proxy/durable"
)

const (
	boltPageSize    = 4096
	corruptionBlock = 512 // the file has no pages of its own: its parts that are zeroed or swapped
	openRounds      = 100 // each syncs some files
	decodeRounds    = 500 // in memory
)

// full is the file of a sidecar that has kept something of everything.
func sampleFile(t *testing.T) []byte {
	t.Helper()
	dir := t.TempDir()
	s := open(t, dir)
	var all []*raftpb.Entry
	for i := range uint64(100) {
		all = append(all, entry(i+1, 1))
	}
	if err := errors.Join(s.Begin(5), s.Save(vote(1, 100), all), s.Text([32]byte{1}, bytes.Repeat([]byte("open = 3\n"), 100))); err != nil {
		t.Fatal(err)
	}
	s.Close()
	raw, err := os.ReadFile(filepath.Join(dir, fileName))
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// putAside opens a folder with a damaged file: it is moved, byte for byte, and the sidecar begins anew.
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
	if err != nil || s.Seat() != 1 || saved.Epoch != 0 || saved.Vote != nil || len(saved.Entries)+len(texts) != 0 {
		t.Errorf("%s: taken: seat %d, %+v, %d texts, %v", how, s.Seat(), saved, len(texts), err)
	}
	if s.Corruption() == nil || !strings.Contains(s.Corruption().Error(), path) {
		t.Errorf("%s: %v does not name the file", how, s.Corruption())
	}
	if aside, err := os.ReadFile(path + ".damaged"); err != nil || !bytes.Equal(aside, raw) {
		t.Errorf("%s: put aside: %d bytes, %v", how, len(aside), err)
	}
}

func TestDamagedIsPutAside(t *testing.T) {
	intact := sampleFile(t)
	for how, raw := range map[string][]byte{
		"noise": []byte(strings.Repeat("noise", 4000)), "empty": {}, "half": intact[:len(intact)/2], "one page": intact[:corruptionBlock],
		"zeroes in it":         append(append(bytes.Clone(intact[:corruptionBlock]), make([]byte, corruptionBlock)...), intact[2*corruptionBlock:]...),
		"too long":             append(bytes.Clone(intact), make([]byte, maxFileSize)...),
		"no seat":              durable.Seal(fileKind, []byte(`{"format":2,"fleet":"hives","number":3}`)),
		"entries, no vote":     durable.Seal(fileKind, []byte(`{"format":2,"fleet":"hives","number":3,"seat":7,"entries":["IAE="]}`)),
		"no protobuf":          durable.Seal(fileKind, []byte(`{"format":2,"fleet":"hives","number":3,"seat":7,"vote":"/w=="}`)),
		"no JSON":              durable.Seal(fileKind, []byte(`{`)),
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

// No damage at all passes for a whole file: drawn ones, every single bit, every cut.
func TestDamageIsSeen(t *testing.T) {
	intact := sampleFile(t)
	refused := func(raw []byte, how string) {
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
		refused(raw, how)
	}
	small := durable.Seal(fileKind, []byte(`{"format":2,"fleet":"hives","number":3,"seat":7}`))
	for i := range small {
		refused(small[:i], fmt.Sprintf("cut at %d", i))
		for bit := range 8 {
			raw := bytes.Clone(small)
			raw[i] ^= 1 << bit
			refused(raw, fmt.Sprintf("bit %d of byte %d", bit, i))
		}
	}
}

// writeOld makes a file as the first format's program did, with versions of it that were overwritten.
func writeLegacy(t *testing.T, path string, entries uint64, text int) {
	t.Helper()
	db, err := bbolt.Open(path, 0o600, nil)
	if err != nil {
		t.Fatal(err)
	}
	db.NoSync = true
	update := func(do func(tx *bbolt.Tx) error) { err = errors.Join(err, db.Update(do)) }
	marshal := func(m proto.Message) []byte {
		raw, failed := proto.Marshal(m)
		err = errors.Join(err, failed)
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

func key(index uint64) []byte { return []byte{0, 0, 0, 0, 0, 0, byte(index >> 8), byte(index)} }

// An old file is taken up whole, whether its buckets lie in pages of their own or not, and is read once.
func TestOldFileIsTakenUp(t *testing.T) {
	for _, entries := range []uint64{0, 1, 40, 600} {
		for _, text := range []int{0, 9, 3 * boltPageSize} {
			dir := t.TempDir()
			old := filepath.Join(dir, legacyFileName)
			writeLegacy(t, old, entries, text)
			for range 2 {
				s, err := Open(dir, "hives", 3, 1)
				if err != nil {
					t.Fatalf("%d entries, texts of %d: %v", entries, text, err)
				}
				saved, texts, err := s.Saved()
				if err != nil || s.Corruption() != nil || s.Seat() != 99 || saved.Epoch != 5 || uint64(len(saved.Entries)) != entries || saved.Vote.GetCommit() != entries {
					t.Errorf("%d entries: seat %d, %v, %v, %d, %v", entries, s.Seat(), s.Corruption(), saved.Vote, len(saved.Entries), err)
				}
				if len(texts) != 3 || len(texts[0]) != text || text > 0 && texts[2][text-1] != 'c' {
					t.Errorf("texts of %d: %d", text, len(texts))
				}
				if _, err := os.Stat(old); !errors.Is(err, os.ErrNotExist) {
					t.Errorf("the old file is still there: %v", err)
				}
				s.Close()
			}
		}
	}
}

// An old file that another process has open, is another sidecar's or none of this program's stays; one without
// anything in it is no state; one whose conversion was cut short is not read again.
func TestOldFileStays(t *testing.T) {
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
	if saved, _, err := open(t, dir).Saved(); err != nil || saved.Vote.GetTerm() != 7 {
		t.Errorf("%+v, %v", saved, err)
	}
	if _, err := os.Stat(path); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("the old file: %v", err)
	}
}

func TestOldFileWithoutState(t *testing.T) {
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
				t.Errorf("none of ours: %v", err)
			}
			continue
		}
		if err != nil || s.Seat() != 1 || s.Corruption() != nil {
			t.Fatalf("empty: %v", err)
		}
		s.Close()
	}
}

// numbersIn are where a page has its numbers: its header, and the first elements behind it.
const numbersIn = boltPageHeader + 5*boltElement

// Numbers in an old file's pages, those under a right sum included, lead nowhere outside: each byte of each header
// and of the first elements is set, and what is taken is a file in which nothing but values changed.
func TestOldFilesNumbers(t *testing.T) {
	path := filepath.Join(t.TempDir(), legacyFileName)
	writeLegacy(t, path, 10, 9)
	intact, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	want, err := decodeLegacy(intact)
	if err != nil {
		t.Fatal(err)
	}
	for at := range len(intact) {
		if at%boltPageSize >= numbersIn {
			continue
		}
		for _, to := range []byte{0, 0xFF, intact[at] + 1, intact[at] ^ 0x80} {
			raw := bytes.Clone(intact)
			raw[at] = to
			for page := range boltMetaPages {
				updateChecksum(raw[page*boltPageSize:])
			}
			if got, err := decodeLegacy(raw); err == nil && (got == nil || got.Seat != want.Seat || len(got.Entries) != len(want.Entries)) {
				t.Errorf("byte %d set to %d: taken: %+v", at, to, got)
			}
		}
	}
}

// resum makes a meta page's sum right.
func updateChecksum(page []byte) {
	sum := fnv.New64a()
	sum.Write(page[boltPageHeader : boltPageHeader+boltMetaSize-8])
	binary.LittleEndian.PutUint64(page[boltPageHeader+boltMetaSize-8:], sum.Sum64())
}

// What no single byte brings about: a page under itself, lists that are longer than their page, keys out of order, a
// transaction that is missing, a meta page of which a bit changed.
func TestOldFileMadeUp(t *testing.T) {
	path := filepath.Join(t.TempDir(), legacyFileName)
	writeLegacy(t, path, 600, 9)
	intact, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	f := &boltFile{raw: intact}
	if err := f.readMetas(); err != nil {
		t.Fatal(err)
	}
	for how, change := range map[string]func(raw []byte){
		"a branch under itself": func(raw []byte) {
			for number := range len(raw) / boltPageSize { // which one is in use is not known
				branch := damage.Page(raw, boltPageSize, number)
				if binary.LittleEndian.Uint16(branch[8:]) == boltBranchPage {
					copy(branch[boltPageHeader+8:], branch[:8])
				}
			}
		},
		"a free list without end": func(raw []byte) {
			list := damage.Page(raw, boltPageSize, int(f.meta.freeList))
			binary.LittleEndian.PutUint16(list[10:], boltLargeFreeList)
			binary.LittleEndian.PutUint64(list[boltPageHeader:], 1<<61)
		},
		"a page that is nowhere": func(raw []byte) {
			list := damage.Page(raw, boltPageSize, int(f.meta.freeList))
			binary.LittleEndian.PutUint16(list[10:], binary.LittleEndian.Uint16(list[10:])-1)
		},
		"more pages than bytes": func(raw []byte) {
			for number := range boltMetaPages {
				meta := damage.Page(raw, boltPageSize, number)
				binary.LittleEndian.PutUint64(meta[boltPageHeader+40:], 1<<60)
				updateChecksum(meta)
			}
		},
		"two transactions apart": func(raw []byte) {
			meta := damage.Page(raw, boltPageSize, int(f.meta.txID%2))
			binary.LittleEndian.PutUint64(meta[boltPageHeader+48:], f.meta.txID+2)
			updateChecksum(meta)
		},
		"a leaf with too many": func(raw []byte) {
			binary.LittleEndian.PutUint16(damage.Page(raw, boltPageSize, int(f.meta.root))[10:], 0xFFFF)
		},
	} {
		raw := bytes.Clone(intact)
		change(raw)
		if got, err := decodeLegacy(raw); err == nil {
			t.Errorf("%s: taken: %d entries", how, len(got.Entries))
		}
	}
	for number := range boltMetaPages {
		for bit := range 8 * boltMetaSize {
			raw := bytes.Clone(intact)
			raw[number*boltPageSize+boltPageHeader+bit/8] ^= 1 << (bit % 8)
			if _, err := decodeLegacy(raw); err == nil {
				t.Errorf("meta page %d without its bit %d: taken", number, bit)
			}
		}
	}
	inline := make([]byte, boltBucketHeader+boltPageHeader)
	binary.LittleEndian.PutUint16(inline[boltBucketHeader+8:], boltLeafPage)
	binary.LittleEndian.PutUint16(inline[boltBucketHeader+10:], 1)
	if _, err := f.bucket(inline); err == nil {
		t.Error("an element behind the end of a value: taken")
	}
	if _, err := f.bucket(inline[:boltBucketHeader]); err == nil {
		t.Error("a bucket without a place: taken")
	}
	binary.LittleEndian.PutUint32(inline[boltBucketHeader+8:], 0)
	if _, err := f.bucket(inline); err == nil {
		t.Error("a value that is no page: taken")
	}
	var collector boltCollector
	if collector.add(1, boltPair{}) == nil {
		t.Error("a bucket among values: accepted")
	}
	if err := collector.add(0, boltPair{key: []byte("b")}); err != nil {
		t.Errorf("the first key: %v", err)
	}
	if collector.add(0, boltPair{key: []byte("a")}) == nil || collector.add(0, boltPair{key: []byte("b")}) == nil {
		t.Errorf("keys out of order or twice: accepted: %q", collector.bucket)
	}
}

// A list of free pages that all are free so far, and runs on behind its page.
func TestOldFilesFreeListEnds(t *testing.T) {
	const pages, free = 2_000, boltMetaPages
	f := &boltFile{raw: make([]byte, pages*boltPageSize), meta: boltMeta{pageSize: boltPageSize, freeList: free, pages: pages}, used: make([]bool, pages)}
	list := damage.Page(f.raw, boltPageSize, free)
	binary.LittleEndian.PutUint64(list, free)
	binary.LittleEndian.PutUint16(list[8:], boltFreeListPage)
	binary.LittleEndian.PutUint16(list[10:], pages/2)
	for i := range (boltPageSize - boltPageHeader) / 8 {
		binary.LittleEndian.PutUint64(list[boltPageHeader+8*i:], uint64(free+1+i))
	}
	if err := f.readFreeList(); err == nil {
		t.Error("taken")
	}
}

// Damage to an old file never ends the process, and what pages show is refused: of each page that is zeroed, each
// two that are swapped and each cut, none passes for another state. A byte inside a value may; how many do is
// logged.
func TestDamagedOldFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), legacyFileName)
	writeLegacy(t, path, 100, 9)
	intact, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	want, err := decodeLegacy(intact)
	if err != nil {
		t.Fatal(err)
	}
	unlike := func(raw []byte) bool {
		got, err := decodeLegacy(raw)
		return err == nil && !reflect.DeepEqual(got, want)
	}
	pages := len(intact) / boltPageSize
	for one := range pages {
		raw := bytes.Clone(intact)
		clear(damage.Page(raw, boltPageSize, one))
		if unlike(raw) {
			t.Errorf("page %d zeroed: taken", one)
		}
		if unlike(intact[:one*boltPageSize]) {
			t.Errorf("cut at page %d: taken", one)
		}
		for other := range one {
			raw := bytes.Clone(intact)
			damage.SwapPages(raw, boltPageSize, one, other)
			if unlike(raw) {
				t.Errorf("pages %d and %d swapped: taken", one, other)
			}
		}
	}
	source, taken := damage.NewSource(t, boltPageSize), 0
	rounds := damage.Rounds(decodeRounds)
	for range rounds {
		if raw, _ := source.Of(intact); unlike(raw) {
			taken++
		}
	}
	t.Logf("%d of %d damages changed a value unseen", taken, rounds)
	checkQuarantined(t, legacyFileName, intact[:3*boltPageSize], "three pages of an old file")
	checkQuarantined(t, legacyFileName, []byte("noise"), "noise for an old file")
}
