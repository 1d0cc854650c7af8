// Package damage changes the bytes of a file as disks and crashes do, for tests of what reads it.
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

// Source draws damages. The same seed draws the same ones.
type Source struct {
	rand *rand.Rand
	page int // bytes of one, of the disk or of the file's format
}

// NewSource takes its seed from CAPERARCH_SEED, or draws one; the test's log has it.
func NewSource(t *testing.T, page int) *Source {
	t.Helper()
	seed := rand.Uint64()
	if given, err := strconv.ParseUint(os.Getenv("CAPERARCH_SEED"), 10, 64); err == nil {
		seed = given
	}
	t.Logf("CAPERARCH_SEED=%d", seed)
	return &Source{rand.New(rand.NewPCG(seed, 0)), page}
}

// Rounds is how many damages to play: CAPERARCH_DAMAGES, or else the number given.
func Rounds(usual int) int {
	if n, err := strconv.Atoi(os.Getenv("CAPERARCH_DAMAGES")); err == nil {
		return n
	}
	return usual
}

// Of returns a damaged copy that differs from the whole, and what was done to it.
func (s *Source) Of(whole []byte) (raw []byte, how string) {
	for raw = bytes.Clone(whole); bytes.Equal(raw, whole); {
		var one string
		raw, one = s.once(raw)
		how += one + " "
	}
	return raw, how
}

func (s *Source) once(raw []byte) ([]byte, string) {
	if len(raw) == 0 {
		return []byte{byte(s.rand.Uint32())}, "a byte from nowhere"
	}
	at := s.rand.IntN(len(raw))
	switch s.rand.IntN(11) {
	case 0:
		return raw[:at], fmt.Sprintf("cut at %d", at)
	case 1:
		return raw[:at/s.page*s.page], fmt.Sprintf("cut at page %d", at/s.page)
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
		return raw, fmt.Sprintf("page %d written at %d", from/s.page, at/s.page)
	case 5:
		raw[at] ^= 1 << s.rand.IntN(8)
		return raw, fmt.Sprintf("a bit of byte %d", at)
	case 6:
		raw[at] = byte(s.rand.Uint32())
		return raw, fmt.Sprintf("byte %d", at)
	case 7:
		part := raw[at:min(len(raw), at+1+s.rand.IntN(64))]
		for i := range part {
			part[i] = byte(s.rand.Uint32())
		}
		return raw, fmt.Sprintf("%d bytes of noise at %d", len(part), at)
	case 8:
		return append(raw, make([]byte, 1+s.rand.IntN(2*s.page))...), "zeroes behind it"
	case 9:
		return slices.Delete(raw, at, min(len(raw), at+1+s.rand.IntN(64))), fmt.Sprintf("bytes missing at %d", at)
	}
	clear(raw[at:])
	return raw, fmt.Sprintf("zeroed from %d on", at)
}

func (s *Source) pageAt(raw []byte, at int) []byte { return Page(raw, s.page, at/s.page) }

// Page is one page of a file, the last one perhaps shorter.
func Page(raw []byte, size, number int) []byte {
	return raw[number*size : min(len(raw), (number+1)*size)]
}

// SwapPages exchanges two pages.
func SwapPages(raw []byte, size, one, other int) {
	kept := slices.Clone(Page(raw, size, one))
	copy(Page(raw, size, one), slices.Clone(Page(raw, size, other)))
	copy(Page(raw, size, other), kept)
}
