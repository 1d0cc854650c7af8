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
	recordForm = 1
	recordMost = 16 << 20 // bytes; more is no record of ours
)

var (
	errOther   = errors.New("the record is for another process")
	errDamaged = errors.New("the record is damaged or of another version")
)

// Record is what the older process knows that the newer one would learn too late.
type Record struct {
	Pools map[string]Pool `json:"pools"` // by name; the single pool's is ""
}

// Pool is what it knows of one list.
type Pool struct {
	Version  int64             `json:"version"`
	Servers  []Server          `json:"servers"`
	Delisted []policy.ServerID `json:"ever"` // were listed, and are not any more
}

// Server is one line of the list.
type Server struct {
	policy.Server
	Address string `json:"address"`
	Name    string `json:"name,omitempty"`
}

// NewPool puts a whole list in a record's form.
func NewPool(l call.ServerList, ever []policy.ServerID) Pool {
	p := Pool{Version: l.Version, Delisted: ever}
	for _, s := range l.Servers {
		p.Servers = append(p.Servers, Server{s, l.Addresses[s.ID], l.Names[s.ID]})
	}
	return p
}

// ServerList is the list that a pool's record holds.
func (p Pool) ServerList() call.ServerList {
	l := call.ServerList{Version: p.Version, Full: true, Addresses: make(map[policy.ServerID]string, len(p.Servers)), Names: make(map[policy.ServerID]string, len(p.Servers))}
	for _, s := range p.Servers {
		l.Servers = append(l.Servers, s.Server)
		l.Addresses[s.ID] = s.Address
		if s.Name != "" {
			l.Names[s.ID] = s.Name
		}
	}
	return l
}

// check passes only what a list may hold: what comes from a file is not trusted more than what comes from discovery.
func (p Pool) check() error {
	for _, s := range p.Servers {
		if s.State != policy.Ready && s.State != policy.Draining || s.Address == "" || math.IsNaN(s.Weight) || s.Started < 0 {
			return fmt.Errorf("%w: server %x", errDamaged, s.ID)
		}
	}
	return nil
}

type envelope struct {
	Form   int             `json:"form"`
	Mark   string          `json:"mark"`
	Sum    uint64          `json:"sum"` // of Record's bytes
	Record json.RawMessage `json:"record"`
}

func (r *Record) encode(mark string) ([]byte, error) {
	raw, err := json.Marshal(r)
	if err != nil {
		return nil, err
	}
	return json.Marshal(envelope{recordForm, mark, xxhash.Sum64(raw), raw})
}

func decode(raw []byte, mark string) (*Record, error) {
	var e envelope
	if err := json.Unmarshal(raw, &e); err != nil {
		return nil, fmt.Errorf("%w: %w", errDamaged, err)
	}
	if e.Mark != mark {
		return nil, errOther
	}
	if e.Form != recordForm || e.Sum != xxhash.Sum64(e.Record) {
		return nil, fmt.Errorf("%w: form %d", errDamaged, e.Form)
	}
	r := new(Record)
	if err := json.Unmarshal(e.Record, r); err != nil {
		return nil, fmt.Errorf("%w: %w", errDamaged, err)
	}
	for _, p := range r.Pools {
		if err := p.check(); err != nil {
			return nil, err
		}
	}
	return r, nil
}
