package state

import (
	"bytes"
	"encoding/binary"
	"hash/fnv"
	"testing"

	"caperarch/internal/lab/testbed/damage"
)

// numbersEnd is the offset in a page up to which TestBoltNumbersAreChecked changes bytes: the page's header and the
// headers of the first elements.
const numbersEnd = boltPageHeaderSize + 5*boltElementSize

// An invalid number in a page never causes a read outside the file, even under a correct checksum. The test changes
// each byte of the page headers and of the first element headers; a file that is still accepted may differ from the
// intact one in values only.
func TestBoltNumbersAreChecked(t *testing.T) {
	intact, want := legacySample(t, 10)
	for at := range len(intact) {
		if at%boltPageSize >= numbersEnd {
			continue
		}
		for _, to := range []byte{0, 0xFF, intact[at] + 1, intact[at] ^ 0x80} {
			raw := bytes.Clone(intact)
			raw[at] = to
			for page := range boltMetaPages {
				updateChecksum(raw[page*boltPageSize:])
			}
			got, err := decodeLegacy(raw)
			if err == nil && (got == nil || got.VoterIncarnation != want.VoterIncarnation ||
				len(got.Entries) != len(want.Entries)) {
				t.Errorf("byte %d set to %d: the file was accepted with other contents: %+v", at, to, got)
			}
		}
	}
}

// updateChecksum writes the correct checksum into a meta page.
func updateChecksum(page []byte) {
	sum := fnv.New64a()
	sum.Write(page[boltPageHeaderSize : boltPageHeaderSize+boltMetaSize-8])
	binary.LittleEndian.PutUint64(page[boltPageHeaderSize+boltMetaSize-8:], sum.Sum64())
}

// contradictions returns changes that make an intact database inconsistent and need more than one changed byte.
func contradictions(f *boltFile) map[string]func(raw []byte) {
	return map[string]func(raw []byte){
		"a branch page that is its own child": func(raw []byte) {
			for number := range len(raw) / boltPageSize { // changes all branch pages, as any may be the one in use
				branch := damage.Page(raw, boltPageSize, number)
				if binary.LittleEndian.Uint16(branch[8:]) == boltBranchPage {
					copy(branch[boltPageHeaderSize+8:], branch[:8])
				}
			}
		},
		"a free list longer than the file": func(raw []byte) {
			list := damage.Page(raw, boltPageSize, int(f.meta.freeList))
			binary.LittleEndian.PutUint16(list[10:], boltLargeFreeList)
			binary.LittleEndian.PutUint64(list[boltPageHeaderSize:], 1<<61)
		},
		"a page that is neither in use nor free": func(raw []byte) {
			list := damage.Page(raw, boltPageSize, int(f.meta.freeList))
			binary.LittleEndian.PutUint16(list[10:], binary.LittleEndian.Uint16(list[10:])-1)
		},
		"more pages than the file has bytes": func(raw []byte) {
			for number := range boltMetaPages {
				meta := damage.Page(raw, boltPageSize, number)
				binary.LittleEndian.PutUint64(meta[boltPageHeaderSize+40:], 1<<60)
				updateChecksum(meta)
			}
		},
		"meta pages of transactions that are not consecutive": func(raw []byte) {
			meta := damage.Page(raw, boltPageSize, int(f.meta.txID%2))
			binary.LittleEndian.PutUint64(meta[boltPageHeaderSize+48:], f.meta.txID+2)
			updateChecksum(meta)
		},
		"a leaf page with more elements than fit": func(raw []byte) {
			binary.LittleEndian.PutUint16(damage.Page(raw, boltPageSize, int(f.meta.root))[10:], 0xFFFF)
		},
	}
}

func TestContradictoryBoltIsRejected(t *testing.T) {
	intact, _ := legacySample(t, 600)
	f := &boltFile{raw: intact}
	if err := f.readMetas(); err != nil {
		t.Fatal(err)
	}
	for how, change := range contradictions(f) {
		raw := bytes.Clone(intact)
		change(raw)
		if got, err := decodeLegacy(raw); err == nil {
			t.Errorf("%s: the file was accepted, with %d log entries", how, len(got.Entries))
		}
	}
}

func TestBoltMetaPageWithAnyBitChangedIsRejected(t *testing.T) {
	intact, _ := legacySample(t, 600)
	for number := range boltMetaPages {
		for bit := range 8 * boltMetaSize {
			raw := bytes.Clone(intact)
			raw[number*boltPageSize+boltPageHeaderSize+bit/8] ^= 1 << (bit % 8)
			if _, err := decodeLegacy(raw); err == nil {
				t.Errorf("meta page %d with bit %d changed: the file was accepted, want an error", number, bit)
			}
		}
	}
}

func TestMalformedInlineBucketIsRejected(t *testing.T) {
	f := new(boltFile)
	inline := make([]byte, boltBucketHeaderSize+boltPageHeaderSize)
	binary.LittleEndian.PutUint16(inline[boltBucketHeaderSize+8:], boltLeafPage)
	binary.LittleEndian.PutUint16(inline[boltBucketHeaderSize+10:], 1)
	if _, err := f.bucket(inline); err == nil {
		t.Error("an element beyond the end of the bucket's value was accepted, want an error")
	}
	if _, err := f.bucket(inline[:boltBucketHeaderSize]); err == nil {
		t.Error("a bucket without an inline page was accepted, want an error")
	}
	binary.LittleEndian.PutUint32(inline[boltBucketHeaderSize+8:], 0)
	if _, err := f.bucket(inline); err == nil {
		t.Error("a bucket whose inline page has no page type was accepted, want an error")
	}
}

func TestBoltCollectorRequiresSortedValues(t *testing.T) {
	var collector boltCollector
	if collector.add(1, boltPair{}) == nil {
		t.Error("a nested bucket among values was accepted, want an error")
	}
	if err := collector.add(0, boltPair{key: []byte("b")}); err != nil {
		t.Errorf("adding the first key: %v", err)
	}
	if collector.add(0, boltPair{key: []byte("a")}) == nil || collector.add(0, boltPair{key: []byte("b")}) == nil {
		t.Errorf("unsorted or duplicate keys were accepted: %q", collector.bucket)
	}
}

// A free list that is longer than its page is rejected, even if all of the pages that it lists exist and are unused.
func TestFreeListLongerThanItsPageIsRejected(t *testing.T) {
	const pages, free = 2_000, boltMetaPages
	f := &boltFile{
		raw:  make([]byte, pages*boltPageSize),
		meta: boltMeta{pageSize: boltPageSize, freeList: free, pages: pages},
		used: make([]bool, pages),
	}
	list := damage.Page(f.raw, boltPageSize, free)
	binary.LittleEndian.PutUint64(list, free)
	binary.LittleEndian.PutUint16(list[8:], boltFreeListPage)
	binary.LittleEndian.PutUint16(list[10:], pages/2)
	for i := range (boltPageSize - boltPageHeaderSize) / 8 {
		binary.LittleEndian.PutUint64(list[boltPageHeaderSize+8*i:], uint64(free+1+i))
	}
	if err := f.readFreeList(); err == nil {
		t.Error("a free list longer than its page was accepted, want an error")
	}
}
