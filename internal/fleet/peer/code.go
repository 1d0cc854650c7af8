package peer

import (
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"caperarch/internal/fleet/peer/peerpb"
	"caperarch/internal/fleet/swim"
)

// MaxDatagramBytes is the maximum size of a datagram between sidecars.
const MaxDatagramBytes = 256

// formatVersion is the version of the datagram format. Datagrams of newer versions are dropped.
const formatVersion = 0

// FleetTag returns the number that identifies a fleet, by its name, in datagrams.
func FleetTag(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// The reasons for which a received datagram is dropped.
var (
	errLength      = errors.New("datagram is empty or longer than 256 bytes")
	errMalformed   = errors.New("datagram is malformed")
	errOtherFleet  = errors.New("datagram belongs to another fleet")
	errNewerFormat = errors.New("datagram has a newer format version")
	errAddress     = errors.New("datagram's sender number does not match its source address")
)

// encode converts a message of swim to its wire format.
func encode(m *swim.Message) *peerpb.Contact {
	encoded := &peerpb.Contact{
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
		encoded.EchoOf = m.EchoTag
	}
	for _, rumour := range m.Rumours {
		encoded.Rumour = append(encoded.Rumour, &peerpb.Rumour{
			Member: uint32(rumour.Member),
			Life:   rumour.Session.Incarnation,
			Turn:   rumour.Session.Sequence,
			State:  uint32(rumour.State),
			By:     uint32(rumour.Accuser),
		})
	}
	return encoded
}

// decode converts a message from its wire format. A kind or state that is out of range becomes a value that swim
// drops; the member count is limited to swim.MaxMembers.
func decode(from int, incarnation uint64, encoded *peerpb.Contact) *swim.Message {
	m := &swim.Message{
		From:        from,
		Session:     swim.Session{Incarnation: incarnation, Sequence: encoded.Turn},
		Kind:        swim.Kind(min(encoded.Kind, 255)),
		Stamp:       encoded.Stamp,
		Echo:        encoded.Echo,
		EchoTag:     encoded.EchoOf,
		NoLease:     encoded.Mute,
		Target:      int(encoded.About),
		Cookie:      encoded.Mark,
		Digest:      encoded.Digest,
		MemberCount: int(min(encoded.Count, swim.MaxMembers)),
	}
	for _, rumour := range encoded.Rumour {
		m.Rumours = append(m.Rumours, swim.Rumour{
			Member:  int(rumour.Member),
			Session: swim.Session{Incarnation: rumour.Life, Sequence: rumour.Turn},
			State:   swim.State(min(rumour.State, 255)),
			Accuser: int(rumour.By),
		})
	}
	return m
}

// Size returns the size in bytes of a datagram that contains only this message.
func Size(m *swim.Message) int {
	return proto.Size(
		&peerpb.Datagram{
			Fleet: 1, From: uint32(m.From) + 1, Life: m.Session.Incarnation,
			Contact: []*peerpb.Contact{encode(m)},
		},
	)
}

// marshalFitting marshals a datagram with a message, and drops as many of the message's last rumours as necessary to
// keep the datagram within MaxDatagramBytes.
func marshalFitting(datagram *peerpb.Datagram, contact *peerpb.Contact) ([]byte, error) {
	datagram.Contact = []*peerpb.Contact{contact}
	for {
		raw, err := proto.Marshal(datagram)
		switch {
		case err != nil:
			return nil, err
		case len(raw) <= MaxDatagramBytes:
			return raw, nil
		case len(contact.Rumour) == 0:
			return nil, fmt.Errorf("message without rumours does not fit into a datagram: %d bytes", len(raw))
		}
		contact.Rumour = contact.Rumour[:len(contact.Rumour)-1]
	}
}

// unmarshal parses and checks a datagram; fleet is the FleetTag that it has to have.
func unmarshal(raw []byte, fleet uint32) (*peerpb.Datagram, error) {
	if len(raw) == 0 || len(raw) > MaxDatagramBytes {
		return nil, errLength
	}
	datagram := new(peerpb.Datagram)
	switch err := proto.Unmarshal(raw, datagram); {
	case err != nil || datagram.From == 0 || datagram.Life == 0:
		return nil, errMalformed
	case datagram.Fleet != fleet:
		return nil, errOtherFleet
	case datagram.Form > formatVersion:
		return nil, errNewerFormat
	}
	return datagram, nil
}
