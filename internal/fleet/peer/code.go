package peer

import (
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"caperarch/internal/fleet/peer/peerpb"
	"caperarch/internal/fleet/swim"
)

// MaxDatagramBytes is the longest datagram that is allowed between sidecars.
const MaxDatagramBytes = 256

// formatVersion is the newest version of the datagram format that is read.
const formatVersion = 0

// FleetTag returns the number that stands for a fleet's name in datagrams.
func FleetTag(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// Why a datagram is dropped.
var (
	errLength    = errors.New("no datagram of 1 to 256 bytes")
	errMalformed = errors.New("it can't be read")
	errFleet     = errors.New("another fleet's")
	errFormat    = errors.New("a newer form")
	errAddress   = errors.New("the sender's number is not that of its address")
)

// encode returns a message of swim in its wire format.
func encode(m *swim.Message) *peerpb.Contact {
	c := &peerpb.Contact{
		Turn:   m.Session.Sequence,
		Kind:   uint32(m.Kind),
		Stamp:  m.Stamp,
		Echo:   m.Echo,
		Mute:   m.NoLease,
		About:  uint32(m.Target),
		Mark:   m.Cookie,
		Digest: m.Digest,
		Count:  uint32(m.MemberCount),
	}
	if m.Echo != 0 {
		c.EchoOf = m.EchoTag
	}
	for _, r := range m.Rumours {
		c.Rumour = append(c.Rumour, &peerpb.Rumour{
			Member: uint32(r.Member),
			Life:   r.Session.Incarnation,
			Turn:   r.Session.Sequence,
			State:  uint32(r.State),
			By:     uint32(r.Accuser),
		})
	}
	return c
}

// decode parses such a message. Numbers that no member can have become ones that swim drops.
func decode(from int, life uint64, c *peerpb.Contact) *swim.Message {
	m := &swim.Message{
		From:        from,
		Session:     swim.Session{Incarnation: life, Sequence: c.Turn},
		Kind:        swim.Kind(min(c.Kind, 255)),
		Stamp:       c.Stamp,
		Echo:        c.Echo,
		EchoTag:     c.EchoOf,
		NoLease:     c.Mute,
		Target:      int(c.About),
		Cookie:      c.Mark,
		Digest:      c.Digest,
		MemberCount: int(min(c.Count, swim.MaxMembers)),
	}
	for _, r := range c.Rumour {
		m.Rumours = append(m.Rumours, swim.Rumour{
			Member:  int(r.Member),
			Session: swim.Session{Incarnation: r.Life, Sequence: r.Turn},
			State:   swim.State(min(r.State, 255)),
			Accuser: int(r.By),
		})
	}
	return m
}

// Size returns how many bytes a message takes as a datagram.
func Size(m *swim.Message) int {
	return proto.Size(
		&peerpb.Datagram{
			Fleet: 1, From: uint32(m.From) + 1, Life: m.Session.Incarnation,
			Contact: []*peerpb.Contact{encode(m)},
		},
	)
}

// fit encodes a message with as many of its rumours as fit into a datagram.
func fit(d *peerpb.Datagram, c *peerpb.Contact) ([]byte, error) {
	d.Contact = []*peerpb.Contact{c}
	for {
		raw, err := proto.Marshal(d)
		switch {
		case err != nil:
			return nil, err
		case len(raw) <= MaxDatagramBytes:
			return raw, nil
		case len(c.Rumour) == 0:
			return nil, fmt.Errorf("a message of %d bytes", len(raw))
		}
		c.Rumour = c.Rumour[:len(c.Rumour)-1]
	}
}

// read parses a datagram.
func read(raw []byte, fleet uint32) (*peerpb.Datagram, error) {
	if len(raw) == 0 || len(raw) > MaxDatagramBytes {
		return nil, errLength
	}
	d := new(peerpb.Datagram)
	switch err := proto.Unmarshal(raw, d); {
	case err != nil || d.From == 0 || d.Life == 0:
		return nil, errMalformed
	case d.Fleet != fleet:
		return nil, errFleet
	case d.Form > formatVersion:
		return nil, errFormat
	}
	return d, nil
}
