package membership

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net"
	"time"

	"caperarch/internal/proxy/call"
	"caperarch/policy"
)

// unknownZone is the number of a zone that is not in the settings.
const unknownZone = -1

// response is a response of discovery in its JSON form.
type response struct {
	Generation *int64     `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []instance `json:"instances"`
}

// instance is one server in a response.
type instance struct {
	InstanceID  string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs float64 `json:"startedAtMs"`
}

// Parse parses a response of discovery. zones has the zone numbers by name; a zone that is not in zones has the number
// -1. If any entry is malformed, Parse returns an error.
func Parse(raw []byte, zones map[string]int) (call.ServerList, error) {
	var answer response
	if err := json.Unmarshal(raw, &answer); err != nil {
		return call.ServerList{}, err
	}
	if answer.Generation == nil {
		return call.ServerList{}, errors.New("response has no generation")
	}
	list := call.ServerList{
		Version: *answer.Generation, Full: answer.Reset,
		Addresses: make(map[policy.ServerID]string), Names: make(map[policy.ServerID]string),
	}
	for i, entry := range answer.Instances {
		if entry.InstanceID == "" {
			return call.ServerList{}, fmt.Errorf("instance %d has no instanceId", i)
		}
		s, err := entry.server(zones)
		if err != nil {
			return call.ServerList{}, err
		}
		if _, _, err := net.SplitHostPort(entry.HostPort); err == nil {
			list.Addresses[s.ID] = entry.HostPort
		} else if s.State != policy.Deregistered {
			return call.ServerList{}, fmt.Errorf("instance %s: hostPort: %w", entry.InstanceID, err)
		}
		list.Names[s.ID] = entry.InstanceID
		list.Servers = append(list.Servers, s)
	}
	return list, nil
}

// server converts the instance to a policy.Server.
func (i instance) server(zones map[string]int) (policy.Server, error) {
	if i.StartedAtMs > math.MaxInt64/float64(time.Millisecond)/2 { // exceeds the range of time.Duration
		return policy.Server{}, fmt.Errorf("instance %s: startedAtMs %v is out of range", i.InstanceID, i.StartedAtMs)
	}
	zone, known := zones[i.Zone]
	if !known {
		zone = unknownZone
	}
	return policy.Server{
		ID:      call.ServerID(i.InstanceID),
		Zone:    zone,
		Cell:    i.Cell,
		State:   lifecycleState(i.Lifecycle),
		Weight:  i.Weight,
		Started: time.Duration(max(0, i.StartedAtMs) * float64(time.Millisecond)),
	}, nil
}

// lifecycleState converts a lifecycle to a state. An unknown lifecycle is treated as draining, so that the server gets
// no new requests.
func lifecycleState(lifecycle string) policy.State {
	switch lifecycle {
	case "ready":
		return policy.Ready
	case "gone":
		return policy.Deregistered
	default:
		return policy.Draining
	}
}
