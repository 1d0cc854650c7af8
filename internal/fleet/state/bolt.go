package state

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
)

// The layout of a bbolt database, version 2. Numbers are little-endian here: they are those of the machine that
// wrote the file, which for this program is one of amd64 and arm64.
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
	boltMetaSize      = 64     // the last 8 bytes are the sum of those before
	boltLargeFreeList = 0xFFFF // as a count: the count is in front of the list
	boltMinPageSize   = 1 << 9 // bytes of a page; no system has smaller ones
	boltMetaPages     = 2
	boltFirstTxID     = 1 // of a database in which nothing was kept yet
)

var errInvalidBolt = errors.New("no whole bbolt database")

// boltPair is a key of a bucket and its value.
type boltPair struct{ key, value []byte }

// boltBucket is what a bucket holds, in the order of the keys.
type boltBucket []boltPair

func (b boltBucket) value(key string) []byte {
	for _, pair := range b {
		if string(pair.key) == key {
			return pair.value
		}
	}
	return nil
}

type boltMeta struct {
	pageSize                    uint64
	root, freeList, pages, txID uint64
}

// boltFile is a database as plain bytes: nothing of it is mapped, and no number in it is trusted.
type boltFile struct {
	raw  []byte
	meta boltMeta
	used []bool // by page: it was met on the way
}

// boltElements is a page of elements, by itself or inside a value.
type boltElements struct {
	raw   []byte
	flags uint16
	count int
}

// readBolt returns a database's buckets by name. It has no buckets inside buckets.
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
		return nil, fmt.Errorf("%w: its buckets are gone", errInvalidBolt)
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

// readMetas takes the later of the two last transactions. Both have to be right: where one is not, it can't be
// told whether that transaction was answered for.
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
		return fmt.Errorf("%w: its meta pages don't fit", errInvalidBolt)
	case f.meta.pages > uint64(len(f.raw))/f.meta.pageSize:
		return fmt.Errorf("%w: it has %d bytes and should have %d pages", errInvalidBolt, len(f.raw), f.meta.pages)
	}
	f.used = make([]bool, f.meta.pages)
	for id := range min(boltMetaPages, len(f.used)) {
		f.used[id] = true
	}
	return nil
}

func (f *boltFile) readMeta(offset, id uint64) (m boltMeta, err error) {
	if uint64(len(f.raw)) < offset+boltPageHeader+boltMetaSize {
		return m, fmt.Errorf("%w: %d bytes", errInvalidBolt, len(f.raw))
	}
	raw := f.raw[offset:]
	meta := raw[boltPageHeader : boltPageHeader+boltMetaSize]
	sum := fnv.New64a()
	sum.Write(meta[:boltMetaSize-8])
	m = boltMeta{
		pageSize: uint64(binary.LittleEndian.Uint32(meta[8:])), root: binary.LittleEndian.Uint64(meta[16:]), freeList: binary.LittleEndian.Uint64(meta[32:]),
		pages: binary.LittleEndian.Uint64(meta[40:]), txID: binary.LittleEndian.Uint64(meta[48:]),
	}
	switch {
	case binary.LittleEndian.Uint64(raw) != id || binary.LittleEndian.Uint16(raw[8:]) != boltMetaPage,
		binary.LittleEndian.Uint32(meta) != boltMagic || binary.LittleEndian.Uint32(meta[4:]) != boltVersion,
		binary.LittleEndian.Uint64(meta[boltMetaSize-8:]) != sum.Sum64(),
		m.pageSize < boltMinPageSize:
		return m, fmt.Errorf("%w: meta page %d", errInvalidBolt, id)
	}
	return m, nil
}

// page is a page with those that it runs over into. Each is met once.
func (f *boltFile) page(id uint64) (boltElements, error) {
	if id >= f.meta.pages {
		return boltElements{}, fmt.Errorf("%w: page %d of %d", errInvalidBolt, id, f.meta.pages)
	}
	raw := f.raw[id*f.meta.pageSize:]
	end := id + uint64(binary.LittleEndian.Uint32(raw[12:])) + 1
	if binary.LittleEndian.Uint64(raw) != id {
		return boltElements{}, fmt.Errorf("%w: the header of page %d", errInvalidBolt, id)
	}
	for k := id; k < end; k++ {
		if err := f.markUsed(k); err != nil {
			return boltElements{}, err
		}
	}
	return elementsOf(raw[:(end-id)*f.meta.pageSize]), nil
}

func elementsOf(raw []byte) boltElements {
	return boltElements{raw, binary.LittleEndian.Uint16(raw[8:]), int(binary.LittleEndian.Uint16(raw[10:]))}
}

func (f *boltFile) markUsed(id uint64) error {
	if id >= uint64(len(f.used)) || f.used[id] {
		return fmt.Errorf("%w: page %d is used twice, or is none", errInvalidBolt, id)
	}
	f.used[id] = true
	return nil
}

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

// bucket reads a bucket, whose page is in the value itself if it is small.
func (f *boltFile) bucket(value []byte) (boltBucket, error) {
	if len(value) < boltBucketHeader {
		return nil, fmt.Errorf("%w: a bucket of %d bytes", errInvalidBolt, len(value))
	}
	if root := binary.LittleEndian.Uint64(value); root != 0 {
		return f.collect(root, 0)
	}
	inline := value[boltBucketHeader:]
	if len(inline) < boltPageHeader {
		return nil, fmt.Errorf("%w: a bucket of %d bytes", errInvalidBolt, len(value))
	}
	page := elementsOf(inline)
	if page.flags != boltLeafPage {
		return nil, fmt.Errorf("%w: a bucket without a page", errInvalidBolt)
	}
	var bucket boltBucket
	err := page.eachLeaf(bucket.adder(0))
	return bucket, err
}

// collect is what is under a page, all of it elements of one kind.
func (f *boltFile) collect(id uint64, flags uint32) (boltBucket, error) {
	var bucket boltBucket
	err := f.walk(id, bucket.adder(flags))
	return bucket, err
}

// adder adds elements of one kind, in the order of their keys.
func (b *boltBucket) adder(want uint32) func(flags uint32, pair boltPair) error {
	return func(flags uint32, pair boltPair) error {
		if flags != want {
			return fmt.Errorf("%w: an element of kind %x", errInvalidBolt, flags)
		}
		if n := len(*b); n > 0 && bytes.Compare((*b)[n-1].key, pair.key) >= 0 {
			return fmt.Errorf("%w: keys out of order", errInvalidBolt)
		}
		*b = append(*b, pair)
		return nil
	}
}

// walk visits what is under a page, in order. As no page is met twice it ends.
func (f *boltFile) walk(id uint64, visit func(flags uint32, pair boltPair) error) error {
	page, err := f.page(id)
	if err != nil {
		return err
	}
	switch page.flags {
	case boltLeafPage:
		return page.eachLeaf(visit)
	case boltBranchPage:
		return page.eachChild(func(child uint64) error { return f.walk(child, visit) })
	}
	return fmt.Errorf("%w: page %d is of kind %x", errInvalidBolt, id, page.flags)
}

func (p boltElements) eachLeaf(visit func(flags uint32, pair boltPair) error) error {
	for i := range p.count {
		element, err := p.element(i)
		if err != nil {
			return err
		}
		key, value, err := p.keyValue(i, element)
		if err != nil {
			return err
		}
		if err := visit(binary.LittleEndian.Uint32(element), boltPair{key, value}); err != nil {
			return err
		}
	}
	return nil
}

func (p boltElements) eachChild(visit func(child uint64) error) error {
	for i := range p.count {
		element, err := p.element(i)
		if err != nil {
			return err
		}
		if err := visit(binary.LittleEndian.Uint64(element[8:])); err != nil {
			return err
		}
	}
	return nil
}

func (p boltElements) element(i int) ([]byte, error) {
	from := boltPageHeader + i*boltElement
	if from+boltElement > len(p.raw) {
		return nil, fmt.Errorf("%w: element %d of a page", errInvalidBolt, i)
	}
	return p.raw[from : from+boltElement], nil
}

// keyValue are a leaf's; their place is counted from the element itself.
func (p boltElements) keyValue(i int, element []byte) (key, value []byte, err error) {
	from := uint64(boltPageHeader+i*boltElement) + uint64(binary.LittleEndian.Uint32(element[4:]))
	middle := from + uint64(binary.LittleEndian.Uint32(element[8:]))
	end := middle + uint64(binary.LittleEndian.Uint32(element[12:]))
	if end > uint64(len(p.raw)) {
		return nil, nil, fmt.Errorf("%w: element %d of a page leads out of it", errInvalidBolt, i)
	}
	return bytes.Clone(p.raw[from:middle]), bytes.Clone(p.raw[middle:end]), nil
}
