// Package damage damages the bytes of a file as disks and crashes do, for tests of the code that reads the file.
package damage

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
)

// Source draws damages. The same seed gives the same damages.
type Source struct {
	rand *rand.Rand
	page int // page size in bytes, of the disk or of the file's format
}

// NewSource returns a source with the seed from CAPERARCH_SEED, or a random one. It logs the seed.
func NewSource(t *testing.T, page int) *Source {
	t.Helper()
	seed := rand.Uint64()
	if given, err := strconv.ParseUint(os.Getenv("CAPERARCH_SEED"), 10, 64); err == nil {
		seed = given
	}
	t.Logf("CAPERARCH_SEED=%d", seed)
	return &Source{rand.New(rand.NewPCG(seed, 0)), page}
}

// Rounds returns the number of damages to test: CAPERARCH_DAMAGES, or else the given number.
func Rounds(usual int) int {
	if n, err := strconv.Atoi(os.Getenv("CAPERARCH_DAMAGES")); err == nil {
		return n
	}
	return usual
}

// Of returns a damaged copy of a file that differs from the original, and a description of the damage.
func (s *Source) Of(whole []byte) (raw []byte, how string) {
	for raw = bytes.Clone(whole); bytes.Equal(raw, whole); {
		var damage string
		raw, damage = s.damageOnce(raw)
		how += damage + " "
	}
	return raw, how
}

func (s *Source) damageOnce(raw []byte) ([]byte, string) {
	if len(raw) == 0 {
		return []byte{byte(s.rand.Uint32())}, "byte added to an empty file"
	}
	at := s.rand.IntN(len(raw))
	switch s.rand.IntN(11) {
	case 0:
		return raw[:at], fmt.Sprintf("truncated at byte %d", at)
	case 1:
		return raw[:at/s.page*s.page], fmt.Sprintf("truncated at page %d", at/s.page)
	case 2:
		clear(s.pageAt(raw, at))
		return raw, fmt.Sprintf("page %d zeroed", at/s.page)
	case 3:
		other := s.rand.IntN(len(raw))
		SwapPages(raw, s.page, at/s.page, other/s.page)
		return raw, fmt.Sprintf("pages %d and %d swapped", at/s.page, other/s.page)
	case 4:
		from := s.rand.IntN(len(raw))
		copy(s.pageAt(raw, at), slices.Clone(s.pageAt(raw, from)))
		return raw, fmt.Sprintf("page %d copied over page %d", from/s.page, at/s.page)
	case 5:
		raw[at] ^= 1 << s.rand.IntN(8)
		return raw, fmt.Sprintf("one bit of byte %d flipped", at)
	case 6:
		raw[at] = byte(s.rand.Uint32())
		return raw, fmt.Sprintf("byte %d replaced", at)
	case 7:
		part := raw[at:min(len(raw), at+1+s.rand.IntN(64))]
		for i := range part {
			part[i] = byte(s.rand.Uint32())
		}
		return raw, fmt.Sprintf("%d random bytes at %d", len(part), at)
	case 8:
		return append(raw, make([]byte, 1+s.rand.IntN(2*s.page))...), "zeroes appended"
	case 9:
		return slices.Delete(raw, at, min(len(raw), at+1+s.rand.IntN(64))), fmt.Sprintf("bytes removed at %d", at)
	}
	clear(raw[at:])
	return raw, fmt.Sprintf("zeroed from byte %d to the end", at)
}

func (s *Source) pageAt(raw []byte, at int) []byte { return Page(raw, s.page, at/s.page) }

// Page returns one page of a file. The last page may be shorter.
func Page(raw []byte, size, number int) []byte {
	return raw[number*size : min(len(raw), (number+1)*size)]
}

// SwapPages exchanges two pages.
func SwapPages(raw []byte, size, one, other int) {
	copied := slices.Clone(Page(raw, size, one))
	copy(Page(raw, size, one), slices.Clone(Page(raw, size, other)))
	copy(Page(raw, size, other), copied)
}
