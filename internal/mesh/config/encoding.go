package config

import (
	"encoding/json"
	"strconv"

	"caperarch/internal/mesh/errs"
)

// Document returns the full configuration in the layout of a replace request. Every resource is included as it was
// received, with its unknown fields. A resource that an update replaces keeps its position; new resources are appended.
func (s *Snapshot) Document() json.RawMessage {
	size := len(`{"configVersion":,"baseVersion":,"resources":[]}`) + 2*len("9223372036854775807")
	for _, r := range s.resources {
		size += len(r.raw) + 1
	}
	out := append(make([]byte, 0, size), `{"configVersion":`...)
	out = strconv.AppendInt(out, s.version, 10)
	out = append(out, `,"baseVersion":`...)
	out = strconv.AppendInt(out, s.base, 10)
	out = append(out, `,"resources":[`...)
	for i, r := range s.resources {
		if i > 0 {
			out = append(out, ',')
		}
		out = append(out, r.raw...)
	}
	return append(out, `]}`...)
}

// encodedSnapshot is the JSON encoding of a snapshot.
type encodedSnapshot struct {
	Document json.RawMessage    `json:"document"`
	Requests *encodedRequestLog `json:"orders,omitempty"`
}

// Encode returns the snapshot and its request log as one JSON value. Decode decodes it. An error is of kind Internal.
func (s *Snapshot) Encode() ([]byte, error) {
	out, err := json.Marshal(encodedSnapshot{s.Document(), s.requests.encode()})
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "encode configuration version %d", s.version)
	}
	return out, nil
}

// Decode decodes what Encode returned. It returns an error of kind Malformed or Invalid for text that is not a complete
// and valid snapshot. If there is no request log, the requests up to the document's version are forgotten.
func Decode(text []byte) (*Snapshot, error) {
	var e encodedSnapshot
	if err := unmarshal(text, &e); err != nil {
		return nil, err
	}
	document, err := ParseReplace(e.Document)
	if err != nil {
		return nil, err
	}
	table, err := newRoutingTable(document.resources)
	if err != nil {
		return nil, err
	}
	requests, err := decodeRequestLog(e.Requests, document.version)
	if err != nil {
		return nil, err
	}
	return &Snapshot{
		version:   document.version,
		base:      document.base,
		resources: document.resources,
		requests:  requests,
		table:     table,
	}, nil
}
