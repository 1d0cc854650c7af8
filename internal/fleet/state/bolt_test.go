package state

import (
	"bytes"
	"encoding/binary"
	"hash/fnv"
	"testing"

	"caperarch/internal/lab/testbed/damage"
)

// numbersEnd is where the numbers of a page end: its header, and the first elements behind it.
const numbersEnd = boltPageHeader + 5*boltElement

// Numbers in a database's pages, those under a correct checksum included, lead nowhere outside: each byte
// of each header and of the first elements is changed, and what is accepted differs in nothing but values.
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
			if err == nil && (got == nil || got.Seat != want.Seat || len(got.Entries) != len(want.Entries)) {
				t.Errorf("byte %d set to %d: accepted: %+v", at, to, got)
			}
		}
	}
}

// updateChecksum makes a meta page's checksum correct.
func updateChecksum(page []byte) {
	sum := fnv.New64a()
	sum.Write(page[boltPageHeader : boltPageHeader+boltMetaSize-8])
	binary.LittleEndian.PutUint64(page[boltPageHeader+boltMetaSize-8:], sum.Sum64())
}

// contradictions are changes to an intact database that no single byte brings about.
func contradictions(f *boltFile) map[string]func(raw []byte) {
	return map[string]func(raw []byte){
		"a branch under itself": func(raw []byte) {
			for number := range len(raw) / boltPageSize { // which one is in use isn't known
				branch := damage.Page(raw, boltPageSize, number)
				if binary.LittleEndian.Uint16(branch[8:]) == boltBranchPage {
					copy(branch[boltPageHeader+8:], branch[:8])
				}
			}
		},
		"an endless free list": func(raw []byte) {
			list := damage.Page(raw, boltPageSize, int(f.meta.freeList))
			binary.LittleEndian.PutUint16(list[10:], boltLargeFreeList)
			binary.LittleEndian.PutUint64(list[boltPageHeader:], 1<<61)
		},
		"a page neither used nor free": func(raw []byte) {
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
		"a leaf with too many elements": func(raw []byte) {
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
			t.Errorf("%s: accepted: %d entries", how, len(got.Entries))
		}
	}
}

func TestBoltMetaPageWithAnyBitChangedIsRejected(t *testing.T) {
	intact, _ := legacySample(t, 600)
	for number := range boltMetaPages {
		for bit := range 8 * boltMetaSize {
			raw := bytes.Clone(intact)
			raw[number*boltPageSize+boltPageHeader+bit/8] ^= 1 << (bit % 8)
			if _, err := decodeLegacy(raw); err == nil {
				t.Errorf("meta page %d with bit %d changed: accepted", number, bit)
			}
		}
	}
}

func TestMalformedInlineBucketIsRejected(t *testing.T) {
	f := new(boltFile)
	inline := make([]byte, boltBucketHeader+boltPageHeader)
	binary.LittleEndian.PutUint16(inline[boltBucketHeader+8:], boltLeafPage)
	binary.LittleEndian.PutUint16(inline[boltBucketHeader+10:], 1)
	if _, err := f.bucket(inline); err == nil {
		t.Error("an element behind the end of a value: accepted")
	}
	if _, err := f.bucket(inline[:boltBucketHeader]); err == nil {
		t.Error("a bucket without a page: accepted")
	}
	binary.LittleEndian.PutUint32(inline[boltBucketHeader+8:], 0)
	if _, err := f.bucket(inline); err == nil {
		t.Error("a value that is no page: accepted")
	}
}

func TestBoltBucketTakesValuesInOrder(t *testing.T) {
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

// A list of free pages that are all unused so far, and that continues behind its page, is rejected.
func TestBoltFreeListEndsInItsPage(t *testing.T) {
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
	for i := range (boltPageSize - boltPageHeader) / 8 {
		binary.LittleEndian.PutUint64(list[boltPageHeader+8*i:], uint64(free+1+i))
	}
	if err := f.readFreeList(); err == nil {
		t.Error("accepted")
	}
}
