package handover

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"

	"caperarch/internal/proxy/call"
	"caperarch/policy"

	"github.com/cespare/xxhash/v2"
)

const (
	recordVersion  = 1
	maxRecordBytes = 16 << 20 // a larger file is treated as corrupt
)

var (
	errOtherRecipient = errors.New("the handover record is for another process")
	errCorrupt        = errors.New("the record is damaged or of another version")
)

// Record is the handover record: the lists of upstreams of the older process, which the successor needs before
// discovery would answer.
type Record struct {
	Pools map[string]Pool `json:"pools"` // by pool name; "" is the name of a single pool
}

// Pool is the list of upstreams of one pool.
type Pool struct {
	Version  int64             `json:"version"`
	Servers  []Server          `json:"servers"`
	Delisted []policy.ServerID `json:"ever"` // upstreams that were listed earlier and are no longer
}

// Server is one upstream of a list.
type Server struct {
	policy.Server
	Address string `json:"address"`
	Name    string `json:"name,omitempty"`
}

// NewPool returns the record of a full list and of the upstreams that were listed earlier and are no longer.
func NewPool(l call.ServerList, delisted []policy.ServerID) Pool {
	p := Pool{Version: l.Version, Delisted: delisted}
	for _, s := range l.Servers {
		p.Servers = append(p.Servers, Server{s, l.Addresses[s.ID], l.Names[s.ID]})
	}
	return p
}

// ServerList returns the full list of the pool.
func (p Pool) ServerList() call.ServerList {
	l := call.ServerList{
		Version: p.Version, Full: true,
		Addresses: make(map[policy.ServerID]string, len(p.Servers)),
		Names:     make(map[policy.ServerID]string, len(p.Servers)),
	}
	for _, s := range p.Servers {
		l.Servers = append(l.Servers, s.Server)
		l.Addresses[s.ID] = s.Address
		if s.Name != "" {
			l.Names[s.ID] = s.Name
		}
	}
	return l
}

// validate returns an error if the pool contains a server that discovery could not list. The record file is validated
// like a response from discovery.
func (p Pool) validate() error {
	for _, s := range p.Servers {
		knownState := s.State == policy.Ready || s.State == policy.Draining
		if !knownState || s.Address == "" || math.IsNaN(s.Weight) || s.Started < 0 {
			return fmt.Errorf("%w: server %x", errCorrupt, s.ID)
		}
	}
	return nil
}

// envelope is the content of the record file.
type envelope struct {
	Version   int             `json:"form"`
	Recipient string          `json:"mark"` // id of the successor for which the record was written
	Sum       uint64          `json:"sum"`  // xxhash of Record
	Record    json.RawMessage `json:"record"`
}

// encode returns the content of the record file for the successor with the given id.
func (r *Record) encode(id string) ([]byte, error) {
	raw, err := json.Marshal(r)
	if err != nil {
		return nil, err
	}
	return json.Marshal(envelope{recordVersion, id, xxhash.Sum64(raw), raw})
}

// decode parses the content of a record file. It returns errOtherRecipient if the record is for another id, and
// errCorrupt if the content is not valid.
func decode(raw []byte, id string) (*Record, error) {
	var e envelope
	if err := json.Unmarshal(raw, &e); err != nil {
		return nil, fmt.Errorf("%w: %w", errCorrupt, err)
	}
	if e.Recipient != id {
		return nil, errOtherRecipient
	}
	if e.Version != recordVersion || e.Sum != xxhash.Sum64(e.Record) {
		return nil, fmt.Errorf("%w: version %d", errCorrupt, e.Version)
	}
	r := new(Record)
	if err := json.Unmarshal(e.Record, r); err != nil {
		return nil, fmt.Errorf("%w: %w", errCorrupt, err)
	}
	for _, p := range r.Pools {
		if err := p.validate(); err != nil {
			return nil, err
		}
	}
	return r, nil
}
