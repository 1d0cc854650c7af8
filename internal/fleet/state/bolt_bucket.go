package state

import (
	"bytes"
	"encoding/binary"
	"fmt"
)

// boltPair is a key-value pair of a bucket.
type boltPair struct{ key, value []byte }

// boltBucket is the content of a bucket, sorted by key.
type boltBucket []boltPair

// value returns the value of a key, or nil if the bucket does not have the key.
func (b boltBucket) value(key string) []byte {
	for _, pair := range b {
		if string(pair.key) == key {
			return pair.value
		}
	}
	return nil
}

// boltCollector collects elements that all have the same flags, and checks that their keys are sorted.
type boltCollector struct {
	flags  uint32 // expected of every element
	bucket boltBucket
}

func (c *boltCollector) add(flags uint32, pair boltPair) error {
	if flags != c.flags {
		return fmt.Errorf("%w: an element has unexpected flags %#x", errInvalidBolt, flags)
	}
	if n := len(c.bucket); n > 0 && bytes.Compare(c.bucket[n-1].key, pair.key) >= 0 {
		return fmt.Errorf("%w: keys are not sorted or not unique", errInvalidBolt)
	}
	c.bucket = append(c.bucket, pair)
	return nil
}

// bucket reads a bucket from its value in the root bucket. A small bucket has its only page inline, in that value.
func (f *boltFile) bucket(value []byte) (boltBucket, error) {
	if len(value) < boltBucketHeaderSize {
		return nil, fmt.Errorf("%w: a bucket's value of %d bytes is shorter than its header", errInvalidBolt, len(value))
	}
	if root := binary.LittleEndian.Uint64(value); root != 0 {
		return f.collect(root, 0)
	}
	inline := value[boltBucketHeaderSize:]
	if len(inline) < boltPageHeaderSize {
		return nil, fmt.Errorf("%w: a bucket's value of %d bytes is too short for an inline page", errInvalidBolt, len(value))
	}
	page := newBoltPage(inline)
	if page.flags != boltLeafPage {
		return nil, fmt.Errorf("%w: the inline page of a bucket is no leaf page", errInvalidBolt)
	}
	var collector boltCollector
	err := page.collect(&collector)
	return collector.bucket, err
}

// collect returns all elements of the subtree under a page; each of them must have the given flags.
func (f *boltFile) collect(id uint64, flags uint32) (boltBucket, error) {
	collector := boltCollector{flags: flags}
	err := f.collectUnder(id, &collector)
	return collector.bucket, err
}

// collectUnder adds the elements of the subtree under a page, in order. The recursion ends even in a corrupt file,
// because every page may be read once only.
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
	return fmt.Errorf("%w: page %d has flags %#x, want a leaf or branch page", errInvalidBolt, id, page.flags)
}

// collectChildren adds the elements of the subtrees under a branch page.
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

// element returns the header of an element.
func (p boltPage) element(i int) ([]byte, error) {
	start := boltPageHeaderSize + i*boltElementSize
	if start+boltElementSize > len(p.raw) {
		return nil, fmt.Errorf("%w: element %d lies beyond the end of its page", errInvalidBolt, i)
	}
	return p.raw[start : start+boltElementSize], nil
}

// pair returns a copy of a leaf element's key and value. Their offset in the page is relative to the element's header.
func (p boltPage) pair(i int, element []byte) (boltPair, error) {
	keyStart := uint64(boltPageHeaderSize+i*boltElementSize) + uint64(binary.LittleEndian.Uint32(element[4:]))
	valueStart := keyStart + uint64(binary.LittleEndian.Uint32(element[8:]))
	end := valueStart + uint64(binary.LittleEndian.Uint32(element[12:]))
	if end > uint64(len(p.raw)) {
		return boltPair{}, fmt.Errorf("%w: the key or value of element %d lies beyond the end of its page", errInvalidBolt, i)
	}
	return boltPair{key: bytes.Clone(p.raw[keyStart:valueStart]), value: bytes.Clone(p.raw[valueStart:end])}, nil
}
