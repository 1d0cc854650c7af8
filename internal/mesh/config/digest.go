package config

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"

	"caperarch/internal/mesh/errs"
)

const (
	// digestSize is the number of bytes of SHA-256 that are kept of a change request. Two different
	// requests under one version share a digest with a probability of 2^-96, and the request log
	// stays small.
	digestSize = 12
	// maxNesting bounds how deep objects and lists of a body may lie in one another. It guards the
	// recursion that reads them; the schemas need 6.
	maxNesting = 64
)

// digest identifies the content of a change request, its form and its two versions included. Bodies
// that differ only in space, in escapes of characters or in the order of the keys of an object have
// the same digest. Numbers count as they are written: 1 and 1.0 are different content.
type digest [digestSize]byte

// digestOf returns the digest of a change request from its canonical body. A key that stands twice in
// one object is Invalid, because readers of JSON disagree on which of the two holds.
func digestOf(form string, body []byte) (digest, error) {
	n := normalizer{text: body, out: make([]byte, 0, len(body)+len(body)/2)}
	n.frame('f', []byte(form))
	if err := n.value(0); err != nil {
		return digest{}, err
	}
	sum := sha256.Sum256(n.out)
	return digest(sum[:digestSize]), nil
}

// normalizer writes a valid JSON text without spaces in a form of its own in which equal content is
// equal bytes. Each value is framed by its kind and length, so that unequal content is not.
type normalizer struct {
	text     []byte
	position int
	out      []byte
	// scratch holds the members of an object while they are put in order.
	scratch []byte
}

// value writes the value that begins here.
func (n *normalizer) value(depth int) error {
	if depth > maxNesting {
		return errs.New(errs.Invalid, "the body nests more than %d levels deep", maxNesting)
	}
	switch n.text[n.position] {
	case '{':
		return n.object(depth)
	case '[':
		return n.list(depth)
	case '"':
		text, err := n.string()
		if err != nil {
			return err
		}
		n.frame('s', text)
	default:
		n.frame('l', n.literal())
	}
	return nil
}

// next steps over a bracket, brace, comma or colon and says whether the value ends with it.
func (n *normalizer) next() (ended bool) {
	n.position++
	return n.text[n.position-1] == '}' || n.text[n.position-1] == ']'
}

// begin steps into a list or an object and says whether it is empty.
func (n *normalizer) begin() (empty bool) {
	n.position++
	if n.text[n.position] != '}' && n.text[n.position] != ']' {
		return false
	}
	n.position++
	return true
}

// list writes a list.
func (n *normalizer) list(depth int) error {
	n.out = append(n.out, '[')
	for ended := n.begin(); !ended; ended = n.next() {
		if err := n.value(depth + 1); err != nil {
			return err
		}
	}
	n.out = append(n.out, ']')
	return nil
}

// member is a key of an object with the position of its key and value in what was written. Folded
// is the key as encoding/json compares it.
type member struct {
	key, folded string
	start, end  int
}

// object writes an object, its members in the order of their keys.
func (n *normalizer) object(depth int) error {
	n.out = append(n.out, '{')
	var members []member
	for ended := n.begin(); !ended; ended = n.next() {
		key, err := n.string()
		if err != nil {
			return err
		}
		m := member{key: string(key), folded: fold(string(key)), start: len(n.out)}
		n.frame('k', key)
		n.position++ // the colon
		if err := n.value(depth + 1); err != nil {
			return err
		}
		m.end = len(n.out)
		members = append(members, m)
	}
	if err := n.sortMembers(members); err != nil {
		return err
	}
	n.out = append(n.out, '}')
	return nil
}

// sortMembers sorts the members that were written last by their keys. Keys that differ by case
// alone stay in the order of the body, since encoding/json reads both as the same field and
// the later one holds.
func (n *normalizer) sortMembers(members []member) error {
	slices.SortFunc(members, func(a, b member) int { return strings.Compare(a.key, b.key) })
	for i := 1; i < len(members); i++ {
		if members[i].key == members[i-1].key {
			return errs.New(errs.Invalid, "the key %.64q stands twice in one object", members[i].key)
		}
	}
	slices.SortFunc(members, func(a, b member) int {
		return cmp.Or(strings.Compare(a.folded, b.folded), cmp.Compare(a.start, b.start))
	})
	n.scratch = n.scratch[:0]
	for i := range members {
		n.scratch = append(n.scratch, n.out[members[i].start:members[i].end]...)
	}
	n.out = append(n.out[:len(n.out)-len(n.scratch)], n.scratch...)
	return nil
}

// string steps over a string and gives its characters without escapes.
func (n *normalizer) string() ([]byte, error) {
	start, escaped := n.position, false
	for n.position++; n.text[n.position] != '"'; n.position++ {
		if n.text[n.position] == '\\' {
			escaped = true
			n.position++
		}
	}
	n.position++
	if !escaped {
		return n.text[start+1 : n.position-1], nil
	}
	var plain string
	if err := json.Unmarshal(n.text[start:n.position], &plain); err != nil {
		return nil, errs.Wrap(err, errs.Malformed, "no JSON string")
	}
	return []byte(plain), nil
}

// literal steps over a number, true, false or null and gives its text.
func (n *normalizer) literal() []byte {
	start := n.position
	for n.position < len(n.text) && !strings.ContainsRune(",]}", rune(n.text[n.position])) {
		n.position++
	}
	return n.text[start:n.position]
}

// frame writes a text behind its kind and length.
func (n *normalizer) frame(kind byte, text []byte) {
	n.out = append(n.out, kind)
	n.out = binary.AppendUvarint(n.out, uint64(len(text)))
	n.out = append(n.out, text...)
}

// fold maps keys that encoding/json reads as the same field to the same text.
func fold(key string) string {
	return strings.Map(func(r rune) rune {
		for next := unicode.SimpleFold(r); next > r; next = unicode.SimpleFold(r) {
			r = next
		}
		return unicode.ToLower(unicode.SimpleFold(r))
	}, key)
}

// canonical returns a body without spaces between its tokens and with the escapes that encoding/json
// puts into raw messages, so that its items read the same however often it is passed on.
func canonical(body []byte) ([]byte, error) {
	if !utf8.Valid(body) {
		return nil, errs.New(errs.Malformed, "the body is no UTF-8")
	}
	var tight, escaped bytes.Buffer
	tight.Grow(len(body))
	if err := json.Compact(&tight, body); err != nil {
		return nil, errs.Wrap(err, errs.Malformed, "the body is no whole JSON value")
	}
	escaped.Grow(tight.Len())
	json.HTMLEscape(&escaped, tight.Bytes())
	return escaped.Bytes(), nil
}
