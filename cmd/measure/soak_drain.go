package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"time"

	"caperarch/internal/lab/soak"
	"caperarch/internal/mesh/rpc"
	"caperarch/meshapi"
)

const (
	// soakDrainTimeout is drainTimeoutS: for how long an upstream serves on that is known to be draining.
	soakDrainTimeout = 2 * time.Second
	// soakDrainExtra is how much longer than that it may serve.
	soakDrainExtra = time.Second
	// soakHeartbeatTimeout is how long an acknowledgement may take, soakHeartbeatPause the pause before the next
	// machine is asked, and soakDrainPatience for how long an upstream asks before it ends without one.
	soakHeartbeatTimeout = time.Second
	soakHeartbeatPause   = 50 * time.Millisecond
	soakDrainPatience    = 4 * time.Second
)

// drainUpstreams drains upstreams and replaces them, each by itself.
func (r *soakRig) drainUpstreams(e soak.Event) {
	r.each(e, func(m *soakMachine) {
		upstream := r.upstreams[m.number]
		if !upstream.down.CompareAndSwap(false, true) {
			return // another event's
		}
		defer upstream.down.Store(false)
		random := rand.New(rand.NewPCG(r.seed, uint64(e.At)+uint64(m.number)))
		serveOn := soakDrainTimeout + time.Duration(random.Int64N(int64(soakDrainExtra)))
		if e.Kind == soak.LeaveUpstreams {
			upstream.leave(serveOn)
		} else {
			upstream.drain(serveOn)
		}
		end := r.disturb(soak.Machine(m.number), soak.Fault) // what it has not finished is cut
		defer end()
		upstream.crash()
		time.Sleep(e.For)
		upstream.replace()
	})
}

// drain says that the upstream is draining until that is acknowledged, serves on and deregisters.
func (u *soakUpstream) drain(serveOn time.Duration) {
	u.draining.Store(true)
	if !u.announce(meshapi.StateDraining) {
		u.rig.count(drainUnacknowledged)
		return
	}
	u.recordAcknowledged()
	time.Sleep(serveOn)
	u.deregister()
}

// leave deregisters the upstream, and serves on once that is acknowledged.
func (u *soakUpstream) leave(serveOn time.Duration) {
	u.draining.Store(true)
	if !u.deregister() {
		u.rig.count(drainUnacknowledged)
		return
	}
	u.recordAcknowledged()
	time.Sleep(serveOn)
}

// deregister says that the upstream's instance is gone.
func (u *soakUpstream) deregister() (acknowledged bool) {
	path := meshapi.InstancePath(meshapi.DeregisterPattern, u.instance())
	return u.call(path, &struct{}{}, u.controlAddresses()...)
}

// recordAcknowledged records that the upstream's instance is known to drain.
func (u *soakUpstream) recordAcknowledged() {
	u.rig.recordDrain(soak.Drain{Instance: u.instance(), Acknowledged: u.rig.since()})
}

// replace begins the next instance at the upstream's address, and announces it.
func (u *soakUpstream) replace() {
	u.generation.Add(1)
	u.draining.Store(false)
	if err := u.start(); err != nil {
		u.rig.fault("upstream %d does not start: %v", u.number, err)
		u.rig.stopping.Store(true)
		return
	}
	u.announce(meshapi.StateReady)
}

// announce sends heartbeats to the sidecar beside the upstream and to core machines, in turn, until one is
// acknowledged or the upstream's patience is over.
func (u *soakUpstream) announce(state string) (acknowledged bool) {
	path := meshapi.InstancePath(meshapi.HeartbeatPattern, u.instance())
	for end := time.Now().Add(soakDrainPatience); time.Now().Before(end); time.Sleep(soakHeartbeatPause) {
		heartbeat := &meshapi.HeartbeatRequest{
			Address: u.rig.ports[u.number][3],
			NodeInfo: meshapi.InstanceInfo{
				ServiceName: soakServiceOf(u.number), ConfigVersion: "v1",
				Zone: meshZones[u.number%len(meshZones)], CapacitySlots: soakSlots,
			},
			Status: meshapi.InstanceStatus{State: state, CallSequence: u.sequence.Add(1)},
		}
		if u.call(path, heartbeat, u.controlAddresses()...) {
			return true
		}
	}
	return false
}

// controlAddresses are where the upstream's calls go, in turn.
func (u *soakUpstream) controlAddresses() (all []string) {
	port := strconv.Itoa(u.rig.core.control)
	all = append(all, net.JoinHostPort(u.rig.host(u.number), port))
	for _, host := range u.rig.core.hosts {
		all = append(all, net.JoinHostPort(host, port))
	}
	return all
}

// call posts to the first address that answers with success.
func (u *soakUpstream) call(path string, body any, addresses ...string) (acknowledged bool) {
	for _, address := range addresses {
		ctx, cancel := context.WithTimeout(context.Background(), soakHeartbeatTimeout)
		_, err := rpc.Call[any, meshapi.HeartbeatResponse](ctx, u.rig.core.client, "http://"+address+path, &body)
		cancel()
		if err == nil {
			return true
		}
	}
	return false
}

// instance is the id of the upstream's present run.
func (u *soakUpstream) instance() string {
	return fmt.Sprintf("i-%d-%d", u.number, u.generation.Load())
}

func (r *soakRig) recordDrain(d soak.Drain) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Drains = append(r.history.Drains, d)
}
