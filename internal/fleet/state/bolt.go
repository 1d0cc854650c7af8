package state

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
)

// The file layout of bbolt databases, version 2. Sizes are in bytes. bbolt writes numbers in the byte order of the
// machine; they are read as little-endian, because this program runs on amd64 and arm64 only.
const (
	boltMagic   = 0xED0CDAED
	boltVersion = 2

	boltBranchPage   = 0x01
	boltLeafPage     = 0x02
	boltMetaPage     = 0x04
	boltFreeListPage = 0x10

	boltBucketElement = 0x01

	boltPageHeaderSize   = 16 // page id, flags, element count, number of overflow pages
	boltElementSize      = 16 // header of an element in a branch or leaf page
	boltBucketHeaderSize = 16 // root page, sequence
	boltMetaSize         = 64 // the last 8 bytes are the checksum of the bytes before them
	// boltLargeFreeList as a free list's element count means that the first entry of the list is the count.
	boltLargeFreeList = 0xFFFF
	boltMinPageSize   = 1 << 9 // no supported system has smaller pages
	boltMetaPages     = 2
	boltFirstTxID     = 1 // transaction of a database in which nothing has been stored yet
)

var errInvalidBolt = errors.New("invalid bbolt database")

// boltFile is a database that was read into memory instead of being mapped, so that corruption can't crash the
// process. Every number in it is validated before use.
type boltFile struct {
	raw  []byte
	meta boltMeta
	used []bool // by page number; a page may be referred to once only
}

// boltMeta is the content of a meta page: where the database of one transaction begins.
type boltMeta struct {
	pageSize                    uint64
	root, freeList, pages, txID uint64
}

// boltPage is a page with elements, either a page of the file or one inside a bucket's value.
type boltPage struct {
	raw   []byte // including the page's overflow pages
	flags uint16
	count int // number of elements
}

// readBolt returns a database's buckets by name. Nested buckets are an error, because this program never wrote any,
// and so is every violation of the layout.
func readBolt(raw []byte) (map[string]boltBucket, error) {
	f := &boltFile{raw: raw}
	if err := f.readMetas(); err != nil {
		return nil, err
	}
	if err := f.readFreeList(); err != nil {
		return nil, err
	}
	root, err := f.collect(f.meta.root, boltBucketElement)
	if err != nil {
		return nil, err
	}
	if len(root) == 0 && f.meta.txID > boltFirstTxID {
		return nil, fmt.Errorf("%w: all buckets are missing", errInvalidBolt)
	}
	buckets := make(map[string]boltBucket, len(root))
	for _, pair := range root {
		if buckets[string(pair.key)], err = f.bucket(pair.value); err != nil {
			return nil, err
		}
	}
	for id, used := range f.used {
		if !used {
			return nil, fmt.Errorf("%w: page %d is neither referred to nor in the free list", errInvalidBolt, id)
		}
	}
	return buckets, nil
}

// readMetas reads both meta pages, which describe the last two transactions, and selects the later one. Both have to
// be intact: if one is not, its transaction may be the last one that was acknowledged.
func (f *boltFile) readMetas() error {
	first, err := f.readMeta(0, 0)
	if err != nil {
		return err
	}
	second, err := f.readMeta(first.pageSize, 1)
	if err != nil {
		return err
	}
	f.meta = first
	if second.txID > first.txID {
		f.meta = second
	}
	low, high := min(first.txID, second.txID), max(first.txID, second.txID)
	switch {
	case first.pageSize != second.pageSize || high != low+1:
		return fmt.Errorf("%w: the two meta pages have different page sizes or no consecutive transactions", errInvalidBolt)
	case f.meta.pages > uint64(len(f.raw))/f.meta.pageSize:
		return fmt.Errorf("%w: the file has %d bytes, too few for %d pages", errInvalidBolt, len(f.raw), f.meta.pages)
	}
	f.used = make([]bool, f.meta.pages)
	for id := range min(boltMetaPages, len(f.used)) {
		f.used[id] = true
	}
	return nil
}

func (f *boltFile) readMeta(offset, id uint64) (boltMeta, error) {
	if uint64(len(f.raw)) < offset+boltPageHeaderSize+boltMetaSize {
		return boltMeta{}, fmt.Errorf("%w: the file has %d bytes, too few for its meta pages", errInvalidBolt, len(f.raw))
	}
	page := f.raw[offset:]
	raw := page[boltPageHeaderSize : boltPageHeaderSize+boltMetaSize]
	meta := boltMeta{
		pageSize: uint64(binary.LittleEndian.Uint32(raw[8:])),
		root:     binary.LittleEndian.Uint64(raw[16:]),
		freeList: binary.LittleEndian.Uint64(raw[32:]),
		pages:    binary.LittleEndian.Uint64(raw[40:]),
		txID:     binary.LittleEndian.Uint64(raw[48:]),
	}
	checksum := fnv.New64a()
	checksum.Write(raw[:boltMetaSize-8])
	switch {
	case binary.LittleEndian.Uint64(page) != id || binary.LittleEndian.Uint16(page[8:]) != boltMetaPage,
		binary.LittleEndian.Uint32(raw) != boltMagic || binary.LittleEndian.Uint32(raw[4:]) != boltVersion,
		binary.LittleEndian.Uint64(raw[boltMetaSize-8:]) != checksum.Sum64(),
		meta.pageSize < boltMinPageSize:
		return meta, fmt.Errorf("%w: meta page %d has an invalid header, format or checksum", errInvalidBolt, id)
	}
	return meta, nil
}

// readFreeList marks the free pages as used, so that a reference to one of them is detected.
func (f *boltFile) readFreeList() error {
	page, err := f.page(f.meta.freeList)
	if err != nil {
		return err
	}
	list, count := page.raw[boltPageHeaderSize:], uint64(page.count)
	if count == boltLargeFreeList {
		count, list = binary.LittleEndian.Uint64(list), list[8:]
	}
	if page.flags != boltFreeListPage || count > uint64(len(list))/8 {
		return fmt.Errorf("%w: the free list has an invalid page type or length", errInvalidBolt)
	}
	for i := range count {
		if err := f.markUsed(binary.LittleEndian.Uint64(list[8*i:])); err != nil {
			return err
		}
	}
	return nil
}

// page returns a page including its overflow pages, and marks them as used.
func (f *boltFile) page(id uint64) (boltPage, error) {
	if id >= f.meta.pages {
		return boltPage{}, fmt.Errorf("%w: reference to page %d, the database has %d pages", errInvalidBolt, id, f.meta.pages)
	}
	raw := f.raw[id*f.meta.pageSize:]
	end := id + uint64(binary.LittleEndian.Uint32(raw[12:])) + 1
	if binary.LittleEndian.Uint64(raw) != id {
		return boltPage{}, fmt.Errorf("%w: the header of page %d has another page number", errInvalidBolt, id)
	}
	for used := id; used < end; used++ {
		if err := f.markUsed(used); err != nil {
			return boltPage{}, err
		}
	}
	return newBoltPage(raw[:(end-id)*f.meta.pageSize]), nil
}

func newBoltPage(raw []byte) boltPage {
	return boltPage{raw, binary.LittleEndian.Uint16(raw[8:]), int(binary.LittleEndian.Uint16(raw[10:]))}
}

// markUsed returns an error if a page is out of range or already in use.
func (f *boltFile) markUsed(id uint64) error {
	if id >= uint64(len(f.used)) || f.used[id] {
		return fmt.Errorf("%w: page %d is referred to twice or does not exist", errInvalidBolt, id)
	}
	f.used[id] = true
	return nil
}
