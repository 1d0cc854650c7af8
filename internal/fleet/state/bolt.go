package state

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
)

// The layout of a bbolt database, version 2. Sizes are in bytes. Numbers are little-endian here: they are
// those of the machine that wrote the file, which for this program is one of amd64 and arm64.
const (
	boltMagic   = 0xED0CDAED
	boltVersion = 2

	boltBranchPage   = 0x01
	boltLeafPage     = 0x02
	boltMetaPage     = 0x04
	boltFreeListPage = 0x10

	boltBucketElement = 0x01

	boltPageHeader    = 16     // id, flags, count, overflow
	boltElement       = 16     // of a branch page or of a leaf page
	boltBucketHeader  = 16     // root, sequence
	boltMetaSize      = 64     // the last 8 bytes are the checksum of those before
	boltLargeFreeList = 0xFFFF // as a count: the count is in front of the list
	boltMinPageSize   = 1 << 9 // no system has smaller pages
	boltMetaPages     = 2
	boltFirstTxID     = 1 // of a database in which nothing was stored yet
)

var errInvalidBolt = errors.New("not an intact bbolt database")

// boltFile is a database as plain bytes: it isn't mapped into memory, and no number in it is trusted.
type boltFile struct {
	raw  []byte
	meta boltMeta
	used []bool // by page: it was visited, each at most once
}

// boltMeta describes a transaction's state of the database.
type boltMeta struct {
	pageSize                    uint64
	root, freeList, pages, txID uint64
}

// boltPage is a page of elements, by itself or inside a value.
type boltPage struct {
	raw   []byte // with the pages that it overflows into
	flags uint16
	count int // of elements
}

// readBolt returns a database's buckets by name. Buckets inside buckets are an error, as is everything
// that contradicts the layout.
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
		return nil, fmt.Errorf("%w: its buckets are missing", errInvalidBolt)
	}
	buckets := make(map[string]boltBucket, len(root))
	for _, pair := range root {
		if buckets[string(pair.key)], err = f.bucket(pair.value); err != nil {
			return nil, err
		}
	}
	for id, used := range f.used {
		if !used {
			return nil, fmt.Errorf("%w: page %d is neither in use nor free", errInvalidBolt, id)
		}
	}
	return buckets, nil
}

// readMetas takes the later of the two last transactions. Both have to be intact: where one is not, it
// isn't known whether that transaction was acknowledged.
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
		return fmt.Errorf("%w: its meta pages don't match", errInvalidBolt)
	case f.meta.pages > uint64(len(f.raw))/f.meta.pageSize:
		return fmt.Errorf("%w: it has %d bytes and should have %d pages", errInvalidBolt, len(f.raw), f.meta.pages)
	}
	f.used = make([]bool, f.meta.pages)
	for id := range min(boltMetaPages, len(f.used)) {
		f.used[id] = true
	}
	return nil
}

func (f *boltFile) readMeta(offset, id uint64) (boltMeta, error) {
	if uint64(len(f.raw)) < offset+boltPageHeader+boltMetaSize {
		return boltMeta{}, fmt.Errorf("%w: %d bytes", errInvalidBolt, len(f.raw))
	}
	page := f.raw[offset:]
	raw := page[boltPageHeader : boltPageHeader+boltMetaSize]
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
		return meta, fmt.Errorf("%w: meta page %d", errInvalidBolt, id)
	}
	return meta, nil
}

// readFreeList marks the free pages as used, so that nothing else may refer to them.
func (f *boltFile) readFreeList() error {
	page, err := f.page(f.meta.freeList)
	if err != nil {
		return err
	}
	list, count := page.raw[boltPageHeader:], uint64(page.count)
	if count == boltLargeFreeList {
		count, list = binary.LittleEndian.Uint64(list), list[8:]
	}
	if page.flags != boltFreeListPage || count > uint64(len(list))/8 {
		return fmt.Errorf("%w: its list of free pages", errInvalidBolt)
	}
	for i := range count {
		if err := f.markUsed(binary.LittleEndian.Uint64(list[8*i:])); err != nil {
			return err
		}
	}
	return nil
}

// page returns a page with those that it overflows into, and marks them as used.
func (f *boltFile) page(id uint64) (boltPage, error) {
	if id >= f.meta.pages {
		return boltPage{}, fmt.Errorf("%w: page %d of %d", errInvalidBolt, id, f.meta.pages)
	}
	raw := f.raw[id*f.meta.pageSize:]
	end := id + uint64(binary.LittleEndian.Uint32(raw[12:])) + 1
	if binary.LittleEndian.Uint64(raw) != id {
		return boltPage{}, fmt.Errorf("%w: the header of page %d", errInvalidBolt, id)
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

func (f *boltFile) markUsed(id uint64) error {
	if id >= uint64(len(f.used)) || f.used[id] {
		return fmt.Errorf("%w: page %d is used twice, or doesn't exist", errInvalidBolt, id)
	}
	f.used[id] = true
	return nil
}
