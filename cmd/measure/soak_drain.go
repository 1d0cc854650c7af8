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
	// soakDrainTimeout is drainTimeoutS of the configuration: the least time that an upstream serves requests after its
	// drain was acknowledged.
	soakDrainTimeout = 2 * time.Second
	// soakDrainExtra is the longest time that an upstream serves requests beyond soakDrainTimeout.
	soakDrainExtra = time.Second
	// soakHeartbeatTimeout limits the wait for one acknowledgement, soakHeartbeatPause is the pause between two rounds
	// of calls to all machines, and soakAnnounceTimeout limits the time until an upstream gives up its announcement.
	soakHeartbeatTimeout = time.Second
	soakHeartbeatPause   = 50 * time.Millisecond
	soakAnnounceTimeout  = 4 * time.Second
)

// drainUpstreams drains each upstream of an event, stops it and starts its next instance, all upstreams in parallel.
func (r *soakRig) drainUpstreams(e soak.Event) {
	r.forEachSidecar(e, func(m *soakMachine) {
		upstream := r.upstreams[m.number]
		if !upstream.down.CompareAndSwap(false, true) {
			return // another event has stopped this upstream
		}
		defer upstream.down.Store(false)
		random := rand.New(rand.NewPCG(r.seed, uint64(e.At)+uint64(m.number)))
		serveOn := soakDrainTimeout + time.Duration(random.Int64N(int64(soakDrainExtra)))
		if e.Kind == soak.LeaveUpstreams {
			upstream.leave(serveOn, random)
		} else {
			upstream.drain(serveOn)
		}
		end := r.disturb(soak.Machine(m.number), soak.Fault) // stopping the upstream cuts its unfinished requests
		defer end()
		upstream.crash()
		time.Sleep(e.For)
		upstream.replace()
	})
}

// drain announces that the upstream is draining until a machine acknowledges it, serves for serveOn and deregisters.
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

// leave deregisters the upstream and, once a machine has acknowledged it, serves for serveOn. One half of the upstreams
// do not reach their own sidecar and deregister at a core machine; the sidecars of one half receive a heartbeat late.
func (u *soakUpstream) leave(serveOn time.Duration, random *rand.Rand) {
	late := u.nextHeartbeat(meshapi.StateReady)
	u.draining.Store(true)
	addresses := u.controlAddresses()
	if random.IntN(2) == 0 {
		addresses = addresses[1:]
		u.rig.count(deregisteredAtCore)
	}
	path := meshapi.InstancePath(meshapi.DeregisterPattern, u.instance())
	if !u.call(path, &struct{}{}, addresses...) {
		u.rig.count(drainUnacknowledged)
		return
	}
	u.recordAcknowledged()
	lateBy := time.Duration(random.Int64N(int64(serveOn)))
	time.Sleep(lateBy)
	if random.IntN(2) == 0 && u.call(late.path, late.request, u.controlAddresses()[0]) {
		u.rig.count(lateHeartbeat)
	}
	time.Sleep(serveOn - lateBy)
}

// deregister removes the upstream's instance from the list of instances.
func (u *soakUpstream) deregister() (acknowledged bool) {
	path := meshapi.InstancePath(meshapi.DeregisterPattern, u.instance())
	return u.call(path, &struct{}{}, u.controlAddresses()...)
}

// recordAcknowledged records that the drain of the upstream's instance has been acknowledged.
func (u *soakUpstream) recordAcknowledged() {
	u.rig.recordDrain(soak.Drain{Instance: u.instance(), Acknowledged: u.rig.since()})
}

// replace starts the next instance at the upstream's address, and announces it.
func (u *soakUpstream) replace() {
	u.generation.Add(1)
	u.draining.Store(false)
	if err := u.start(); err != nil {
		u.rig.fault("upstream %d not started after its drain: %v", u.number, err)
		u.rig.stopping.Store(true)
		return
	}
	u.announce(meshapi.StateReady)
}

// announce sends heartbeats to the upstream's own sidecar and to the core machines in turn, until a machine
// acknowledges one or soakAnnounceTimeout has passed.
func (u *soakUpstream) announce(state string) (acknowledged bool) {
	for end := time.Now().Add(soakAnnounceTimeout); time.Now().Before(end); time.Sleep(soakHeartbeatPause) {
		heartbeat := u.nextHeartbeat(state)
		if u.call(heartbeat.path, heartbeat.request, u.controlAddresses()...) {
			return true
		}
	}
	return false
}

// soakHeartbeat is a heartbeat with the path that it is posted to.
type soakHeartbeat struct {
	path    string
	request *meshapi.HeartbeatRequest
}

// nextHeartbeat returns the next heartbeat of the upstream's instance.
func (u *soakUpstream) nextHeartbeat(state string) soakHeartbeat {
	return soakHeartbeat{
		path: meshapi.InstancePath(meshapi.HeartbeatPattern, u.instance()),
		request: &meshapi.HeartbeatRequest{
			Address: u.rig.ports[u.number][3],
			NodeInfo: meshapi.InstanceInfo{
				ServiceName: soakServiceOf(u.number), ConfigVersion: "v1",
				Zone: meshZones[u.number%len(meshZones)], CapacitySlots: soakSlots,
			},
			Status: meshapi.InstanceStatus{State: state, CallSequence: u.sequence.Add(1)},
		},
	}
}

// controlAddresses returns the control addresses that the upstream calls, in order: its own sidecar, then the core.
func (u *soakUpstream) controlAddresses() (all []string) {
	port := strconv.Itoa(u.rig.core.control)
	all = append(all, net.JoinHostPort(u.rig.host(u.number), port))
	for _, host := range u.rig.core.hosts {
		all = append(all, net.JoinHostPort(host, port))
	}
	return all
}

// call posts to the addresses in order until one of them responds with success.
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

// instance returns the identifier of the upstream's current instance.
func (u *soakUpstream) instance() string {
	return fmt.Sprintf("i-%d-%d", u.number, u.generation.Load())
}

func (r *soakRig) recordDrain(d soak.Drain) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Drains = append(r.history.Drains, d)
}
