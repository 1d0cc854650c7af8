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
	// digestSize is the number of bytes that a digest keeps of the SHA-256 hash. Two different requests with the
	// same version have the same digest with a probability of 2^-96. A longer digest would enlarge the request log.
	digestSize = 12
	// maxNesting is the maximum nesting depth of objects and lists in a body. It bounds the recursion of the
	// normalizer. The schemas need a depth of 6.
	maxNesting = 64
)

// digest identifies the content of a change request, including its form and its two versions. Bodies that differ only
// in white space, in character escapes or in the order of an object's keys have the same digest. Numbers are compared
// as they are written: 1 and 1.0 are different content.
type digest [digestSize]byte

// digestOf returns the digest of a change request with a canonical body. A duplicate key in an object is an error of
// kind Invalid, because JSON readers disagree on which of the two values applies.
func digestOf(form string, body []byte) (digest, error) {
	n := normalizer{text: body, out: make([]byte, 0, len(body)+len(body)/2)}
	n.frame('f', []byte(form))
	if err := n.value(0); err != nil {
		return digest{}, err
	}
	sum := sha256.Sum256(n.out)
	return digest(sum[:digestSize]), nil
}

// normalizer rewrites a valid JSON text without white space so that equal content results in equal bytes. Each value is
// prefixed by its kind and length, so that different content results in different bytes.
type normalizer struct {
	text     []byte // the JSON text
	position int    // offset of the next unread byte of text
	out      []byte // the normalized text
	// scratch holds the members of an object while sortMembers reorders them.
	scratch []byte
}

// value normalizes the value at the current position.
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

// next skips a bracket, brace, comma or colon, and reports whether it ends a list or an object.
func (n *normalizer) next() (ended bool) {
	n.position++
	return n.text[n.position-1] == '}' || n.text[n.position-1] == ']'
}

// begin skips the opening bracket or brace of a list or an object. If the list or object is empty, begin skips the
// closing one, too, and returns true.
func (n *normalizer) begin() (empty bool) {
	n.position++
	if n.text[n.position] != '}' && n.text[n.position] != ']' {
		return false
	}
	n.position++
	return true
}

// list normalizes the list at the current position.
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

// member is a member of an object. Its normalized key and value are out[start:end]. The field folded is the key in the
// form in which encoding/json compares keys.
type member struct {
	key, folded string
	start, end  int
}

// object normalizes the object at the current position, with its members ordered by key.
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

// sortMembers sorts the members at the end of out by key. Keys that differ only in case keep the order that they have
// in the body: encoding/json decodes both into the same field, and the later value applies.
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

// string skips the string at the current position, and returns its value without escapes.
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

// literal skips the number, true, false or null at the current position, and returns its text.
func (n *normalizer) literal() []byte {
	start := n.position
	for n.position < len(n.text) && !strings.ContainsRune(",]}", rune(n.text[n.position])) {
		n.position++
	}
	return n.text[start:n.position]
}

// frame appends a text to the output, prefixed by its kind and length.
func (n *normalizer) frame(kind byte, text []byte) {
	n.out = append(n.out, kind)
	n.out = binary.AppendUvarint(n.out, uint64(len(text)))
	n.out = append(n.out, text...)
}

// fold maps all keys that encoding/json decodes into the same field to the same text.
func fold(key string) string {
	return strings.Map(func(r rune) rune {
		for next := unicode.SimpleFold(r); next > r; next = unicode.SimpleFold(r) {
			r = next
		}
		return unicode.ToLower(unicode.SimpleFold(r))
	}, key)
}

// canonical returns a body without white space between its tokens and with the HTML escapes that encoding/json adds to
// raw messages. Encoding the canonical body in further messages does not change its resources.
func canonical(body []byte) ([]byte, error) {
	if !utf8.Valid(body) {
		return nil, errs.New(errs.Malformed, "the body is no UTF-8")
	}
	var compacted, escaped bytes.Buffer
	compacted.Grow(len(body))
	if err := json.Compact(&compacted, body); err != nil {
		return nil, errs.Wrap(err, errs.Malformed, "the body is no whole JSON value")
	}
	escaped.Grow(compacted.Len())
	json.HTMLEscape(&escaped, compacted.Bytes())
	return escaped.Bytes(), nil
}
