package state

import (
	"bytes"
	"encoding/binary"
	"fmt"
)

// boltPair is a key of a bucket and its value.
type boltPair struct{ key, value []byte }

// boltBucket is the content of a bucket, in the order of the keys.
type boltBucket []boltPair

// value is that of the key, or nil.
func (b boltBucket) value(key string) []byte {
	for _, pair := range b {
		if string(pair.key) == key {
			return pair.value
		}
	}
	return nil
}

// boltCollector collects elements of one kind, in the order of their keys.
type boltCollector struct {
	flags  uint32 // of every element
	bucket boltBucket
}

func (c *boltCollector) add(flags uint32, pair boltPair) error {
	if flags != c.flags {
		return fmt.Errorf("%w: an element of kind %x", errInvalidBolt, flags)
	}
	if n := len(c.bucket); n > 0 && bytes.Compare(c.bucket[n-1].key, pair.key) >= 0 {
		return fmt.Errorf("%w: keys out of order", errInvalidBolt)
	}
	c.bucket = append(c.bucket, pair)
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
	page := newBoltPage(inline)
	if page.flags != boltLeafPage {
		return nil, fmt.Errorf("%w: a bucket without a page", errInvalidBolt)
	}
	var collector boltCollector
	err := page.collect(&collector)
	return collector.bucket, err
}

// collect returns everything under a page, all of it elements of one kind.
func (f *boltFile) collect(id uint64, flags uint32) (boltBucket, error) {
	collector := boltCollector{flags: flags}
	err := f.collectUnder(id, &collector)
	return collector.bucket, err
}

// collectUnder adds what is under a page, in order. It ends, as no page is read twice.
func (f *boltFile) collectUnder(id uint64, collector *boltCollector) error {
	page, err := f.page(id)
	if err != nil {
		return err
	}
	switch page.flags {
	case boltLeafPage:
		return page.collect(collector)
	case boltBranchPage:
		return f.collectChildren(page, collector)
	}
	return fmt.Errorf("%w: page %d is of kind %x", errInvalidBolt, id, page.flags)
}

func (f *boltFile) collectChildren(branch boltPage, collector *boltCollector) error {
	for i := range branch.count {
		element, err := branch.element(i)
		if err != nil {
			return err
		}
		child := binary.LittleEndian.Uint64(element[8:])
		if err := f.collectUnder(child, collector); err != nil {
			return err
		}
	}
	return nil
}

// collect adds the elements of a leaf page.
func (p boltPage) collect(collector *boltCollector) error {
	for i := range p.count {
		element, err := p.element(i)
		if err != nil {
			return err
		}
		pair, err := p.pair(i, element)
		if err != nil {
			return err
		}
		if err := collector.add(binary.LittleEndian.Uint32(element), pair); err != nil {
			return err
		}
	}
	return nil
}

func (p boltPage) element(i int) ([]byte, error) {
	from := boltPageHeader + i*boltElement
	if from+boltElement > len(p.raw) {
		return nil, fmt.Errorf("%w: element %d of a page", errInvalidBolt, i)
	}
	return p.raw[from : from+boltElement], nil
}

// pair returns a copy of a leaf element's key and value, whose offset is counted from the element itself.
func (p boltPage) pair(i int, element []byte) (boltPair, error) {
	key := uint64(boltPageHeader+i*boltElement) + uint64(binary.LittleEndian.Uint32(element[4:]))
	value := key + uint64(binary.LittleEndian.Uint32(element[8:]))
	end := value + uint64(binary.LittleEndian.Uint32(element[12:]))
	if end > uint64(len(p.raw)) {
		return boltPair{}, fmt.Errorf("%w: element %d of a page leads out of it", errInvalidBolt, i)
	}
	return boltPair{key: bytes.Clone(p.raw[key:value]), value: bytes.Clone(p.raw[value:end])}, nil
}
